"""Return times of refused callers, of one gateway and of many together."""

from __future__ import annotations

import random

import pytest

from lagoonwing_admission import ReturnSchedule
from lagoonwing_admission.const import RETURN_SHARE

COST = 800.0
# Capacity of the service in cost per second: 50 requests.
RATE = 50 * COST
LONGEST_S = 6.0


def promise_many(gateways: int, refused_by_each: int) -> list[float]:
    """Return the promises of several gateways that refuse callers in the same moment."""
    promises: list[float] = []
    for seed in range(gateways):
        schedule = ReturnSchedule(random.Random(seed))
        promises.extend(
            schedule.promise(1, COST, RATE / gateways, 0.0, LONGEST_S, 0.0)
            for _ in range(refused_by_each)
        )
    return promises


@pytest.mark.parametrize("gateways", [1, 4, 26])
def test_callers_refused_together_do_not_return_together(gateways: int) -> None:
    """A surge that returns at one moment, or faster than it can be served, is refused again."""
    promises = promise_many(gateways, 104 // gateways)
    returns_by_second = [
        sum(second <= promised_s < second + 1 for promised_s in promises) for second in range(6)
    ]
    assert sum(returns_by_second) == 104
    assert max(returns_by_second) <= 1.5 * RETURN_SHARE * RATE / COST


def test_more_urgent_callers_return_before_less_urgent_ones() -> None:
    """A less urgent caller that was refused first must not hold back a more urgent one."""
    schedule = ReturnSchedule(random.Random(1))
    for _ in range(50):
        schedule.promise(2, COST, RATE, 0.0, LONGEST_S, 0.0)
    urgent_s = schedule.promise(0, COST, RATE, 0.0, LONGEST_S, 0.0)
    late_s = schedule.promise(2, COST, RATE, 0.0, LONGEST_S, 0.0)
    assert urgent_s < 0.5
    assert late_s > 1.5


def test_promises_stay_within_what_callers_honour() -> None:
    """A caller ignores a longer Retry-After and comes back at a time of its own."""
    assert max(promise_many(1, 2_000)) <= LONGEST_S
