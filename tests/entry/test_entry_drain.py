"""Planned stops and drains refuse new requests and do not interrupt running ones."""

from __future__ import annotations

import asyncio

from entry_client import chat_prompt
from entry_cluster import Cluster, async_wait_until

from lagoonwing_core.ids import Revision, StopId
from lagoonwing_core.models import PlannedStop, StopState, StopTarget
from lagoonwing_fakes import FakeKind, expected_text

LONG_PROMPT = "long note [tokens=60]"


def _stop(target: StopTarget, target_id: str) -> PlannedStop:
    """Return a planned stop in the draining state."""
    return PlannedStop(
        stop_id=StopId("stop1"),
        target=target,
        target_id=target_id,
        state=StopState.DRAINING,
        revision=Revision(2),
    )


async def test_drain_completes_running_requests_and_refuses_new_ones(cluster: Cluster) -> None:
    """During a drain, a stream completes, new requests get `not_run` and `/readyz` fails."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1", tokens_per_s=1600.0)
    running = asyncio.create_task(host.async_stream(LONG_PROMPT))
    await async_wait_until(lambda: host.entry.runner.active_count)
    draining = asyncio.create_task(host.entry.async_drain(grace_s=30.0))
    await async_wait_until(lambda: host.entry.readiness.draining)
    refused = await host.async_chat("new")
    assert refused.headers["X-Outcome"] == "not_run"
    assert refused.headers["X-Result-Code"] == "4002"
    assert (await host.async_request("/readyz", None, "GET")).code == 503
    streamed = await running
    assert streamed.text == expected_text(chat_prompt(LONG_PROMPT))
    assert streamed.done and streamed.complete
    assert await draining


async def test_drain_ends_after_its_grace_period(cluster: Cluster) -> None:
    """A drain reports failure if requests are still running after the grace period."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1", tokens_per_s=80.0)
    running = asyncio.create_task(host.async_stream(LONG_PROMPT))
    await async_wait_until(lambda: host.entry.runner.active_count)
    assert not await host.entry.async_drain(grace_s=0.05)
    running.cancel()


async def test_planned_stop_of_this_host_refuses_new_requests(cluster: Cluster) -> None:
    """New requests are refused, and the in-flight count is reported until it is zero."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1", tokens_per_s=1600.0)
    running = asyncio.create_task(host.async_stream(LONG_PROMPT))
    await async_wait_until(lambda: host.entry.runner.active_count)
    host.control.view.stop_by_id[StopId("stop1")] = _stop(StopTarget.HOST, "e1")
    for listener in cluster.shared_state.listeners:
        listener()
    assert (await host.async_chat("new")).headers["X-Result-Code"] == "4002"
    await async_wait_until(lambda: ("stop1", 1) in host.control.stop_reports)
    assert (await running).done
    await async_wait_until(lambda: host.control.stop_reports[-1] == ("stop1", 0))


async def test_in_flight_requests_are_counted_per_target(cluster: Cluster) -> None:
    """In-flight requests are counted per endpoint and failure domain of their routes."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(
        FakeKind.WHOLE_MODEL, "w1", tokens_per_s=1600.0, failure_domain="fd7"
    )
    running = asyncio.create_task(host.async_stream(LONG_PROMPT))
    await async_wait_until(lambda: any(active.records for active in host.entry.runner.active))
    count = host.entry.control_sync.in_flight_of
    assert count(_stop(StopTarget.ENDPOINT, "w1")) == 1
    assert count(_stop(StopTarget.ENDPOINT, "w2")) == 0
    assert count(_stop(StopTarget.FAILURE_DOMAIN, "fd7")) == 1
    assert count(_stop(StopTarget.FAILURE_DOMAIN, "fd2")) == 0
    assert (await running).done
