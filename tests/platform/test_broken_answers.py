"""Answers of endpoints that end early, come late or lack framing."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from platform_deployment import Deployment, async_start_engines
from silent_endpoints import stop_endpoint

from lagoonwing_catalog.messages import LoadSummary
from lagoonwing_fakes.platform import Endpoint, WorkHandler, make_caller_headers, make_document
from lagoonwing_fakes.platform.const import ADDRESS, EVENTS
from lagoonwing_gateway import _watchdog
from lagoonwing_http import ConnectError
from lagoonwing_platform.const import (
    HEADER_ATTEMPT_ID,
    HEADER_NOT_EXECUTED,
    HEADER_PATH,
    HEADER_SIGNATURE,
)

EVENT_CONTENTS = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENTS + 1)]
COMPLETE_STREAM = b"".join(EVENT_CONTENTS)
EVENT_INTERVAL_S = 0.05
SILENCE_S = 1.5
LATE_BODY_S = 1.5
STALL_S = 0.5
LONG_STREAM_S = 1.0
ANSWER_TIMEOUT_S = 5.0


def _path(deployment: Deployment, handler: WorkHandler) -> list[Endpoint]:
    """Return the endpoints on the path of a stream."""
    parts = handler.request.headers[HEADER_PATH].split(",")
    ports = [int(part.split("=")[0].rsplit(":", 1)[1]) for part in parts]
    by_port = {endpoint.port: endpoint for endpoint in deployment.endpoints}
    return [by_port[port] for port in ports]


def _break_off(handler: WorkHandler) -> None:
    """Close the connection in the middle of an answer."""
    connection: Any = handler.request.connection
    connection.stream.close()
    handler._finished = True


def _override_all(deployment: Deployment, handle: Any) -> None:
    """Handle the requests to all endpoints with one function."""
    for endpoint in deployment.endpoints:
        endpoint.handler_override = handle


async def _async_refuse_with_late_body(handler: WorkHandler) -> None:
    """Send the head of a refusal at once, its body later."""
    handler.set_status(503)
    handler.set_header("X-Lagoonwing-Not-Executed", "1")
    handler.write(b"f")
    await handler.flush()
    await asyncio.sleep(LATE_BODY_S)
    _break_off(handler)


async def test_refusal_with_late_body_moves_the_stream(deployment: Deployment) -> None:
    """A stream that an endpoint refuses is served on another path."""
    await async_start_engines(deployment)
    refused: list[bool] = []

    async def handle(handler: WorkHandler) -> None:
        if not refused:
            refused.append(True)
            await _async_refuse_with_late_body(handler)

    _override_all(deployment, handle)
    response = await deployment.async_send_request("stream", "a-1")
    assert (response.code, response.body) == (200, COMPLETE_STREAM)


async def test_started_stream_gets_no_second_response_head(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A failure inside the gateway ends a started stream without further bytes."""
    await async_start_engines(deployment)
    suspicions = deployment.gateway._suspicions
    record_progress = suspicions.record_progress
    progress: list[Any] = []

    def fail_on_second_event(endpoint_ids: Any) -> None:
        progress.append(endpoint_ids)
        if len(progress) > 1:
            raise RuntimeError("failure inside the gateway")
        record_progress(endpoint_ids)

    monkeypatch.setattr(suspicions, "record_progress", fail_on_second_event)

    async def handle(handler: WorkHandler) -> None:
        handler.set_header(HEADER_SIGNATURE, "stamp-first")
        for content in EVENT_CONTENTS:
            handler.write(content)
            await handler.flush()
            await asyncio.sleep(EVENT_INTERVAL_S)

    _override_all(deployment, handle)
    answer = await _async_raw_answer(deployment)
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.count(b"HTTP/1.1 ") == 1
    assert not answer.endswith(b"0\r\n\r\n")


async def _async_raw_answer(deployment: Deployment) -> bytes:
    """Send a stream request and return the bytes up to the end of the connection."""
    reader, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port)
    headers = make_caller_headers("stream", "a-1", deadline_ms=3_000)
    lines = ["POST /stream/x HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    writer.write("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await reader.read()
    finally:
        writer.close()


async def test_crash_below_a_stream_that_cannot_move_is_counted(deployment: Deployment) -> None:
    """An endpoint that ends under a stream counts as a crash, though the stream can't go on."""
    document = json.loads(make_document())
    document["routes"][2]["resumable"] = False
    await async_start_engines(deployment, routes=document["routes"])

    async def handle(handler: WorkHandler) -> None:
        handler.set_header(HEADER_SIGNATURE, "stamp-first")
        await handler.send_events(1)
        stop_endpoint(_path(deployment, handler)[1])
        await asyncio.sleep(STALL_S)
        _break_off(handler)

    _override_all(deployment, handle)
    await asyncio.gather(deployment.async_send_request("stream", "a-1"), return_exceptions=True)
    assert list(deployment.gateway._crash_tracker.counts().values()) == [1]


async def test_started_stream_stays_if_the_other_path_refuses_it(deployment: Deployment) -> None:
    """A stream is whole if its path is silent for a while and all others refuse connections."""
    await async_start_engines(deployment)
    sent: list[bool] = []

    async def handle(handler: WorkHandler) -> None:
        if sent:
            return
        sent.append(True)
        handler.set_header(HEADER_SIGNATURE, "stamp-first")
        await handler.send_events(2)
        path = _path(deployment, handler)
        for endpoint in deployment.endpoints:
            if endpoint not in path:
                stop_endpoint(endpoint)
        await asyncio.sleep(SILENCE_S)
        for content in EVENT_CONTENTS[2:]:
            handler.write(content)
            await handler.flush()
        await handler.finish()

    _override_all(deployment, handle)
    response = await deployment.async_send_request("stream", "a-1")
    assert (response.code, response.body) == (200, COMPLETE_STREAM)


async def test_started_stream_that_is_refused_elsewhere_is_not_aborted(
    deployment: Deployment,
) -> None:
    """A stream that left a silent path waits until the only other one, which is full, takes it."""
    await async_start_engines(deployment, 4)
    sends: list[str] = []

    async def handle(handler: WorkHandler) -> None:
        sends.append(handler.endpoint.endpoint_id)
        if len(sends) == 1:
            handler.set_header(HEADER_SIGNATURE, "stamp-first")
            await handler.send_events(2)
            await asyncio.sleep(SILENCE_S)
        elif len(sends) == 2:
            handler.set_status(503)
            handler.set_header(HEADER_NOT_EXECUTED, "1")
            handler.finish()

    _override_all(deployment, handle)
    response = await deployment.async_send_request("stream", "a-1")
    assert (response.code, response.body) == (200, COMPLETE_STREAM)


async def _async_send_unframed(handler: WorkHandler, contents: list[bytes]) -> Any:
    """Send a stream without length and chunks; return the connection, which is still open."""
    connection: Any = handler.request.connection
    handler._finished = True
    head = (
        f"HTTP/1.1 200 OK\r\n{HEADER_ATTEMPT_ID}: {handler.attempt_id}\r\n"
        f"{HEADER_SIGNATURE}: stamp-first\r\nContent-Type: text/event-stream\r\n\r\n"
    )
    stream = connection.stream
    await stream.write(head.encode())
    for content in contents:
        await stream.write(content)
        await asyncio.sleep(EVENT_INTERVAL_S)
    return stream


async def test_unframed_stream_that_moves_is_not_cut_short(deployment: Deployment) -> None:
    """A stream is whole though an endpoint on its path ends and its answer has no framing."""
    await async_start_engines(deployment)
    sent: list[bool] = []

    async def handle(handler: WorkHandler) -> None:
        if sent:
            return
        sent.append(True)
        stream = await _async_send_unframed(handler, EVENT_CONTENTS[:2])
        stop_endpoint(_path(deployment, handler)[1])
        await asyncio.sleep(STALL_S)
        stream.close()

    _override_all(deployment, handle)
    response = await deployment.async_send_request("stream", "a-1")
    assert (response.code, response.body) == (200, COMPLETE_STREAM)


async def test_call_is_not_sent_after_its_caller_has_left(deployment: Deployment) -> None:
    """A call that waited for the first document is dropped if its caller left meanwhile."""
    endpoint = await deployment.async_add_endpoint("p-1", "plain")
    _, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port)
    headers = make_caller_headers("safe", "a-1", deadline_ms=3_000)
    lines = ["GET /safe/x HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    await deployment.async_wait_until(lambda: deployment.gateway.active_requests == 1)
    writer.close()
    await asyncio.sleep(EVENT_INTERVAL_S)
    await deployment.async_set_document()
    await deployment.async_wait_until(lambda: deployment.gateway.active_requests == 0)
    assert endpoint.executed_ids == []


@pytest.mark.parametrize("route", ["safe", "unsafe"])
async def test_call_to_an_endpoint_ends_with_its_caller(deployment: Deployment, route: str) -> None:
    """A call whose caller left while a connection was opened does not run on."""
    await deployment.async_set_document()
    endpoint = await deployment.async_add_endpoint("p-1", "plain")
    client = deployment.gateway._call_handler._endpoint_client
    async_connect = client.async_connect

    async def async_connect_late(record: Any, fresh: bool) -> Any:
        await asyncio.sleep(STALL_S)
        return await async_connect(record, fresh)

    client.async_connect = async_connect_late  # type: ignore[method-assign]

    async def handle(handler: WorkHandler) -> None:
        await asyncio.sleep(SILENCE_S)

    endpoint.handler_override = handle
    _, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port)
    headers = make_caller_headers(route, "a-1", deadline_ms=3_000)
    method = "GET" if route == "safe" else "POST"
    lines = [
        f"{method} /{route}/x HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    writer.write("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())
    await deployment.async_wait_until(lambda: deployment.gateway.active_requests == 1)
    writer.close()
    async with asyncio.timeout(2 * STALL_S):
        await deployment.async_wait_until(lambda: deployment.gateway.active_requests == 0)


async def test_probe_that_ends_after_new_progress_suspects_nothing(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An endpoint that makes progress while a probe of it times out is not suspected."""
    await deployment.async_set_document()
    await deployment.async_add_endpoint("p-1", "plain")
    gateway = deployment.gateway
    record = next(iter(gateway.follower.endpoint_by_id.values()))

    async def async_time_out(*arguments: Any) -> Any:
        await asyncio.sleep(0)
        gateway._suspicions.record_progress((record.endpoint_id,))
        raise ConnectError("no reply in time") from TimeoutError()

    monkeypatch.setattr(_watchdog, "async_open_connection", async_time_out)
    assert await gateway._watchdog.async_probe(record) is None
    assert gateway._suspicions.suspected() == ()


async def test_call_stays_if_the_other_endpoint_refuses_it(deployment: Deployment) -> None:
    """A safe call is answered if its endpoint is silent for a while and the other one has ended."""
    await deployment.async_set_document()
    for name in ("p-1", "p-2"):
        await deployment.async_add_endpoint(name, "plain")
    sent: list[bool] = []

    async def handle(handler: WorkHandler) -> None:
        if sent:
            return
        sent.append(True)
        for endpoint in deployment.endpoints:
            if endpoint is not handler.endpoint:
                stop_endpoint(endpoint)
        await asyncio.sleep(SILENCE_S)

    _override_all(deployment, handle)
    response = await deployment.async_send_request("safe", "a-1")
    assert response.code == 200


async def test_crash_of_the_first_endpoint_is_counted(deployment: Deployment) -> None:
    """An endpoint that ends and so breaks off its own stream counts as a crash."""
    await async_start_engines(deployment)

    async def handle(handler: WorkHandler) -> None:
        handler.set_header(HEADER_SIGNATURE, "stamp-first")
        await handler.send_events(1)
        await asyncio.sleep(EVENT_INTERVAL_S)
        stop_endpoint(handler.endpoint)
        _break_off(handler)

    _override_all(deployment, handle)
    await asyncio.gather(deployment.async_send_request("stream", "a-1"), return_exceptions=True)
    assert sum(deployment.gateway._crash_tracker.counts().values()) == 2


async def test_endpoint_with_progress_is_used_though_another_gateway_suspects_it(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A gateway whose link is harmed does not keep the others from endpoints that serve them."""
    await async_start_engines(deployment, 2)

    async def handle(handler: WorkHandler) -> None:
        handler.set_header(HEADER_SIGNATURE, "stamp-first")
        for content in EVENT_CONTENTS:
            handler.write(content)
            await handler.flush()
            await asyncio.sleep(LONG_STREAM_S / EVENTS)
        await handler.finish()

    _override_all(deployment, handle)
    running = asyncio.create_task(deployment.async_send_request("stream", "a-1"))
    await asyncio.sleep(LONG_STREAM_S / 2)
    suspects = tuple(deployment.gateway.follower.endpoint_by_id)
    summary = LoadSummary({}, suspects)
    monkeypatch.setattr(deployment.gateway.follower, "load_summary", lambda: summary)
    response = await deployment.async_send_request("stream", "a-2")
    assert (await running).body == COMPLETE_STREAM
    assert (response.code, response.body) == (200, COMPLETE_STREAM)
