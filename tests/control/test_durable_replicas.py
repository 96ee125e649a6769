"""Three replicas with the log on disk: leader loss, restarts, loss of the majority."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from control_support import (
    Replica,
    async_start_replica,
    async_until,
    make_follower,
    make_settings,
    run_component,
)

from lagoonwing_control.models import ChangeAccepted, OperatorChange, SetConfiguration
from lagoonwing_core.ids import (
    ChangeId,
    Fingerprint,
    IdempotencyKey,
    MemberId,
    RequestId,
    Revision,
)
from lagoonwing_core.models import CapDimension
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_policy.models import MemberDemand
from lagoonwing_wire.control_messages import (
    ClaimGranted,
    ClaimReplay,
    StoredResponse,
    TakeClaim,
)

ANSWER = StoredResponse(200, (), b"done", Outcome.DONE, ResultCode.OK)


class ReplicaCluster:
    """Three replicas, each with its own data folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.settings = make_settings(3)
        self.replicas: dict[str, Replica] = {}

    async def async_start(self, *numbers: int) -> None:
        """Start replicas by number."""
        for number in numbers:
            settings = self.settings[number]
            self.replicas[settings.host_id] = await async_start_replica(
                settings, folder=self.folder
            )

    async def async_stop(self, *host_ids: str) -> None:
        """Stop replicas."""
        for host_id in host_ids:
            await self.replicas.pop(host_id).async_unload()

    async def async_leader(self) -> Replica:
        """Wait for a leader and return its replica."""
        await async_until(lambda: self._leader() is not None, 20.0)
        leader = self._leader()
        assert leader is not None
        return leader

    def _leader(self) -> Replica | None:
        leading = [item for item in self.replicas.values() if item.service.leader.term()]
        return leading[0] if leading else None

    async def async_change(self, change: OperatorChange) -> ChangeAccepted:
        """Send a change to one replica after another until it is accepted."""
        async with asyncio.timeout(30.0):
            while True:
                for replica in list(self.replicas.values()):
                    result = await replica.service.proposer.async_submit(change)
                    if result.is_ok():
                        return result.ok
                await asyncio.sleep(0.1)


def configuration_change(key: str, value: str, expected: int = 0) -> OperatorChange:
    """Return a change of a configuration key."""
    change_id = ChangeId(f"{time.time_ns() // 1_000_000}-{key}-{value}")
    return OperatorChange("ana", change_id, Revision(expected), SetConfiguration(key, value))


@pytest.fixture
async def cluster(tmp_path):
    """Three running replicas with an elected leader."""
    running_cluster = ReplicaCluster(tmp_path)
    await running_cluster.async_start(0, 1, 2)
    await running_cluster.async_leader()
    yield running_cluster
    await running_cluster.async_stop(*list(running_cluster.replicas))


async def test_service_continues_after_the_leader_is_lost(cluster) -> None:
    """Changes and claims survive the loss of the leader, and followers continue."""
    follower = make_follower(cluster.settings[0].replicas)
    async with run_component(follower):
        first = configuration_change("a", "1")
        accepted = await cluster.async_change(first)
        claim = TakeClaim(MemberId("m"), IdempotencyKey("k"), Fingerprint("f"), RequestId("r1"))
        assert (await follower.async_claim(claim, 10.0)).ok == ClaimGranted()
        leader = await cluster.async_leader()
        await cluster.async_stop(leader.settings.host_id)
        again = await cluster.async_change(first)
        assert (again.revision, again.replayed) == (accepted.revision, True)
        await cluster.async_change(configuration_change("b", "2"))
        await async_until(lambda: "b" in follower.view.configuration_by_key)
        await async_until(follower.may_take_work)
        stored = await follower.async_store_outcome(
            claim.member_id, claim.key, claim.request_id, ANSWER, 10.0
        )
        assert stored.is_ok()
        other = TakeClaim(MemberId("m"), claim.key, claim.fingerprint, RequestId("r2"))
        assert (await follower.async_claim(other, 10.0)).ok == ClaimReplay(ANSWER)


async def test_all_replicas_recover_after_a_restart(cluster) -> None:
    """Replicas recover the current state and still know the id of the first change."""
    first = configuration_change("k0", "0")
    await cluster.async_change(first)
    for start in range(1, 500, 50):
        changes = [
            configuration_change(f"k{number}", "1") for number in range(start, min(500, start + 50))
        ]
        await asyncio.gather(*(cluster.async_change(change) for change in changes))
    await cluster.async_stop(*list(cluster.replicas))
    await cluster.async_start(0, 1, 2)
    await cluster.async_leader()
    assert (await cluster.async_change(first)).replayed
    assert (await cluster.async_change(configuration_change("k0", "2", 1))).revision == 501
    await async_until(
        lambda: all(
            replica.service.state_machine.state.revision == 501
            for replica in cluster.replicas.values()
        )
    )
    snapshots = {replica.service.state_machine.snapshot() for replica in cluster.replicas.values()}
    assert len(snapshots) == 1


async def test_leader_without_a_majority_refuses_changes_and_reads(cluster) -> None:
    """Once its lease has expired, an isolated leader refuses changes and reads."""
    leader = await cluster.async_leader()
    others = [host_id for host_id in cluster.replicas if host_id != leader.settings.host_id]
    await cluster.async_stop(*others)
    await async_until(lambda: leader.service.leader.term() is None)
    result = await leader.service.proposer.async_submit(configuration_change("a", "1"))
    assert result.error.code in (ResultCode.NOT_LEADER, ResultCode.NO_QUORUM)
    assert (await leader.service.reads.async_barrier()).is_error()


async def test_allotments_stay_within_the_cap_across_a_leader_change(cluster) -> None:
    """Two entry hosts never hold more than the cap, before and after the leader changes."""
    first = make_follower(cluster.settings[0].replicas, "entry-1")
    second = make_follower(cluster.settings[0].replicas, "entry-2")
    demand = MemberDemand(MemberId("m"), CapDimension.CONCURRENCY, 0.0, 9.0)
    async with run_component(first), run_component(second):
        for _ in range(2):
            leader = await cluster.async_leader()
            leader.service.leader._ledger.set_caps({("m", CapDimension.CONCURRENCY): 8.0})
            leader.service.leader._caps_revision = leader.service.state_machine.state.revision
            amounts: list[float] = []
            for _ in range(100):
                results = [
                    await follower.async_request_allotments([demand], 2.0)
                    for follower in (first, second)
                ]
                grants = [result.ok if result.is_ok() else () for result in results]
                amounts = [sum(grant.amount for grant in held) for held in grants]
                assert sum(amounts) <= 8
                if amounts == [4.0, 4.0]:
                    break
                await asyncio.sleep(0.05)
            assert amounts == [4.0, 4.0]
            if len(cluster.replicas) == 3:
                await cluster.async_stop(leader.settings.host_id)
