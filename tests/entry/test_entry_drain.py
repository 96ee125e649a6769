"""Planned stops and drains: no new work, and nothing that runs is cut."""

from __future__ import annotations

import asyncio

from entry_cell import Cell, async_until, chat_prompt

from lagoonwing_core.ids import Revision, StopId
from lagoonwing_core.models import PlannedStop, StopState, StopTarget
from lagoonwing_fakes import FakeKind, expected_text

LONG = "long note [tokens=60]"


def _stop(target: StopTarget, target_id: str) -> PlannedStop:
    """Return an ordered stop."""
    return PlannedStop(
        stop_id=StopId("stop1"),
        target=target,
        target_id=target_id,
        state=StopState.DRAINING,
        revision=Revision(2),
    )


async def test_a_drain_ends_what_runs_and_refuses_the_rest(cell: Cell) -> None:
    """A long stream ends whole; a new request is refused as not run; readiness falls."""
    host = await cell.async_add_host()
    await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1", tokens_per_s=1600.0)
    running = asyncio.create_task(host.async_stream(LONG))
    await async_until(lambda: host.entry.runner.active_count)
    draining = asyncio.create_task(host.entry.async_drain(grace_s=30.0))
    await async_until(lambda: host.entry.readiness.draining)
    refused = await host.async_chat("new")
    assert refused.headers["X-Outcome"] == "not_run"
    assert refused.headers["X-Result-Code"] == "4002"
    assert (await host.async_request("/readyz", None, "GET")).code == 503
    streamed = await running
    assert streamed.text == expected_text(chat_prompt(LONG))
    assert streamed.done and streamed.whole
    assert await draining


async def test_a_drain_ends_with_its_grace(cell: Cell) -> None:
    """What runs longer than the grace is reported as not ended."""
    host = await cell.async_add_host()
    await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1", tokens_per_s=80.0)
    running = asyncio.create_task(host.async_stream(LONG))
    await async_until(lambda: host.entry.runner.active_count)
    assert not await host.entry.async_drain(grace_s=0.05)
    running.cancel()


async def test_a_planned_stop_of_this_host_takes_it_out(cell: Cell) -> None:
    """New work is refused, and what runs is counted until nothing does."""
    host = await cell.async_add_host()
    await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1", tokens_per_s=1600.0)
    running = asyncio.create_task(host.async_stream(LONG))
    await async_until(lambda: host.entry.runner.active_count)
    host.control.view.stop_by_id[StopId("stop1")] = _stop(StopTarget.HOST, "e1")
    for listener in cell.table.listeners:
        listener()
    assert (await host.async_chat("new")).headers["X-Result-Code"] == "4002"
    await async_until(lambda: ("stop1", 1) in host.control.stop_reports)
    assert (await running).done
    await async_until(lambda: host.control.stop_reports[-1] == ("stop1", 0))


async def test_in_flight_work_is_counted_per_target(cell: Cell) -> None:
    """Endpoints and failure domains are counted by the routes that run."""
    host = await cell.async_add_host()
    await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1", tokens_per_s=1600.0, failure_domain="fd7")
    running = asyncio.create_task(host.async_stream(LONG))
    await async_until(lambda: any(active.records for active in host.entry.runner.active))
    count = host.entry.control_sync.in_flight_of
    assert count(_stop(StopTarget.ENDPOINT, "w1")) == 1
    assert count(_stop(StopTarget.ENDPOINT, "w2")) == 0
    assert count(_stop(StopTarget.FAILURE_DOMAIN, "fd7")) == 1
    assert count(_stop(StopTarget.FAILURE_DOMAIN, "fd2")) == 0
    assert (await running).done
