"""Operator API at several replicas: concurrency, resends, forwarding, planned stops."""

from __future__ import annotations

import asyncio
import time

import grpc
import pytest
from control_support import (
    AUTHORIZED,
    Replica,
    async_start_replica,
    async_until,
    make_follower,
    operator_stub,
    run_component,
    run_replicas,
)
from shared_log import SharedLog

from lagoonwing_control._operator_service import RESULT_CODE_METADATA
from lagoonwing_control.models import OperatorChange, OrderStop
from lagoonwing_core.ids import (
    ChangeId,
    EndpointId,
    FailureDomainId,
    ModelId,
    Revision,
    StopId,
)
from lagoonwing_core.models import LayerRange, StopState, StopTarget
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_rpc import operator_pb2 as pb
from lagoonwing_wire.control_messages import EndpointSummary


@pytest.fixture
async def cluster():
    """Three replicas over a shared log; the first one is the leader."""
    async with run_replicas(3) as (shared, replicas):
        for replica in replicas:
            links = replica.service._link_by_host.values()
            await async_until(lambda links=links: all(link.channel for link in links))
        yield shared, replicas


def header(suffix: str, expected: int = 0) -> pb.ChangeHeader:
    """Return the header of a change."""
    change_id = f"{time.time_ns() // 1_000_000}-{suffix}"
    return pb.ChangeHeader(change_id=change_id, expected_revision=expected)


async def async_call(replica: Replica, method: str, request):
    """Call one replica and return its reply, or the result code of its refusal."""
    async with operator_stub(replica.operator_address) as stub:
        try:
            return await getattr(stub, method)(request, metadata=AUTHORIZED, timeout=10.0)
        except grpc.aio.AioRpcError as error:
            metadata = dict(error.trailing_metadata())
            return ResultCode(int(metadata[RESULT_CODE_METADATA]))


def configuration_change(value: str, change_header: pb.ChangeHeader) -> pb.ConfigurationChange:
    """Return a change of the configuration key `k`."""
    return pb.ConfigurationChange(
        header=change_header, entry=pb.ConfigurationEntry(key="k", value=value)
    )


async def test_one_of_several_concurrent_changes_is_accepted(cluster) -> None:
    """Of concurrent changes with the same expected revision, exactly one is accepted."""
    _, replicas = cluster
    expected = 0
    for round_number in range(10):
        calls = [
            async_call(
                replicas[number % 3],
                "SetConfiguration",
                configuration_change(str(number), header(f"{round_number}-{number}", expected)),
            )
            for number in range(9)
        ]
        results = await asyncio.gather(*calls)
        accepted = [item for item in results if isinstance(item, pb.ChangeReply)]
        assert len(accepted) == 1
        refusal_code = ResultCode.ALREADY_EXISTS if expected == 0 else ResultCode.REVISION_CONFLICT
        assert [item for item in results if item is refusal_code] == [refusal_code] * 8
        expected = accepted[0].revision
    reply = await async_call(
        replicas[2], "Get", pb.GetRequest(kind=pb.ENTITY_KIND_CONFIGURATION, id="k")
    )
    assert reply.entity.configuration.revision == expected


async def test_change_resent_after_a_lost_answer_is_applied_once(cluster) -> None:
    """A change resent after a lost answer is not applied again, even under a later leader."""
    shared, replicas = cluster
    change = configuration_change("1", header("lost"))
    replicas[0].log.lose_answers = True
    assert await async_call(replicas[1], "SetConfiguration", change) is ResultCode.NO_QUORUM
    replicas[0].log.lose_answers = False
    reply = await async_call(replicas[2], "SetConfiguration", change)
    assert (reply.revision, reply.replayed) == (1, True)
    shared.set_leader(replicas[1].settings.host_id)
    reply = await async_call(replicas[0], "SetConfiguration", change)
    assert (reply.revision, reply.replayed, reply.entity.configuration.value) == (1, True, "1")
    other = configuration_change("2", change.header)
    assert await async_call(replicas[0], "SetConfiguration", other) is ResultCode.CHANGE_ID_REUSED


async def test_without_a_leader_changes_and_reads_are_refused(cluster) -> None:
    """Changes and reads are refused without a leader; the status call still works."""
    shared, replicas = cluster
    shared.set_leader(None)
    change = configuration_change("1", header("x"))
    assert await async_call(replicas[0], "SetConfiguration", change) is ResultCode.NOT_LEADER
    listing = pb.ListRequest(kind=pb.ENTITY_KIND_MEMBER)
    assert await async_call(replicas[1], "List", listing) is ResultCode.NOT_LEADER
    status = await async_call(replicas[1], "Status", pb.StatusRequest())
    assert (status.role, status.leader_id) == ("follower", "")


async def test_read_at_a_lagging_replica_waits_until_it_catches_up(cluster) -> None:
    """A read reflects every change accepted before it, at any replica."""
    _, replicas = cluster
    replicas[2].log.lagging = True
    await async_call(replicas[0], "SetConfiguration", configuration_change("1", header("x")))
    request = pb.GetRequest(kind=pb.ENTITY_KIND_CONFIGURATION, id="k")
    read = asyncio.create_task(async_call(replicas[2], "Get", request))
    await asyncio.sleep(0.2)
    assert not read.done()
    replicas[2].log.lagging = False
    replicas[2].log.apply_accepted()
    assert (await read).entity.configuration.value == "1"


async def test_members_are_listed_in_pages(cluster) -> None:
    """Pages cover every member exactly once."""
    _, replicas = cluster
    for number in range(7):
        member = pb.Member(member_id=f"m{number}", name="M")
        await async_call(
            replicas[0], "CreateMember", pb.MemberChange(header=header(f"{number}"), member=member)
        )
    ids: list[str] = []
    token = ""
    while True:
        request = pb.ListRequest(kind=pb.ENTITY_KIND_MEMBER, page_size=3, page_token=token)
        page = await async_call(replicas[1], "List", request)
        ids += [entity.member.member_id for entity in page.entities]
        token = page.next_page_token
        if not token:
            break
    assert ids == [f"m{number}" for number in range(7)]


async def test_oversized_and_invalid_calls_are_refused(cluster) -> None:
    """Invalid calls are refused, and the replica continues to serve."""
    _, replicas = cluster
    async with operator_stub(replicas[0].operator_address) as stub:
        with pytest.raises(grpc.aio.AioRpcError) as refused:
            await stub.SetConfiguration(
                configuration_change("x" * 300_000, header("x")), metadata=AUTHORIZED, timeout=5.0
            )
        assert refused.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
        with pytest.raises(grpc.aio.AioRpcError) as refused:
            await stub.Status(pb.StatusRequest(), timeout=5.0)
        assert refused.value.code() is grpc.StatusCode.UNAUTHENTICATED
    bad = pb.StopChange(header=header("x"), stop=pb.PlannedStop(stop_id="s", target="moon"))
    assert await async_call(replicas[0], "OrderStop", bad) is ResultCode.INVALID_CHANGE
    changed = pb.MemberChange(header=header("x"), member=pb.Member(member_id="m"))
    assert await async_call(replicas[0], "ChangeMember", changed) is ResultCode.INVALID_CHANGE
    kind = pb.GetRequest(id="x")
    assert await async_call(replicas[0], "Get", kind) is ResultCode.INVALID_CHANGE
    assert isinstance(await async_call(replicas[0], "Status", pb.StatusRequest()), pb.StatusReply)


def stop_order(stop_id: str, target: str, target_id: str) -> pb.StopChange:
    """Return the request that orders a stop."""
    planned = pb.PlannedStop(stop_id=stop_id, target=target, target_id=target_id)
    return pb.StopChange(header=header(stop_id), stop=planned)


async def test_stop_of_the_voter_majority_is_refused(cluster) -> None:
    """Of two concurrent stops that would remove two of three voters, one is refused."""
    shared, replicas = cluster
    results = await asyncio.gather(
        async_call(replicas[1], "OrderStop", stop_order("s1", "host", "control-1")),
        async_call(replicas[2], "OrderStop", stop_order("s2", "failure_domain", "b")),
    )
    refused = [item for item in results if item is ResultCode.STOP_REFUSED]
    assert len(refused) == 1
    first = next(item for item in results if item is not ResultCode.STOP_REFUSED)
    cancel = pb.RetireChange(header=header("c", first.revision), id=first.entity.stop.stop_id)
    await async_until(lambda: _stop_state(shared, first.entity.stop.stop_id) is StopState.SAFE)
    assert await async_call(replicas[0], "CancelStop", cancel) is ResultCode.REVISION_CONFLICT
    cancel = pb.RetireChange(header=header("d", 2), id=first.entity.stop.stop_id)
    assert isinstance(await async_call(replicas[0], "CancelStop", cancel), pb.ChangeReply)
    assert isinstance(
        await async_call(replicas[0], "OrderStop", stop_order("s3", "host", "control-3")),
        pb.ChangeReply,
    )


async def test_concurrent_stop_orders_are_checked_sequentially(cluster) -> None:
    """The check of a stop order includes a concurrent order at the same leader."""
    _, replicas = cluster
    orders = [
        OperatorChange(
            "ana",
            ChangeId(header(f"s{number}").change_id),
            Revision(0),
            OrderStop(StopId(f"s{number}"), StopTarget.HOST, f"control-{number}"),
        )
        for number in (1, 2)
    ]
    proposer = replicas[0].service.proposer
    results = await asyncio.gather(*(proposer.async_submit(order) for order in orders))
    assert [result.is_ok() for result in results] == [True, False]
    assert results[1].error.code is ResultCode.STOP_REFUSED


def _stop_state(shared: SharedLog, stop_id: str) -> StopState:
    """Return the state of a stop as known to the leader."""
    machine = shared.log_by_host[shared.leader]._state_machine
    return next(item.state for item in machine.state.stops() if item.stop_id == stop_id)


def stage_summary(endpoint_id: str, first: int, end: int) -> EndpointSummary:
    """Return the summary of a stage endpoint of a model with 8 layers."""
    return EndpointSummary(
        EndpointId(endpoint_id), FailureDomainId("a"), (ModelId("m"),), LayerRange(first, end), 8
    )


async def test_stop_of_the_last_endpoint_of_a_layer_is_refused(cluster) -> None:
    """The check uses the endpoints that the entry hosts report."""
    shared, replicas = cluster
    follower = make_follower(replicas[0].settings.replicas)
    follower.set_endpoints(
        [stage_summary("e1", 0, 4), stage_summary("e2", 4, 8), stage_summary("e3", 3, 8)]
    )
    async with run_component(follower):
        await async_until(lambda: len(replicas[0].service.leader.entries.endpoints()) == 3)
        refused = await async_call(replicas[1], "OrderStop", stop_order("s1", "endpoint", "e1"))
        assert refused is ResultCode.STOP_REFUSED
        accepted = await async_call(replicas[1], "OrderStop", stop_order("s2", "endpoint", "e2"))
        assert accepted.entity.stop.state == "draining"
        refused = await async_call(replicas[1], "OrderStop", stop_order("s3", "endpoint", "e3"))
        assert refused is ResultCode.STOP_REFUSED
        shared.set_leader(replicas[1].settings.host_id)
        await async_until(lambda: len(replicas[1].service.leader.entries.endpoints()) == 3)


async def test_stop_is_safe_once_nothing_is_in_flight(cluster) -> None:
    """Every entry host must report zero requests; a new leader waits for new reports."""
    shared, replicas = cluster
    addresses = replicas[0].settings.replicas
    first = make_follower(addresses, "entry-1")
    second = make_follower(addresses, "entry-2")
    async with run_component(first), run_component(second):
        await async_until(lambda: first.may_take_work() and second.may_take_work())
        await async_call(replicas[0], "OrderStop", stop_order("s", "endpoint", "e1"))
        await async_until(lambda: StopId("s") in first.view.stop_by_id)
        first.report_stop(StopId("s"), 0)
        second.report_stop(StopId("s"), 2)
        await asyncio.sleep(1.0)
        assert _stop_state(shared, "s") is StopState.DRAINING
        shared.set_leader(replicas[1].settings.host_id)
        second.report_stop(StopId("s"), 0)
        await async_until(lambda: _stop_state(shared, "s") is StopState.SAFE)
        await async_until(lambda: first.view.stop_by_id[StopId("s")].state is StopState.SAFE)


async def test_lost_host_is_declared_without_a_quorum() -> None:
    """A declaration is recorded and withdrawn at the replica called, without a quorum."""
    replica = await async_start_replica()
    replica.log.end_term()
    request = pb.DeclareHostLostRequest(host_id="control-9")
    reply = await async_call(replica, "DeclareHostLost", request)
    assert list(reply.lost_hosts) == ["control-9"]
    request = pb.DeclareHostLostRequest(host_id="control-9", withdraw=True)
    reply = await async_call(replica, "DeclareHostLost", request)
    assert list(reply.lost_hosts) == []
    await replica.async_unload()
