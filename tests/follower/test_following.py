"""Tests of the follower: list and watch, restarts, claims, and the loss of the leader."""

from __future__ import annotations

import asyncio
import time

import pytest
from control_support import (
    Replica,
    async_until,
    make_follower,
    run_component,
    run_replicas,
)

from lagoonwing_control._history import History
from lagoonwing_control.models import ChangeAccepted, OperatorChange, SetConfiguration
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import (
    ChangeId,
    EndpointId,
    Fingerprint,
    HostId,
    IdempotencyKey,
    Incarnation,
    MemberId,
    RequestId,
    Revision,
)
from lagoonwing_core.models import CapDimension
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_follower import ControlCoordinator
from lagoonwing_policy.models import MemberDemand
from lagoonwing_wire.control_messages import (
    ClaimGranted,
    ClaimInProgress,
    ClaimReplay,
    StoredResponse,
    TakeClaim,
)

STEP_S = 0.4
PROBE_ROUND_S = 0.3
ANSWER = StoredResponse(200, (), b"done", Outcome.DONE, ResultCode.OK)


async def async_set(replica: Replica, key: str, value: str) -> None:
    """Set a new configuration key."""
    change_id = ChangeId(f"{time.time_ns() // 1_000_000}-{key}-{value}")
    change = OperatorChange("ana", change_id, Revision(0), SetConfiguration(key, value))
    result = await replica.service.proposer.async_submit(change)
    assert isinstance(result.ok, ChangeAccepted), result


@pytest.fixture
async def three():
    """Run three replicas over a shared log."""
    async with run_replicas(3) as (shared, replicas):
        yield shared, replicas


def claim(request: str) -> TakeClaim:
    """Return a claim."""
    return TakeClaim(MemberId("m"), IdempotencyKey("k"), Fingerprint("f"), RequestId(request))


async def test_follower_survives_a_change_of_leader(three) -> None:
    """The follower follows the next leader and never publishes a lower revision."""
    shared, replicas = three
    follower = make_follower(replicas[0].settings.replicas)
    seen: list[Revision] = []
    follower.add_listener(lambda: seen.append(follower.view.revision))
    async with run_component(follower):
        await async_set(replicas[0], "a", "1")
        await async_until(lambda: follower.view.revision == 1 and follower.may_take_work())
        shared.set_leader(replicas[1].settings.host_id)
        await replicas[0].async_unload()
        await async_set(replicas[1], "b", "2")
        await async_until(lambda: follower.view.revision == 2 and follower.has_leader())
        assert follower.view.configuration_by_key["b"].value == "2"
    assert seen == sorted(seen)


async def test_follower_relists_after_compaction(three, monkeypatch) -> None:
    """A watch from a compacted revision is refused, and the follower lists again."""
    _, replicas = three
    for replica in replicas:
        replica.service.state_machine.history = History(4)
    follower = make_follower(replicas[0].settings.replicas)
    async with run_component(follower):
        await async_until(follower.may_take_work)
        channel = follower._links.channel(HostId("control-1"))
        replicas[0].service.watchers.remove(channel)
        for server_channel in list(replicas[0].server._channels):
            server_channel.close()
        for number in range(9):
            await async_set(replicas[0], f"k{number}", "1")
        await async_until(lambda: follower.view.revision == 9)
        assert len(follower.view.configuration_by_key) == 9


async def test_restart_never_publishes_a_lower_revision(three, tmp_path) -> None:
    """A follower with a data folder ignores a leader with a revision below the stored one."""
    shared, replicas = three
    addresses = replicas[0].settings.replicas
    follower = make_follower(addresses, data_folder=tmp_path)
    async with run_component(follower):
        await async_set(replicas[0], "a", "1")
        await async_set(replicas[0], "b", "2")
        await async_until(lambda: follower.view.revision == 2)
    for replica in replicas:
        replica.service.state_machine.restore(type(replica.service.state_machine)().snapshot())
    restarted = make_follower(addresses, data_folder=tmp_path, incarnation=2)
    async with run_component(restarted):
        await async_until(lambda: restarted._contacts.is_answered)
        assert not restarted.may_take_work()
        assert restarted.view.revision == 0
        await async_set(replicas[0], "a", "1")
        await async_set(replicas[0], "b", "2")
        await async_until(lambda: restarted.may_take_work() and restarted.view.revision == 2)


async def test_leader_that_lost_revisions_does_not_renew_the_lease(three) -> None:
    """The lease lapses, as the replicated state no longer contains the applied revision."""
    follower, clock = await async_following(three)
    await async_set(three[1][0], "a", "1")
    await async_until(lambda: follower.view.revision == 1)
    for replica in three[1]:
        replica.service.state_machine.restore(type(replica.service.state_machine)().snapshot())
    await async_pass(clock, 4.0)
    assert not follower.may_take_work()
    assert follower.view.revision == 1
    await follower.async_unload()


async def test_claims_of_two_entries(three) -> None:
    """One claim is granted, the other waits for the outcome, also after a leader change."""
    shared, replicas = three
    first = make_follower(replicas[0].settings.replicas, "entry-1")
    second = make_follower(replicas[0].settings.replicas, "entry-2")
    async with run_component(first), run_component(second):
        assert (await first.async_claim(claim("r1"), 5.0)).ok == ClaimGranted()
        assert (await second.async_claim(claim("r2"), 5.0)).ok == ClaimInProgress()
        shared.set_leader(replicas[2].settings.host_id)
        assert (await second.async_claim(claim("r2"), 5.0)).ok == ClaimInProgress()
        stored = await first.async_store_outcome(
            MemberId("m"), IdempotencyKey("k"), RequestId("r1"), ANSWER, 5.0
        )
        assert stored.is_ok()
        assert (await second.async_claim(claim("r2"), 5.0)).ok == ClaimReplay(ANSWER)


async def test_claim_with_lost_reply_is_released(three) -> None:
    """The claim is refused as unavailable, and the next request is granted it."""
    shared, replicas = three
    first = make_follower(replicas[0].settings.replicas, "entry-1")
    second = make_follower(replicas[0].settings.replicas, "entry-2")
    async with run_component(first), run_component(second):
        await async_until(lambda: first.may_take_work() and second.may_take_work())
        replicas[0].log.lose_answers = True
        refused = await first.async_claim(claim("r1"), 0.5)
        assert refused.error.code is ResultCode.CLAIM_UNAVAILABLE
        assert len(replicas[0].service.state_machine.state.claim_by_key) == 1
        replicas[0].log.lose_answers = False
        await async_until(lambda: not first._releases)
        assert (await second.async_claim(claim("r2"), 5.0)).ok == ClaimGranted()


async def test_concurrent_claims_are_batched(three) -> None:
    """A burst of concurrent claims is batched into few log entries."""
    shared, replicas = three
    follower = make_follower(replicas[0].settings.replicas)
    async with run_component(follower):
        await async_until(follower.may_take_work)
        before = len(shared.commands)
        claims = [
            TakeClaim(MemberId("m"), IdempotencyKey(f"k{n}"), Fingerprint("f"), RequestId(f"r{n}"))
            for n in range(200)
        ]
        results = await asyncio.gather(*(follower.async_claim(item, 10.0) for item in claims))
        assert all(result.ok == ClaimGranted() for result in results)
        assert len(shared.commands) - before < 50


async def test_allotments_follow_demand(three) -> None:
    """Two entry hosts share a cap equally, and the log holds both allotments."""
    shared, replicas = three
    first = make_follower(replicas[0].settings.replicas, "entry-1")
    second = make_follower(replicas[0].settings.replicas, "entry-2")
    state = replicas[0].service.state_machine.state
    demand = MemberDemand(MemberId("m"), CapDimension.CONCURRENCY, 0.0, 9.0)
    async with run_component(first), run_component(second):
        await async_until(lambda: first.may_take_work() and second.may_take_work())
        replicas[0].service.leader._ledger.set_caps({("m", CapDimension.CONCURRENCY): 8.0})
        replicas[0].service.leader._caps_revision = state.revision
        for _ in range(4):
            mine = (await first.async_request_allotments([demand], 5.0)).ok
            theirs = (await second.async_request_allotments([demand], 5.0)).ok
        assert [grant.amount for grant in (*mine, *theirs)] == [4, 4]
        assert sum(state.amount_by_allotment.values()) == 8


async def test_suspects_reach_every_follower(three) -> None:
    """A suspect reported by one entry host appears in the view of another."""
    _, replicas = three
    first = make_follower(replicas[0].settings.replicas, "entry-1")
    second = make_follower(replicas[0].settings.replicas, "entry-2")
    async with run_component(first), run_component(second):
        result = await first.async_report_suspects(
            (Fingerprint("bad"),), EndpointId("e1"), Incarnation(1), 5.0
        )
        assert result.is_ok()
        await async_until(lambda: "bad" in second.view.quarantine_by_fingerprint)
        await second.async_clear_suspect(Fingerprint("bad"), 5.0)
        await async_until(lambda: not first.view.quarantine_by_fingerprint)


async def async_pass(clock: ManualClock, seconds: float) -> None:
    """Advance the manual clock slowly enough for probes to be sent."""
    for _ in range(round(seconds / STEP_S)):
        clock.advance(STEP_S)
        await asyncio.sleep(PROBE_ROUND_S)


async def async_following(three) -> tuple[ControlCoordinator, ManualClock]:
    """Return a follower with a valid lease and its manual clock."""
    clock = ManualClock(1000.0)
    follower = make_follower(three[1][0].settings.replicas, clock=clock)
    await follower.async_setup()
    await async_until(follower.may_take_work)
    return follower, clock


async def test_leader_is_reached_through_another_replica(three) -> None:
    """A broken link to the leader is bypassed by relaying through another replica."""
    _, replicas = three
    for replica in replicas:
        links = replica.service._link_by_host.values()
        await async_until(lambda links=links: all(link.channel for link in links))
    follower, clock = await async_following(three)
    await follower._links._link_by_host["control-1"].async_unload()
    await async_pass(clock, 4.0)
    assert follower.may_take_work()
    await async_set(replicas[0], "a", "1")
    await async_until(lambda: follower.view.revision == 1)
    assert (await follower.async_claim(claim("r1"), 5.0)).ok == ClaimGranted()
    holder = next(iter(replicas[0].service.state_machine.state.claim_by_key.values()))
    assert holder.host_id == "entry-1"
    await follower.async_unload()


async def test_unresponsive_leader_is_reached_through_another_replica(three) -> None:
    """Packets to the leader are dropped while its channel stays open."""
    _, replicas = three
    for replica in replicas:
        links = replica.service._link_by_host.values()
        await async_until(lambda links=links: all(link.channel for link in links))
    follower, clock = await async_following(three)
    channel = follower._links.channel(HostId("control-1"))
    replicas[0].service.watchers.remove(channel)
    channel._write = lambda *parts: True
    for server_channel in replicas[0].service.watchers._pushed_by_channel:
        server_channel.push = lambda message: True
    await async_until(lambda: "control-1" in follower._links._unresponsive_since_by_host)
    await async_set(replicas[0], "a", "1")
    await async_until(lambda: follower.view.revision == 1 and follower.has_leader())
    await follower.async_unload()


async def test_unload_completes_if_a_cancellation_is_lost(three) -> None:
    """A cancellation is lost if a reply arrives in the same loop iteration.

    With many followers this kept a task alive and unload never returned.
    """
    follower, _ = await async_following(three)
    lost = asyncio.Event()

    async def async_lose_one() -> None:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            lost.set()
        await asyncio.Event().wait()

    follower._tasks.append(asyncio.create_task(async_lose_one()))
    await asyncio.sleep(0)
    async with asyncio.timeout(10.0):
        await follower.async_unload()
    assert lost.is_set()


async def test_two_of_three_voters_die_at_once(three) -> None:
    """The follower keeps accepting work with the current configuration, but no claims."""
    shared, replicas = three
    follower, clock = await async_following(three)
    shared.set_leader(None)
    await replicas[0].async_unload()
    await replicas[1].async_unload()
    await async_until(lambda: not follower.has_leader())
    await async_pass(clock, 8.0)
    assert follower.may_take_work()
    refused = await follower.async_claim(claim("r1"), 0.2)
    assert refused.error.code is ResultCode.CLAIM_UNAVAILABLE
    await follower.async_unload()


async def test_cut_off_follower_takes_no_new_work(three) -> None:
    """The lease lapses, as two voters that don't answer may have a leader."""
    shared, replicas = three
    follower, clock = await async_following(three)
    shared.set_leader(None)
    for host_id in ("control-1", "control-2"):
        follower._links._link_by_host[host_id].async_call = None
        await follower._links._link_by_host[host_id].async_unload()
    silent = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port = silent.sockets[0].getsockname()[1]
    for host_id, address in list(follower._links.address_by_host.items()):
        if host_id != "control-3":
            follower._links.address_by_host[host_id] = type(address)(
                host_id=host_id, address="127.0.0.1", port=port, failure_domain="a"
            )
    await async_until(lambda: not follower.has_leader())
    await async_pass(clock, 4.0)
    assert not follower.may_take_work()
    silent.close()
    await follower.async_unload()
