"""Replicas as processes: a leader is suspended and resumes as if it were still the leader."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import grpc
import pytest
from control_support import (
    AUTHORIZED,
    OPERATOR_PORT,
    async_until,
    make_follower,
    make_settings_at,
    operator_stub,
    run_component,
    unused_address,
)

from lagoonwing_core.ids import Fingerprint, IdempotencyKey, MemberId, RequestId
from lagoonwing_core.models import CapDimension
from lagoonwing_follower import ControlCoordinator
from lagoonwing_policy.models import MemberDemand
from lagoonwing_rpc import operator_pb2 as pb
from lagoonwing_wire.control_messages import ClaimGranted, ClaimInProgress, TakeClaim

PROGRAM = Path(__file__).parents[1] / "support" / "control_process.py"
CAP = 8
DEMANDS = [MemberDemand(MemberId("m"), CapDimension.CONCURRENCY, 0.0, 20.0)]
PAUSE_S = 3.0


class ReplicaProcesses:
    """Three replicas, each in its own process."""

    def __init__(self, folder: Path) -> None:
        self.addresses = [unused_address() for _ in range(3)]
        self.children = [
            subprocess.Popen(
                [sys.executable, str(PROGRAM), str(number), str(folder), *self.addresses]
            )
            for number in range(3)
        ]

    def kill(self) -> None:
        """Kill every process."""
        for child in self.children:
            child.kill()
            child.wait()

    async def async_call(self, number: int, method: str, request, timeout: float = 4.0):
        """Call one replica; `None` if it refuses or doesn't answer."""
        async with operator_stub(f"{self.addresses[number]}:{OPERATOR_PORT}") as stub:
            try:
                return await getattr(stub, method)(request, metadata=AUTHORIZED, timeout=timeout)
            except grpc.aio.AioRpcError:
                return None

    async def async_leader(self, among: list[int]) -> int:
        """Wait for a leader with a valid lease and return its number."""
        async with asyncio.timeout(30.0):
            while True:
                for number in among:
                    status = await self.async_call(number, "Status", pb.StatusRequest(), 1.0)
                    if status is not None and status.role == "leader" and status.quorum:
                        return number
                await asyncio.sleep(0.1)

    async def async_change(self, number: int, method: str, request):
        """Send a change to one replica until it is accepted."""
        async with asyncio.timeout(30.0):
            while True:
                reply = await self.async_call(number, method, request)
                if reply is not None:
                    return reply
                await asyncio.sleep(0.1)


@pytest.fixture
def processes(tmp_path):
    """Three running replica processes."""
    started = ReplicaProcesses(tmp_path)
    yield started
    started.kill()


def header(suffix: str, expected: int = 0) -> pb.ChangeHeader:
    """Return the header of a change."""
    change_id = f"{time.time_ns() // 1_000_000}-{suffix}"
    return pb.ChangeHeader(change_id=change_id, expected_revision=expected)


def configuration_change(value: str, change_header: pb.ChangeHeader) -> pb.ConfigurationChange:
    """Return a change of the configuration key `k`."""
    return pb.ConfigurationChange(
        header=change_header, entry=pb.ConfigurationEntry(key="k", value=value)
    )


class AllotmentRequesters:
    """Requests allotments for entry hosts continuously and tracks the highest total held."""

    def __init__(self, followers: list[ControlCoordinator]) -> None:
        self.followers = followers
        self.highest = 0.0
        self.granted: list[float] = [0.0] * len(followers)

    async def async_run(self) -> None:
        """Request allotments for one entry host after another until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            for number, follower in enumerate(self.followers):
                await follower.async_request_allotments(DEMANDS, 0.3)
                held = [
                    sum(grant.amount for grant in each._holder.grants(loop.time()))
                    for each in self.followers
                ]
                self.granted[number] = held[number]
                self.highest = max(self.highest, sum(held))
            await asyncio.sleep(0.02)


async def test_resumed_leader_does_not_act_in_its_old_term(processes) -> None:
    """A resumed leader whose term was taken over must not break any guarantee.

    Changes are applied once, a claim stays with its holder and allotments stay within the cap.
    """
    replicas = make_settings_at(processes.addresses)[0].replicas
    followers = [make_follower(replicas, f"entry-{number}") for number in (1, 2)]
    async with run_component(followers[0]), run_component(followers[1]):
        leader = await processes.async_leader([0, 1, 2])
        member = pb.MemberChange(header=header("m"), member=pb.Member(member_id="m", name="M"))
        await processes.async_change(leader, "CreateMember", member)
        agreement = pb.Agreement(agreement_id="a", member_id="m", weight=1.0, max_concurrency=CAP)
        await processes.async_change(
            leader, "CreateAgreement", pb.AgreementChange(header=header("a"), agreement=agreement)
        )
        await async_until(lambda: all(each.may_take_work() for each in followers), 20.0)
        requesters = AllotmentRequesters(followers)
        requesting = asyncio.create_task(requesters.async_run())
        claim = TakeClaim(MemberId("m"), IdempotencyKey("c"), Fingerprint("f"), RequestId("r1"))
        assert (await followers[0].async_claim(claim, 10.0)).ok == ClaimGranted()
        await async_until(lambda: requesters.granted == [4.0, 4.0])

        os.kill(processes.children[leader].pid, signal.SIGSTOP)
        others = [number for number in range(3) if number != leader]
        first = configuration_change("1", header("k1"))
        accepted = await processes.async_change(others[0], "SetConfiguration", first)
        await asyncio.sleep(PAUSE_S)
        other = TakeClaim(claim.member_id, claim.key, claim.fingerprint, RequestId("r2"))
        assert (await followers[1].async_claim(other, 10.0)).ok == ClaimInProgress()
        os.kill(processes.children[leader].pid, signal.SIGCONT)

        # Of concurrent changes at the old and the new leader's side, exactly one is accepted.
        calls = [
            processes.async_call(
                number,
                "SetConfiguration",
                configuration_change(str(number), header(f"{number}", 3)),
            )
            for number in (leader, *others)
        ]
        replies = [reply for reply in await asyncio.gather(*calls) if reply is not None]
        assert accepted.revision == 3
        assert [reply.revision for reply in replies] == [4]
        again = await processes.async_change(leader, "SetConfiguration", first)
        assert (again.revision, again.replayed) == (3, True)
        await async_until(lambda: all(each.view.revision == 4 for each in followers))
        await async_until(lambda: all(each.may_take_work() for each in followers))
        await async_until(lambda: requesters.granted == [4.0, 4.0])
        requesting.cancel()
    assert requesters.highest <= CAP
