"""Promised times of return, and the first attempt of a caller that has returned."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonwing_admission import FirstAttempts, ReturnSchedule
from lagoonwing_admission.const import MIN_RETURN_S, RETURN_SHARE


def _promises(schedule: ReturnSchedule, count: int, rank: int = 0, max_s: float = 60.0) -> list:
    """Return the promises of requests of cost 10 to a service that starts 100 a second."""
    return [schedule.promise(rank, 10.0, 100.0, 0.0, max_s, 0.0) for _ in range(count)]


def test_returning_callers_fill_their_share_of_the_capacity() -> None:
    """Load: 100 callers refused at once. A jitter of 0.6 s would let all return together."""
    promises = _promises(ReturnSchedule(random.Random(0)), 100)
    assert promises == sorted(promises)
    assert promises[0] >= MIN_RETURN_S
    assert promises[-1] == pytest.approx(100 * 10.0 / (100.0 * RETURN_SHARE), rel=0.05)


def test_urgent_caller_does_not_wait_for_less_urgent_promises() -> None:
    """Load: 100 callers of rank 2 refused before one of rank 0."""
    schedule = ReturnSchedule(random.Random(0))
    last = _promises(schedule, 100, rank=2)[-1]
    assert _promises(schedule, 1, rank=0)[0] <= MIN_RETURN_S + 0.2
    assert _promises(schedule, 1, rank=2)[0] > last


def test_less_urgent_caller_waits_for_urgent_promises() -> None:
    """Load: 100 callers of rank 0 refused before one of rank 2."""
    schedule = ReturnSchedule(random.Random(0))
    last = _promises(schedule, 100, rank=0)[-1]
    assert _promises(schedule, 1, rank=2)[0] >= last - 0.2


def test_promises_beyond_the_limit_are_spread() -> None:
    """Load: 1,000 callers refused at once, who return within 6 s. One time for all is a surge."""
    promises = _promises(ReturnSchedule(random.Random(0)), 1000, max_s=6.0)
    late = promises[100:]
    assert max(promises) <= 6.0
    assert min(late) >= 3.0
    assert sum(promise < 4.5 for promise in late) / len(late) == pytest.approx(0.5, abs=0.05)


def test_unknown_rate_gives_a_jittered_time() -> None:
    """A gateway that has measured nothing must not promise a time."""
    schedule = ReturnSchedule(random.Random(0))
    promises = [schedule.promise(0, 10.0, None, 0.0, 60.0, 0.0) for _ in range(200)]
    assert min(promises) >= 0.3
    assert max(promises) <= 0.9
    assert max(promises) - min(promises) > 0.5


@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.floats(1.0, 1000.0),
            st.one_of(st.none(), st.floats(0.0, 1e4)),
            st.floats(0.0, 30.0),
            st.floats(0.0, 7.0),
        ),
        max_size=50,
    )
)
def test_no_promise_passes_the_callers_limit(requests) -> None:
    """Guards against a promise that the caller ignores because it is too late."""
    schedule = ReturnSchedule(random.Random(0))
    for number, (rank, cost, rate, earliest_s, max_s) in enumerate(requests):
        promised_s = schedule.promise(rank, cost, rate, earliest_s, max_s, number * 0.1)
        assert 0.0 <= promised_s <= max_s


def test_returned_caller_keeps_the_time_of_its_first_attempt() -> None:
    """Guards against a returned caller that waits behind callers that came after it."""
    attempts = FirstAttempts()
    assert attempts.first_attempt(20.0, 100.0) == 100.0
    assert attempts.first_attempt(17.0, 104.0) == pytest.approx(101.0, abs=0.5)


def test_immediate_retry_counts_as_new() -> None:
    """Guards against callers that gain a place by retrying before the shortest promise."""
    attempts = FirstAttempts()
    attempts.first_attempt(20.0, 100.0)
    assert attempts.first_attempt(19.8, 100.2) == 100.2


def test_usual_time_follows_a_shorter_deadline() -> None:
    """Guards against all callers of a route whose deadline was lowered being taken as returned."""
    attempts = FirstAttempts()
    attempts.first_attempt(20.0, 0.0)
    for second in range(1, 300):
        found = attempts.first_attempt(10.0, float(second))
    assert found == 299.0
