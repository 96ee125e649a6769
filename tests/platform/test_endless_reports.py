"""Engines whose reports and replies to orders have no end."""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from endless_server import Endless, EndlessAnswers

from lagoonwing_catalog.models import EndpointRecord, EndpointState, LayerRange
from lagoonwing_core.ids import EndpointId, FailureDomainId, ServiceId, Term
from lagoonwing_platform.const import CALL_TIMEOUT_S, CONNECT_TIMEOUT_S, MAX_RESPONSE_BYTES
from lagoonwing_platform.engine_client import EngineClient

ENGINES = 700
# Connect, answer, and a margin for a busy host.
END_S = CONNECT_TIMEOUT_S + CALL_TIMEOUT_S + 2.0
# Copies of a body while it is joined, and buffers of a connection.
MAX_HELD_BYTES = 4 * MAX_RESPONSE_BYTES + 512 * 1024
# The smallest host gives a process 300 MB, of which the rest of the process needs a third.
MAX_HELD_OF_ALL_BYTES = 200 * 1024 * 1024
# Small objects in reference cycles, which the collector of garbage ends.
MAX_KEPT_BYTES = 512 * 1024
MAX_KEPT_PER_ENGINE_BYTES = 16 * 1024

Call = Callable[[EngineClient, EndpointRecord], Awaitable[Any]]
CALLS_BY_NAME: dict[str, Call] = {
    "report": lambda client, record: client.async_report(record),
    "order": lambda client, record: client.async_place(record, LayerRange(0, 4), 0, Term(1)),
}


def _record(port: int) -> EndpointRecord:
    """Return the record of an engine."""
    return EndpointRecord(
        endpoint_id=EndpointId("i-1"),
        service_id=ServiceId("s"),
        address="127.0.0.1",
        port=port,
        failure_domain=FailureDomainId("z"),
        slots=1,
        state=EndpointState.READY,
        started_ms=1,
        sequence=1,
    )


async def _async_play(
    servers: EndlessAnswers, part: Endless, drips: bool, call: Call, engines: int, max_bytes: int
) -> None:
    """Call engines that never end their answers; none may succeed, and nothing may be kept."""
    client, record = EngineClient(), _record(servers.port(part, drips))
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        results = await asyncio.gather(*(call(client, record) for _ in range(engines)))
        assert all(result.is_error() for result in results)
        del results
        await servers.async_wait_closed(part, drips, END_S)
        kept, peak = tracemalloc.get_traced_memory()
        assert peak < max_bytes
        assert kept < MAX_KEPT_BYTES + engines * MAX_KEPT_PER_ENGINE_BYTES
    finally:
        tracemalloc.stop()
        gc.enable()


@pytest.mark.parametrize("drips", [False, True])
@pytest.mark.parametrize("part", Endless)
@pytest.mark.parametrize("name", CALLS_BY_NAME)
async def test_answer_without_end_is_cut(
    endless_answers: EndlessAnswers, name: str, part: Endless, drips: bool
) -> None:
    """The call ends in time with few bytes held, and none kept."""
    started_at = time.monotonic()
    await _async_play(endless_answers, part, drips, CALLS_BY_NAME[name], 1, MAX_HELD_BYTES)
    assert time.monotonic() - started_at < END_S


@pytest.mark.parametrize("part", [Endless.BODY_IN_CHUNKS, Endless.BODY_WITHOUT_LENGTH])
async def test_answers_without_end_of_many_engines_are_bounded(
    endless_answers: EndlessAnswers, part: Endless
) -> None:
    """Reports of many engines at once hold a bounded number of bytes."""
    call = CALLS_BY_NAME["report"]
    await _async_play(endless_answers, part, False, call, ENGINES, MAX_HELD_OF_ALL_BYTES)
