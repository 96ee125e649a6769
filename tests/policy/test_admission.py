"""Admission control: early refusals, bounded queues and bounded work per tick."""

from __future__ import annotations

import random
import sys

import pytest

from lagoonwing_admission import ThroughputMeter, jittered_retry_after
from lagoonwing_core.ids import RequestId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy import EarlyRefusal, SchedulerSettings
from lagoonwing_policy.const import MAX_REFUSALS_PER_TICK


@pytest.fixture
def harness(make_harness):
    """A scheduler with two slots and two members."""
    made = make_harness()
    made.add_endpoints(e1=2)
    made.add_member("acme")
    made.add_member("calm")
    return made


def _learn_speed(harness, service_s: float = 1.0) -> None:
    """Run requests of 10 tokens for `service_s` each until the speed is known."""
    for number in range(60):
        harness.submit(f"learn-{number}", max_tokens=20)
        harness.tick()
        harness.clock.advance(service_s)
        harness.finish(f"learn-{number}", tokens=10)


def test_unreachable_deadline_is_refused_at_once(harness) -> None:
    """A request that can't be answered in time is refused on arrival."""
    _learn_speed(harness)
    for number in range(20):
        assert harness.submit(f"r{number}", deadline_s=100.0).is_ok()
    harness.tick()
    # 18 requests of one second wait for two slots: about nine seconds.
    refused = harness.submit("late", deadline_s=5.0)
    assert refused.error.code is ResultCode.DEADLINE_UNREACHABLE
    assert refused.error.retry_after is not None
    assert harness.submit("in-time", deadline_s=15.0).is_ok()


def test_other_members_queue_does_not_make_a_deadline_unreachable(harness) -> None:
    """The expected wait counts the member's own queue and other members' fair shares only."""
    _learn_speed(harness)
    for number in range(100):
        harness.submit(f"r{number}", deadline_s=1000.0)
    harness.tick()
    assert harness.submit("c1", "calm", deadline_s=3.0).is_ok()


def test_queued_request_is_refused_when_it_can_no_longer_end_in_time(harness) -> None:
    """A queued request is refused at its latest start, before its deadline."""
    _learn_speed(harness, service_s=2.0)
    for number in range(2):
        harness.submit(f"r{number}")
    harness.tick()
    assert harness.submit("waits", deadline_s=5.0).is_ok()
    harness.run_for(2.5)
    assert "waits" not in harness.refused
    harness.run_for(1.0)
    assert harness.refused["waits"].code is ResultCode.DEADLINE_UNREACHABLE
    assert "waits" not in harness.started


def test_deadlines_cause_no_refusal_while_the_speed_is_unknown(harness) -> None:
    """Without measurements no wait is estimated."""
    for number in range(50):
        assert harness.submit(f"r{number}", deadline_s=1.0).is_ok()


def test_surge_of_one_member_leaves_room_in_the_queue(make_harness) -> None:
    """A burst of one member does not fill the queue for another member."""
    settings = SchedulerSettings(admission=EarlyRefusal(max_requests=400))
    harness = make_harness(settings)
    harness.add_endpoints(e1=1)
    for name in ("surge", "calm"):
        harness.add_member(name)
    results = [harness.submit(f"s{number}", "surge") for number in range(5000)]
    refused = [result.error for result in results if result.is_error()]
    assert {refusal.code for refusal in refused} == {ResultCode.QUEUE_FULL}
    assert all(harness.submit(f"c{number}", "calm").is_ok() for number in range(60))
    assert harness.scheduler.queued() <= 400


def test_queue_is_bounded_in_tokens(make_harness) -> None:
    """Few requests with large prompts fill the queue like many small ones."""
    settings = SchedulerSettings(admission=EarlyRefusal(max_tokens=100_000.0))
    harness = make_harness(settings)
    harness.add_endpoints(e1=1)
    harness.add_member("acme")
    results = [harness.submit(f"r{number}", prompt=10_000) for number in range(50)]
    assert sum(result.is_ok() for result in results) <= 10


def test_refusals_per_tick_are_bounded(make_harness) -> None:
    """Refusals for thousands of simultaneous deadlines are spread over several ticks."""
    settings = SchedulerSettings(admission=EarlyRefusal(free_share=1.0))
    harness = make_harness(settings)
    harness.add_endpoints(e1=1)
    harness.add_member("acme")
    for number in range(2000):
        harness.submit(f"r{number}", deadline_s=1.0)
    queued = harness.scheduler.queued()
    harness.tick(2.0)
    assert len(harness.refused) == MAX_REFUSALS_PER_TICK
    harness.run_for(0.2)
    assert len(harness.refused) >= queued - 1


def test_idle_tick_cost_is_independent_of_queue_length(make_harness) -> None:
    """While nothing can start, the work of a tick does not grow with the queue."""
    calls = [_calls_per_tick(make_harness, queued) for queued in (50, 2000)]
    assert calls[1] <= calls[0] + 5


def _calls_per_tick(make_harness, queued: int) -> float:
    """Return the function calls per tick while all slots are in use."""
    harness = make_harness()
    harness.add_endpoints(e1=1)
    harness.add_member("acme")
    for number in range(queued):
        harness.submit(f"r{number}")
    harness.run_for(0.1)
    calls = 0

    def count(frame, event, argument) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    harness.run_for(1.0)
    sys.setprofile(None)
    return calls / 100


def test_cancelled_requests_are_removed_completely(harness) -> None:
    """Cancelled requests are removed from queues and tables."""
    for number in range(2):
        harness.submit(f"r{number}")
    harness.tick()
    for number in range(10_000):
        harness.submit(f"c{number}", deadline_s=1e6)
        harness.scheduler.cancel(RequestId(f"c{number}"), harness.now)
    assert harness.scheduler.queued() == 0
    assert harness.run_for(0.1) == []
    assert harness.finish("r0") == []


def test_retry_after_times_are_jittered() -> None:
    """Callers that are refused at the same time do not retry at the same time."""
    rng = random.Random(1)
    times = sorted(jittered_retry_after(rng, 2.0) for _ in range(1000))
    assert times[0] < 0.3
    assert times[-1] > 3.8
    assert 1.8 < times[500] < 2.4


def test_requests_without_route_are_kept_for_the_grace_period(harness) -> None:
    """A short absence of all endpoints causes no refusal; a longer one does."""
    harness.add_endpoints()
    harness.submit("r1")
    harness.run_for(1.5)
    harness.add_endpoints(e1=2)
    assert "r1" in harness.tick(0.01)
    harness.add_endpoints()
    harness.submit("r2")
    harness.run_for(3.0)
    assert harness.refused["r2"].code is ResultCode.NO_ENDPOINT
    assert harness.submit("r3").error.code is ResultCode.NO_ENDPOINT


def test_throughput_meter_uses_the_measured_rate_only_under_backlog() -> None:
    """Without a backlog the start rate equals the arrival rate and is not the capacity."""
    meter = ThroughputMeter()
    for number in range(100):
        meter.finished(cost=10.0, seconds=1.0)
        meter.started(10.0, backlogged=False, now=float(number))
    assert meter.rate(slots=8) == pytest.approx(80.0)
    for number in range(400):
        meter.started(10.0, backlogged=True, now=100.0 + number * 0.5)
    assert meter.rate(slots=8) == pytest.approx(20.0, rel=0.05)
