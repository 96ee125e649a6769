"""Endpoints whose answers have no end: calls end in time, with few bytes held and none kept."""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager

import msgspec
import pytest
from endless_server import Endless, EndlessServer

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
# Time of each of connect, head and body, and a margin for a busy machine.
END_S = 3 * TIMEOUT_S + 2.0
MAX_RESPONSE_BYTES = 1024 * 1024
# Copies of a body while it is joined, and buffers on both sides of a connection.
MAX_HELD_BYTES = 4 * MAX_RESPONSE_BYTES
MAX_KEPT_BYTES = 512 * 1024
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
    call = ServiceCallRequest(ServiceId("s"), "GET", "/x", (), b"", None)
    await adapter.async_call_service(target, DISPATCH_ID, call, fresh=True)


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


@asynccontextmanager
async def _async_serve(
    part: Endless, drips: bool, frame: bytes | None = None
) -> AsyncIterator[tuple[EndlessServer, HttpEndpointAdapter, DispatchTarget]]:
    """Run an endless server and an adapter for it."""
    server = EndlessServer(part, drips, frame)
    await server.async_setup()
    record = EndpointRecord(
        endpoint_id=EndpointId("s"),
        incarnation=Incarnation(1),
        sequence=1,
        state=EndpointState.SERVING,
        kind=EndpointKind.STAGE,
        address="127.0.0.1",
        port=server.port,
        failure_domain=FailureDomainId("a"),
        models=(ModelId("m"),),
        layers=LAYERS,
        layer_count=4,
    )
    adapter = HttpEndpointAdapter(SETTINGS, LoopClock())
    try:
        yield server, adapter, DispatchTarget(record)
    finally:
        await adapter.async_unload()
        await server.async_unload()


@pytest.fixture
def traced() -> Iterator[None]:
    """Trace allocations, without a garbage collector that would end reference cycles."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    yield
    tracemalloc.stop()
    gc.enable()


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
    traced: None, name: str, part: Endless
) -> None:
    """The connection closes within the bounds of time and bytes, and its bytes are let go."""
    async with _async_serve(part, drips=False) as (server, adapter, target):
        started_at = time.monotonic()
        tracemalloc.reset_peak()
        before = tracemalloc.get_traced_memory()[0]
        await _async_fail(ALL_CALLS_BY_NAME[name](adapter, target))
        assert time.monotonic() - started_at < END_S
        await server.async_wait_closed(END_S)
        kept, peak = tracemalloc.get_traced_memory()
        assert peak - before < MAX_HELD_BYTES
        assert kept - before < MAX_KEPT_BYTES


@pytest.mark.parametrize("part", Endless)
@pytest.mark.parametrize("name", CALLS_BY_NAME)
async def test_drip_does_not_prolong_a_call(name: str, part: Endless) -> None:
    """A byte now and then keeps no reader beyond its deadline."""
    async with _async_serve(part, drips=True) as (server, adapter, target):
        async with asyncio.timeout(END_S):
            await _async_fail(CALLS_BY_NAME[name](adapter, target))
        await server.async_wait_closed(END_S)
