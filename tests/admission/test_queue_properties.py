"""Properties of queues and waiting rooms, for any order of arrivals, starts and withdrawals."""

from __future__ import annotations

import math
import random

from hypothesis import given, settings
from hypothesis import strategies as st
from waiting_work import Work

from lagoonwing_admission import Admitted, CostClass, RankedQueue, WaitingRoom, WaitingRoomSettings
from lagoonwing_admission.const import MIN_RANK_SHARE
from lagoonwing_admission.models import EarlyRefusal, FirstComeFirstServed, WeightedFair
from lagoonwing_core.ids import MemberId

MEMBERS = st.sampled_from([MemberId(name) for name in ("a", "b", "c")])
COSTS = st.floats(1.0, 100.0)
WORKS = st.builds(
    Work,
    member_id=MEMBERS,
    rank=st.integers(-1, 3),
    cost=COSTS,
    due=st.floats(0.0, 10.0),
    latest_start=st.floats(0.0, 20.0),
    cost_class=st.sampled_from(CostClass),
)
POLICIES = st.sampled_from([WeightedFair(), FirstComeFirstServed()])


@given(POLICIES, st.lists(WORKS, max_size=30), st.integers(0, 100))
def test_whatever_waits_is_offered_and_leaves_once(policy, works, seed) -> None:
    """Guards against work that idle capacity can't get, and against work that is lost."""
    rng = random.Random(seed)
    queue = RankedQueue(policy)
    for work in works:
        queue.push(work)
    left = set(works)
    while left:
        found = queue.candidates(1.0, 4)
        assert found
        assert len({(work.rank, work.member_id, work.cost_class) for work in found}) == len(found)
        chosen = rng.choice(found)
        queue.take(chosen)
        left.remove(chosen)
        assert len(queue) == len(left)
    assert queue.candidates(1.0, 4) == []
    assert queue.cost_by_rank() == {}


@given(st.lists(WORKS, max_size=60), st.integers(0, 100))
def test_bounds_hold_and_totals_end_at_zero(works, seed) -> None:
    """Guards against a queue beyond its bounds, and against totals that drift."""
    rng = random.Random(seed)
    policy = EarlyRefusal(max_requests=8, max_tokens=300.0)
    room = WaitingRoom(WaitingRoomSettings(admission=policy), rng)
    for number, work in enumerate(works):
        room.submit(work, 0.0, 0.0, None)
        assert len(room) <= 8
        assert sum(room.waiting_cost_by_rank().values()) <= 300.0 + 1e-6
        found = room.candidates(0.0, 4)
        if found and number % 3 == 0:
            room.started(rng.choice(found), 0.0)
        if found and number % 5 == 0:
            room.withdraw(found[0])
    room.expired(math.inf)
    assert not len(room)
    assert room.waiting_cost_by_rank() == {}
    assert room.next_expiry() is None


@given(st.lists(WORKS, max_size=30), st.floats(0.0, 20.0))
def test_exactly_what_is_too_late_expires(works, now) -> None:
    """Guards against callers that are held after their latest start, or refused before it."""
    room = WaitingRoom(WaitingRoomSettings(), random.Random(0))
    admitted = [work for work in works if isinstance(room.submit(work, 0.0, 0.0, None), Admitted)]
    expired = room.expired(now)
    assert set(expired) == {work for work in admitted if work.latest_start <= now}
    assert expired == sorted(expired, key=lambda work: work.latest_start)


@settings(max_examples=50, deadline=None)
@given(
    st.lists(COSTS, min_size=2, max_size=2),
    st.lists(st.floats(0.5, 4.0), min_size=2, max_size=2),
)
def test_backlogged_members_are_fair_within_one_request(costs, weights) -> None:
    """Guards against a member that gets more than its weighted share for larger requests."""
    queue = RankedQueue(WeightedFair())
    members = [MemberId("a"), MemberId("b")]
    for member, cost, weight in zip(members, costs, weights, strict=True):
        queue.set_weight(member, weight)
        for _ in range(40):
            queue.push(Work(member_id=member, cost=cost))
    served = dict.fromkeys(members, 0.0)
    for _ in range(40):
        first = queue.candidates(0.0, 1)[0]
        queue.take(first)
        served[first.member_id] += first.cost
        shares = [served[m] / w for m, w in zip(members, weights, strict=True)]
        largest = max(c / w for c, w in zip(costs, weights, strict=True))
        assert abs(shares[0] - shares[1]) <= largest * 1.000001


@settings(max_examples=50, deadline=None)
@given(COSTS, COSTS)
def test_least_urgent_rank_gets_its_share(urgent_cost, other_cost) -> None:
    """Guards against a rank that starves, however urgent the others are."""
    queue = RankedQueue(WeightedFair())
    for _ in range(20):
        queue.push(Work(rank=3, cost=other_cost))
    total = served = 0.0
    for _ in range(200):
        queue.push(Work(rank=0, cost=urgent_cost))
        first = queue.candidates(0.0, 1)[0]
        queue.take(first)
        total += first.cost
        served += first.cost if first.rank == 3 else 0.0
        if served >= 19 * other_cost:
            break
        # Owed at most one request, and the share of the start that is in progress.
        owed = MIN_RANK_SHARE * total - served
        assert owed <= other_cost + MIN_RANK_SHARE * urgent_cost + 1e-6


@settings(max_examples=50, deadline=None)
@given(st.lists(COSTS, min_size=1, max_size=5), st.sampled_from(CostClass))
def test_no_class_of_a_member_starves(costs, starved) -> None:
    """Guards against a class that waits for ever beside a stream of the other classes."""
    queue = RankedQueue(WeightedFair())
    work = Work(cost=100.0, cost_class=starved)
    queue.push(work)
    others = [other for other in CostClass if other is not starved]
    for number in range(2000):
        cost = costs[number % len(costs)]
        queue.push(Work(cost=cost, cost_class=others[number % 2], enqueued=number * 0.1))
        first = queue.candidates(number * 0.1, 1)[0]
        queue.take(first)
        if first is work:
            return
    raise AssertionError(f"{starved} starved")
