"""Checks made at the last moment: lease, records, time since the choice, bytes held."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest
from entry_cell import Cell, async_until, chat_prompt
from tornado.httputil import HTTPHeaders

from lagoonwing_core.ids import Attempt, RequestId
from lagoonwing_core.models import EndpointState
from lagoonwing_entry._dispatch import OpenDispatch, OutgoingRequest
from lagoonwing_entry.errors import DispatchError
from lagoonwing_entry.models import DispatchId
from lagoonwing_fakes import FakeKind, Fault, FaultPlan, expected_text
from lagoonwing_policy.models import Dispatch


async def test_nothing_is_dispatched_once_the_lease_has_lapsed(cell: Cell) -> None:
    """A request that waited for a slot meanwhile is refused as not run."""
    host = await cell.async_add_host()
    await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1", slots=1, tokens_per_s=200.0)
    running = asyncio.create_task(host.async_stream("first [tokens=40]"))
    await async_until(lambda: any(active.records for active in host.entry.runner.active))
    waiting = asyncio.create_task(host.async_chat("second"))
    await async_until(lambda: host.entry.runner.active_count == 2)
    host.control.lease = False
    refused = await waiting
    assert refused.headers["X-Outcome"] == "not_run"
    assert refused.headers["X-Result-Code"] == "4003"
    assert (await running).done
    assert len(cell.truth("start")) == 1


async def test_a_crossed_answer_is_no_death(cell: Cell) -> None:
    """An endpoint that errs has not died, so its requests are no suspects."""
    host = await cell.async_add_host()
    await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1", FaultPlan(fault=Fault.CROSSED, count=1))
    await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w2")
    streamed = await host.async_stream("x")
    assert streamed.text == expected_text(chat_prompt("x"))
    assert not cell.table.suspects


async def test_bodies_together_are_bounded(cell: Cell) -> None:
    """While one large body is held, the next is refused; afterwards it is served."""
    host = await cell.async_add_host(max_buffered_bytes=30_000)
    fake = await cell.async_add_fake(
        FakeKind.WHOLE_MODEL, "w1", FaultPlan(fault=Fault.FREEZE, after_tokens=2, count=1)
    )
    held = asyncio.create_task(host.async_chat("x" * 20_000))
    await async_until(lambda: any(active.records for active in host.entry.runner.active))
    refused = await host.async_chat("y" * 20_000)
    assert refused.headers["X-Result-Code"] == "3001"
    assert refused.headers["X-Outcome"] == "not_run"
    fake.engine.order(FaultPlan())
    assert (await held).code == 200
    assert (await host.async_chat("y" * 20_000)).code == 200


async def test_records_are_judged_anew_after_a_pause(cell: Cell) -> None:
    """A process that stood still dispatches nothing to an endpoint that left meanwhile."""
    host = await cell.async_add_host()
    await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    shell = host.entry.membership_service
    now = shell._clock.now()
    # The leave is known to membership, but no tick has handed it on: the process stood still.
    shell._tick_task.stop()
    known = host.entry.directory.records()[0]
    leaving = msgspec.structs.replace(known, state=EndpointState.LEAVING, sequence=99)
    shell._membership.announce(leaving, now)
    shell._refreshed_at = now - 10.0
    answer = await host.async_chat("x", headers={"X-Deadline-Ms": "300"})
    assert answer.headers["X-Outcome"] == "not_run"
    assert not cell.truth()


class _SlowPool:
    """Pool that takes longer than a dispatch may wait."""

    def __init__(self) -> None:
        self.closed = False

    async def async_take_for(self, record: Any, fresh: bool) -> Any:
        """Take two seconds."""
        await asyncio.sleep(2.0)
        return self

    def close(self) -> None:
        """Note that the connection was given up."""
        self.closed = True


@pytest.mark.looptime
async def test_a_dispatch_that_comes_too_late_is_not_sent() -> None:
    """What was known of the endpoint as it was chosen may no longer hold."""
    pool = _SlowPool()
    dispatch_id = DispatchId(RequestId("r1"), Attempt(256))
    request = OutgoingRequest("POST", "/", HTTPHeaders(), b"", dispatch_id)
    with pytest.raises(DispatchError) as raised:
        async with OpenDispatch(pool, None, request):  # type: ignore[arg-type]
            pass
    assert raised.value.failure.dispatch is Dispatch.NO_BYTE_SENT
    assert not raised.value.failure.endpoint_died
    assert pool.closed
