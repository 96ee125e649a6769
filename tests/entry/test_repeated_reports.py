"""Reports name no request, so that no earlier one may stand in front of the due one."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from tornado.httputil import HTTPHeaders

from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import (
    Attempt,
    EndpointId,
    FailureDomainId,
    Incarnation,
    ModelId,
    RequestId,
    ServiceId,
)
from lagoonwing_core.models import EndpointKind, EndpointRecord, EndpointState
from lagoonwing_entry import AdapterSettings, HttpEndpointAdapter
from lagoonwing_entry.models import DispatchId, DispatchTarget, ServiceCallRequest

ADDRESS = "127.0.0.1"
REQUEST_END = b"\r\n\r\n"

Answer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def _report(number: int) -> bytes:
    """Return an answer with one cache event."""
    body = b'{"events":[{"number":%d,"prefix":"a","held":true}]}' % number
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


async def _async_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request, and send the answer before it once more in front."""
    earlier = b""
    try:
        while True:
            request = await reader.readuntil(REQUEST_END)
            number = int(request.split(b"after=")[1].split(b" ")[0])
            writer.write(earlier + _report(number))
            earlier = _report(number)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


@pytest.fixture
def answer() -> Answer:
    """How the endpoint answers on a connection."""
    return _async_answer


@pytest.fixture
async def target(answer: Answer) -> AsyncIterator[DispatchTarget]:
    """An endpoint that sends its reports twice."""
    server = await asyncio.start_server(answer, ADDRESS, 0)
    record = EndpointRecord(
        endpoint_id=EndpointId("e"),
        incarnation=Incarnation(1),
        sequence=1,
        state=EndpointState.SERVING,
        kind=EndpointKind.WHOLE_MODEL,
        address=ADDRESS,
        port=server.sockets[0].getsockname()[1],
        failure_domain=FailureDomainId("a"),
        models=(ModelId("m"),),
    )
    yield DispatchTarget(record)
    server.close()


# Guards against a late second report that is taken for the next one.
async def test_report_is_the_answer_to_its_own_request(target: DispatchTarget) -> None:
    """Each report is the one that was asked for."""
    adapter = HttpEndpointAdapter(AdapterSettings(), LoopClock())
    for number in (1, 2, 3):
        events = await adapter.async_cache_events(target, number)
        assert [event.number for event in events] == [number]
    await adapter.async_unload()


async def _async_answer_twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer a report, and answer it again when the next request comes."""
    late = b""
    try:
        while True:
            request = await reader.readuntil(REQUEST_END)
            if b"after=" in request:
                late = _report(1)
                writer.write(late)
                continue
            headers = HTTPHeaders.parse(request.decode().partition("\r\n")[2])
            ids = "".join(f"{name}: {headers[name]}\r\n" for name in ("X-Request-Id", "X-Attempt"))
            writer.write(late + f"HTTP/1.1 200 OK\r\n{ids}Content-Length: 0\r\n\r\n".encode())
            late = b""
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


# Guards against requests that fail because of the late second report on the connection.
@pytest.mark.parametrize("answer", [_async_answer_twice])
async def test_second_report_stands_in_front_of_no_request(target: DispatchTarget) -> None:
    """The call that follows a report gets its answer."""
    adapter = HttpEndpointAdapter(AdapterSettings(), LoopClock())
    await adapter.async_cache_events(target, 1)
    call = ServiceCallRequest(ServiceId("s"), "GET", "/x", (), b"")
    dispatch_id = DispatchId(RequestId("r"), Attempt(1))
    response = await adapter.async_call_service(target, dispatch_id, call, fresh=False)
    assert response.status == 200
    await adapter.async_unload()
