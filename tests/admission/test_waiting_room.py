"""Admission, order and expiry of the requests of one service at a gateway."""

from __future__ import annotations

import subprocess
import sys

import pytest
from waiting_work import Work, make_room

from lagoonwing_admission import (
    Admitted,
    CostClass,
    Rejected,
    RejectReason,
    WaitingRoomSettings,
)
from lagoonwing_admission.models import EarlyRefusal, FirstComeFirstServed
from lagoonwing_core.ids import MemberId


def _submit(room, *works: Work, now: float = 0.0) -> None:
    """Let requests wait."""
    for work in works:
        assert isinstance(room.submit(work, now, 0.0, None), Admitted)


def test_urgent_ranks_start_first_and_started_streams_before_all() -> None:
    """A queue in order of arrival would start the least urgent request first."""
    room = make_room()
    works = [Work(rank=rank) for rank in (2, 0, 1, -1)]
    _submit(room, *works)
    order = room.candidates(0.0, 4)
    assert [work.rank for work in order] == [-1, 0, 1, 2]


def test_returned_caller_precedes_later_ones_of_its_member() -> None:
    """A caller that returns to another gateway does not queue behind callers that came later."""
    room = make_room()
    later, returned = Work(due=5.0, enqueued=4.5), Work(due=3.0, enqueued=5.0)
    _submit(room, later, returned)
    assert room.candidates(5.0, 1) == [returned]


def test_candidates_differ_in_rank_member_or_class() -> None:
    """Candidates of one member and class would all fail where the first one does not fit."""
    room = make_room()
    large = [Work(cost=500.0, cost_class=CostClass.LONG) for _ in range(3)]
    small = [Work(cost=1.0, cost_class=CostClass.SHORT) for _ in range(3)]
    other = Work(member_id=MemberId("calm"))
    _submit(room, *large, *small, other)
    found = room.candidates(0.0, 4)
    assert len(found) == 3
    assert {(work.member_id, work.cost_class) for work in found} == {
        ("acme", CostClass.LONG),
        ("acme", CostClass.SHORT),
        ("calm", CostClass.NORMAL),
    }


def test_wait_beyond_the_latest_start_is_rejected_at_once() -> None:
    """A request that certainly can't be served must not be held before it is refused."""
    room = make_room()
    for _ in range(10):
        room.submit(Work(cost=100.0), 0.0, 0.0, 100.0)
    verdict = room.submit(Work(cost=100.0, latest_start=19.0), 0.0, 0.0, 100.0)
    assert verdict == Rejected(RejectReason.DEADLINE_UNREACHABLE, 10.0)
    assert isinstance(room.submit(Work(latest_start=21.0), 0.0, 0.0, 100.0), Admitted)


def test_work_of_other_gateways_counts_as_ahead() -> None:
    """A gateway with an empty queue does not admit into capacity that others wait for."""
    room = make_room()
    work = Work(latest_start=5.0)
    verdict = room.submit(work, 0.0, 300.0, 100.0)
    assert verdict == Rejected(RejectReason.DEADLINE_UNREACHABLE, 3.0)
    assert not len(room)


def test_other_members_work_at_other_gateways_is_not_ahead() -> None:
    """A surging member's backlog at other gateways must not have others refused here."""
    room = make_room()
    _submit(room, *(Work(member_id=MemberId("surging"), cost=50.0) for _ in range(20)))
    calm = Work(member_id=MemberId("calm"), latest_start=2.0)
    assert isinstance(room.submit(calm, 0.0, 5000.0, 1000.0), Admitted)
    late = Work(member_id=MemberId("surging"), latest_start=2.0)
    assert isinstance(room.submit(late, 0.0, 5000.0, 1000.0), Rejected)


def test_returned_caller_is_admitted_where_a_new_one_is_not() -> None:
    """A promise is worth nothing if the returned caller is counted behind the whole queue."""
    room = make_room()
    _submit(room, *(Work(cost=50.0, due=10.0) for _ in range(20)))
    assert isinstance(room.submit(Work(due=11.0, latest_start=1.0), 0.0, 0.0, 1000.0), Rejected)
    assert isinstance(room.submit(Work(due=9.0, latest_start=1.0), 0.0, 0.0, 1000.0), Admitted)


def test_overtaken_request_gets_the_capacity_that_becomes_free() -> None:
    """Small requests that start first must not take all capacity before a large one fits."""
    room = make_room()
    large = Work(cost=100.0, cost_class=CostClass.LONG, member_id=MemberId("a"))
    room.submit(large, 0.0, 0.0, 1000.0)
    for _ in range(20):
        small = Work(cost=10.0, member_id=MemberId("b"), latest_start=9.0)
        room.submit(small, 0.0, 0.0, 1000.0)
    for _ in range(10):
        offered = room.candidates(0.0, 4)
        assert offered[0] is large
        room.started(offered[1], 0.0)
    assert room.candidates(0.0, 4) == [large]
    # It may fit nowhere, so that others start again after 2.5 times 100 / 1000 s.
    assert len(room.candidates(0.3, 4)) == 2


def test_request_without_cost_is_admitted() -> None:
    """A request whose cost is unknown and taken as 0 must not end in a division by zero."""
    room = make_room()
    assert room.submit(Work(cost=0.0), 0.0, 0.0, 100.0) == Admitted(0.0)


def test_rate_that_decayed_in_a_pause_is_unknown() -> None:
    """The first starts after a pause would be refused for a rate that only says that none began."""
    room = make_room()
    room.started(Work(cost=800.0), 0.0)
    rate = room.started_cost_per_s(20.0)
    assert rate > 0.0
    assert room.submit(Work(cost=800.0, latest_start=22.0), 20.0, 0.0, rate) == Admitted(0.0)
    assert room.submit(Work(cost=800.0, latest_start=22.0), 20.0, 0.0, rate) == Admitted(0.0)


def test_longest_wait_and_full_queue_have_their_own_reasons() -> None:
    """A log line that names the wrong reason would hide which bound has to be raised."""
    room = make_room(WaitingRoomSettings(admission=EarlyRefusal(max_requests=2, max_wait_s=1.0)))
    too_long = room.submit(Work(), 0.0, 200.0, 100.0)
    assert too_long == Rejected(RejectReason.WAIT_TOO_LONG, 2.0)
    _submit(room, Work(), Work())
    assert room.submit(Work(), 0.0, 0.0, None) == Rejected(RejectReason.QUEUE_FULL, 0.0)


def test_expired_requests_leave_the_room_in_order() -> None:
    """A gateway that was frozen refuses what has expired before it starts the rest."""
    room = make_room()
    late, early, kept = (Work(latest_start=at) for at in (2.0, 1.0, 9.0))
    _submit(room, late, early, kept)
    assert room.next_expiry() == 1.0
    assert room.expired(3.0) == [early, late]
    assert room.candidates(3.0, 4) == [kept]
    assert room.next_expiry() == 9.0


def test_withdrawn_and_started_requests_are_forgotten() -> None:
    """A request that stayed in a total would use up the bounds for ever."""
    room = make_room()
    works = [Work(rank=number % 2) for number in range(6)]
    _submit(room, *works)
    for work in works[:3]:
        room.withdraw(work)
        room.withdraw(work)
    for work in works[3:]:
        room.started(work, 1.0)
    assert not len(room)
    assert room.waiting_cost_by_rank() == {}
    assert room.next_expiry() is None


def test_started_cost_counts_requests_that_did_not_wait() -> None:
    """The rate that other gateways use must contain what starts without waiting."""
    room = make_room()
    for number in range(500):
        room.started(Work(cost=10.0), number * 0.01)
    assert room.started_cost_per_s(5.0) == pytest.approx(1000.0, rel=0.02)
    assert room.started_cost_per_s(15.0) < 1.0


def test_first_come_ignores_ranks() -> None:
    """The alternative policy is the order of arrival and nothing else."""
    room = make_room(WaitingRoomSettings(queue=FirstComeFirstServed()))
    first, second = Work(rank=2), Work(rank=0)
    _submit(room, first, second)
    assert room.candidates(0.0, 4) == [first]
    assert room.waiting_cost_by_rank() == {2: 10.0, 0: 10.0}


def test_gateway_loads_no_graph_library() -> None:
    """Each of 106 gateways would pay the memory of networkx and of the entry host's policy."""
    code = "import sys, lagoonwing_admission, lagoonwing_gateway; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert {"networkx", "lagoonwing_policy"}.isdisjoint(loaded)
