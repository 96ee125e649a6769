"""Endpoints whose answers have no end: calls end in time, with few bytes held and none kept."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import msgspec
import pytest
from endless_server import Endless, EndlessAnswers
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

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
from lagoonwing_core.models import EndpointKind, EndpointRecord, EndpointState, LayerRange
from lagoonwing_entry import AdapterSettings, HttpEndpointAdapter
from lagoonwing_entry.errors import DispatchError
from lagoonwing_entry.models import (
    CompletionDispatch,
    CompletionKind,
    DispatchId,
    DispatchTarget,
    ModelCall,
    ServiceCallRequest,
    StageReplay,
    StageStep,
)
from lagoonwing_policy.models import Priority

TIMEOUT_S = 1.0
# Time of each of connect, head and body, and a margin for a busy host.
END_S = 3 * TIMEOUT_S + 2.0
MAX_RESPONSE_BYTES = 1024 * 1024
# Copies of a body while it is joined, and buffers on both sides of a connection.
MAX_HELD_BYTES = 4 * MAX_RESPONSE_BYTES
MAX_KEPT_BYTES = 512 * 1024
# Calls at the same time, which may hold 64 MiB, and the buffers of each connection.
CALLS = 60
MAX_HELD_OF_ALL_BYTES = 100 * 1024 * 1024
SOUND_BODY = b"sound" * 20_000
SETTINGS = AdapterSettings(
    connect_timeout_s=TIMEOUT_S,
    idle_timeout_s=TIMEOUT_S,
    first_byte_timeout_s=TIMEOUT_S,
    step_timeout_s=TIMEOUT_S,
    max_response_bytes=MAX_RESPONSE_BYTES,
    report_timeout_s=TIMEOUT_S,
)
DISPATCH_ID = DispatchId(RequestId("r1"), Attempt(256))
LAYERS = LayerRange(0, 4)
SERVICE_CALL = ServiceCallRequest(ServiceId("s"), "GET", "/x", (), b"", None)
STEP = StageStep(DISPATCH_ID, 3, LAYERS, msgspec.Raw(b"{}"))
REPLAY = StageReplay(DISPATCH_ID, LAYERS, "p", 4, ())

Call = Callable[[HttpEndpointAdapter, DispatchTarget], Awaitable[object]]


async def _async_stream(adapter: HttpEndpointAdapter, target: DispatchTarget) -> None:
    """Read a whole completion."""
    call = ModelCall(CompletionKind.CHAT, ModelId("m"), "p", 0, 0, True, {})
    completion = CompletionDispatch(DISPATCH_ID, Priority.NORMAL, call, 0, "")
    async for _ in adapter.tokens(target, completion):
        pass


async def _async_call_service(adapter: HttpEndpointAdapter, target: DispatchTarget) -> None:
    """Call a service."""
    await adapter.async_call_service(target, DISPATCH_ID, SERVICE_CALL, fresh=True)


# Calls that have no deadline but their own; the others are ended by the deadline of a request.
CALLS_BY_NAME: dict[str, Call] = {
    "load": lambda adapter, target: adapter.async_load(target),
    "cache events": lambda adapter, target: adapter.async_cache_events(target, 0),
    "step": lambda adapter, target: adapter.async_step(target, STEP),
    "replay": lambda adapter, target: adapter.async_replay(target, REPLAY),
    "export": lambda adapter, target: adapter.async_export(target, DISPATCH_ID, 3),
    "close": lambda adapter, target: adapter.async_close_stage(target, DISPATCH_ID, 3),
}
ALL_CALLS_BY_NAME: dict[str, Call] = {
    **CALLS_BY_NAME,
    "service": _async_call_service,
    "stream": _async_stream,
}


def _target(port: int) -> DispatchTarget:
    """Return the endpoint at a port."""
    record = EndpointRecord(
        endpoint_id=EndpointId(f"s-{port}"),
        incarnation=Incarnation(1),
        sequence=1,
        state=EndpointState.SERVING,
        kind=EndpointKind.STAGE,
        address="127.0.0.1",
        port=port,
        failure_domain=FailureDomainId("a"),
        models=(ModelId("m"),),
        layers=LAYERS,
        layer_count=4,
    )
    return DispatchTarget(record)


@asynccontextmanager
async def _async_adapter(
    port: int, settings: AdapterSettings = SETTINGS
) -> AsyncIterator[tuple[HttpEndpointAdapter, DispatchTarget]]:
    """Run an adapter, with an endpoint at the port."""
    adapter = HttpEndpointAdapter(settings, LoopClock())
    yield adapter, _target(port)
    await adapter.async_unload()


async def _async_fail(call: Awaitable[object]) -> None:
    """Wait for a call that must fail, and keep nothing of its error."""
    try:
        await call
    except DispatchError:
        return
    pytest.fail("an answer without end was taken for a whole one")


@pytest.mark.parametrize("part", Endless)
@pytest.mark.parametrize("name", ALL_CALLS_BY_NAME)
async def test_flood_is_cut_and_nothing_of_it_is_kept(
    endless_answers: EndlessAnswers, no_collection: None, name: str, part: Endless
) -> None:
    """The connection closes within the bounds of time and bytes, and its bytes are let go."""
    async with _async_adapter(endless_answers.port(part, False)) as (adapter, target):
        started_at = time.monotonic()
        await _async_fail(ALL_CALLS_BY_NAME[name](adapter, target))
        assert time.monotonic() - started_at < END_S
        await endless_answers.async_wait_closed(part, False, END_S)
        kept, peak = tracemalloc.get_traced_memory()
        assert peak < MAX_HELD_BYTES
        assert kept < MAX_KEPT_BYTES


@pytest.mark.parametrize("part", Endless)
@pytest.mark.parametrize("name", CALLS_BY_NAME)
async def test_drip_does_not_prolong_a_call(
    endless_answers: EndlessAnswers, name: str, part: Endless
) -> None:
    """A byte now and then keeps no reader beyond its deadline."""
    async with _async_adapter(endless_answers.port(part, True)) as (adapter, target):
        async with asyncio.timeout(END_S):
            await _async_fail(CALLS_BY_NAME[name](adapter, target))
        await endless_answers.async_wait_closed(part, True, END_S)


class _SoundHandler(RequestHandler):
    """Answers with a whole body."""

    def get(self) -> None:
        """Echo the ids, with the sound body."""
        for name in ("X-Request-Id", "X-Attempt"):
            self.set_header(name, self.request.headers[name])
        self.finish(SOUND_BODY)


@pytest.fixture
async def sound_target() -> AsyncIterator[DispatchTarget]:
    """Endpoint with whole answers."""
    sock, port = bind_unused_port()
    server = HTTPServer(Application([("/x", _SoundHandler)], log_function=lambda handler: None))
    server.add_socket(sock)
    yield _target(port)
    server.stop()


@pytest.mark.parametrize("part", [Endless.BODY_IN_CHUNKS, Endless.BODY_WITHOUT_LENGTH])
@pytest.mark.parametrize("name", ["service", "step"])
async def test_bytes_of_all_answers_are_bounded_and_sound_ones_served(
    endless_answers: EndlessAnswers,
    sound_target: DispatchTarget,
    no_collection: None,
    name: str,
    part: Endless,
) -> None:
    """Calls of a flooding endpoint fail; those of another are answered meanwhile."""
    port = endless_answers.port(part, False)
    async with _async_adapter(port, AdapterSettings()) as (adapter, target):
        call = ALL_CALLS_BY_NAME[name]
        floods = [asyncio.ensure_future(_async_fail(call(adapter, target))) for _ in range(CALLS)]
        while not all(flood.done() for flood in floods):
            response = await adapter.async_call_service(
                sound_target, DISPATCH_ID, SERVICE_CALL, fresh=False
            )
            assert response.body == SOUND_BODY
        await asyncio.gather(*floods)
        assert tracemalloc.get_traced_memory()[1] < MAX_HELD_OF_ALL_BYTES
