"""Checks made right before a dispatch, and the limit on buffered request bodies."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest
from entry_client import chat_prompt
from entry_cluster import Cluster, async_wait_until
from tornado.httputil import HTTPHeaders

from lagoonwing_core.ids import Attempt, RequestId
from lagoonwing_core.models import EndpointState
from lagoonwing_entry._dispatch import OpenDispatch, OutgoingRequest
from lagoonwing_entry.errors import DispatchError
from lagoonwing_entry.models import DispatchId
from lagoonwing_fakes import FakeKind, Fault, FaultPlan, expected_text
from lagoonwing_http import ResponseBudget
from lagoonwing_policy.models import Dispatch


async def test_queued_request_is_refused_after_the_lease_expired(cluster: Cluster) -> None:
    """A request that was queued when the lease expired is refused as `not_run`."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1", slots=1, tokens_per_s=200.0)
    running = asyncio.create_task(host.async_stream("first [tokens=40]"))
    await async_wait_until(lambda: any(active.records for active in host.entry.runner.active))
    waiting = asyncio.create_task(host.async_chat("second"))
    await async_wait_until(lambda: host.entry.runner.active_count == 2)
    host.control.lease_valid = False
    refused = await waiting
    assert refused.headers["X-Outcome"] == "not_run"
    assert refused.headers["X-Result-Code"] == "4003"
    assert (await running).done
    assert len(cluster.endpoint_log("start")) == 1


async def test_mismatched_response_does_not_count_as_a_crash(cluster: Cluster) -> None:
    """A mismatched response is not a crash, so the request does not become a suspect."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(
        FakeKind.WHOLE_MODEL, "w1", FaultPlan(fault=Fault.MISMATCHED_ID, count=1)
    )
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w2")
    streamed = await host.async_stream("x")
    assert streamed.text == expected_text(chat_prompt("x"))
    assert not cluster.shared_state.suspects


async def test_total_size_of_buffered_bodies_is_limited(cluster: Cluster) -> None:
    """A body over the total buffer limit is refused until an earlier request has ended."""
    host = await cluster.async_add_host(max_buffered_bytes=30_000)
    fake = await cluster.async_add_fake(
        FakeKind.WHOLE_MODEL, "w1", FaultPlan(fault=Fault.FREEZE, after_tokens=2, count=1)
    )
    running = asyncio.create_task(host.async_chat("x" * 20_000))
    await async_wait_until(lambda: any(active.records for active in host.entry.runner.active))
    refused = await host.async_chat("y" * 20_000)
    assert refused.headers["X-Result-Code"] == "3001"
    assert refused.headers["X-Outcome"] == "not_run"
    fake.engine.set_fault_plan(FaultPlan())
    assert (await running).code == 200
    assert (await host.async_chat("y" * 20_000)).code == 200


async def test_endpoint_records_are_refreshed_after_a_pause(cluster: Cluster) -> None:
    """A process that was paused dispatches nothing to an endpoint that left in the meantime."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    membership_service = host.entry.membership_service
    now = membership_service._clock.now()
    # Membership knows of the leave, but no tick has passed it on, as if the process was paused.
    membership_service._tick_task.stop()
    known = host.entry.directory.records()[0]
    leaving = msgspec.structs.replace(known, state=EndpointState.LEAVING, sequence=99)
    membership_service._membership.announce(leaving, now)
    membership_service._refreshed_at = now - 10.0
    response = await host.async_chat("x", headers={"X-Deadline-Ms": "300"})
    assert response.headers["X-Outcome"] == "not_run"
    assert not cluster.endpoint_log()


class _SlowPool:
    """Pool that takes longer to connect than a dispatch may wait."""

    def __init__(self) -> None:
        self.closed = False

    async def async_take_for(self, record: Any, fresh: bool) -> Any:
        """Return a connection after two seconds."""
        await asyncio.sleep(2.0)
        return self

    def close(self) -> None:
        """Record that the connection was closed."""
        self.closed = True


@pytest.mark.looptime
async def test_dispatch_is_not_sent_if_connecting_takes_too_long() -> None:
    """If connecting takes too long, the choice of the endpoint may be out of date."""
    pool = _SlowPool()
    dispatch_id = DispatchId(RequestId("r1"), Attempt(256))
    request = OutgoingRequest("POST", "/", HTTPHeaders(), b"", dispatch_id)
    with pytest.raises(DispatchError) as raised:
        async with OpenDispatch(pool, ResponseBudget(0), None, request):  # type: ignore[arg-type]
            pass
    assert raised.value.failure.dispatch is Dispatch.NO_BYTE_SENT
    assert not raised.value.failure.endpoint_crashed
    assert pool.closed
