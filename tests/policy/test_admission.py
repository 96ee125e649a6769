"""Early and truthful refusal, and bounded queues and ticks at any surge."""

from __future__ import annotations

import random
import sys

import pytest

from lagoonwing_core.ids import RequestId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy import EarlyRefusal, SchedulerSettings
from lagoonwing_policy.admission import DrainMeter, jittered_retry_after
from lagoonwing_policy.const import MAX_REFUSALS_PER_TICK


@pytest.fixture
def cell(make_cell):
    """A cell with two slots and two members."""
    made = make_cell()
    made.add_endpoints(e1=2)
    made.add_member("acme")
    made.add_member("calm")
    return made


def _learn_speed(cell, service_s: float = 1.0) -> None:
    """Let requests of 10 tokens end after `service_s` until the speed is known."""
    for number in range(60):
        cell.submit(f"learn-{number}", max_tokens=20)
        cell.tick()
        cell.clock.advance(service_s)
        cell.finish(f"learn-{number}", tokens=10)


def test_unreachable_deadline_is_refused_at_once(cell) -> None:
    """A request that can't be answered in time is refused when it comes, not when it is late."""
    _learn_speed(cell)
    for number in range(20):
        assert cell.submit(f"r{number}", deadline_s=100.0).is_ok()
    cell.tick()
    # Eighteen wait for two slots of a second each: about nine seconds.
    refused = cell.submit("late", deadline_s=5.0)
    assert refused.error.code is ResultCode.DEADLINE_UNREACHABLE
    assert refused.error.retry_after is not None
    assert cell.submit("in-time", deadline_s=15.0).is_ok()


def test_other_members_queue_does_not_make_a_deadline_unreachable(cell) -> None:
    """The expected wait counts a member's own queue and the portions of others beside it."""
    _learn_speed(cell)
    for number in range(100):
        cell.submit(f"r{number}", deadline_s=1000.0)
    cell.tick()
    assert cell.submit("c1", "calm", deadline_s=3.0).is_ok()


def test_queued_request_is_refused_when_it_can_no_longer_end_in_time(cell) -> None:
    """A queued request is refused while its caller still has time to go elsewhere."""
    _learn_speed(cell, service_s=2.0)
    for number in range(2):
        cell.submit(f"r{number}")
    cell.tick()
    assert cell.submit("waits", deadline_s=5.0).is_ok()
    cell.run_for(2.5)
    assert "waits" not in cell.refused
    cell.run_for(1.0)
    assert cell.refused["waits"].code is ResultCode.DEADLINE_UNREACHABLE
    assert "waits" not in cell.started


def test_nothing_is_refused_for_its_deadline_while_the_speed_is_unknown(cell) -> None:
    """Without a measurement no wait is asserted."""
    for number in range(50):
        assert cell.submit(f"r{number}", deadline_s=1.0).is_ok()


def test_surge_of_one_member_leaves_room_in_the_queue(make_cell) -> None:
    """However much one member sends, another one's requests are queued."""
    settings = SchedulerSettings(admission=EarlyRefusal(max_requests=400))
    cell = make_cell(settings)
    cell.add_endpoints(e1=1)
    for name in ("surge", "calm"):
        cell.add_member(name)
    results = [cell.submit(f"s{number}", "surge") for number in range(5000)]
    refused = [result.error for result in results if result.is_error()]
    assert {refusal.code for refusal in refused} == {ResultCode.QUEUE_FULL}
    assert all(cell.submit(f"c{number}", "calm").is_ok() for number in range(60))
    assert cell.scheduler.queued() <= 400


def test_queue_is_bounded_in_tokens(make_cell) -> None:
    """A few requests with huge prompts fill the queue as many small ones do."""
    settings = SchedulerSettings(admission=EarlyRefusal(max_tokens=100_000.0))
    cell = make_cell(settings)
    cell.add_endpoints(e1=1)
    cell.add_member("acme")
    results = [cell.submit(f"r{number}", prompt=10_000) for number in range(50)]
    assert sum(result.is_ok() for result in results) <= 10


def test_tick_refuses_a_bounded_number(make_cell) -> None:
    """When thousands of deadlines pass at once the work is spread over ticks."""
    settings = SchedulerSettings(admission=EarlyRefusal(free_share=1.0))
    cell = make_cell(settings)
    cell.add_endpoints(e1=1)
    cell.add_member("acme")
    for number in range(2000):
        cell.submit(f"r{number}", deadline_s=1.0)
    queued = cell.scheduler.queued()
    cell.tick(2.0)
    assert len(cell.refused) == MAX_REFUSALS_PER_TICK
    cell.run_for(0.2)
    assert len(cell.refused) >= queued - 1


def test_idle_tick_does_not_look_at_the_queue(make_cell) -> None:
    """While nothing can start a tick's work does not grow with the queue."""
    calls = [_calls_per_tick(make_cell, queued) for queued in (50, 2000)]
    assert calls[1] <= calls[0] + 5


def _calls_per_tick(make_cell, queued: int) -> float:
    """Return the function calls of a tick while all slots are in use."""
    cell = make_cell()
    cell.add_endpoints(e1=1)
    cell.add_member("acme")
    for number in range(queued):
        cell.submit(f"r{number}")
    cell.run_for(0.1)
    calls = 0

    def count(frame, event, argument) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    cell.run_for(1.0)
    sys.setprofile(None)
    return calls / 100


def test_churn_of_cancelled_requests_leaves_nothing_behind(cell) -> None:
    """Requests whose callers went leave no trace in queues and tables."""
    for number in range(2):
        cell.submit(f"r{number}")
    cell.tick()
    for number in range(10_000):
        cell.submit(f"c{number}", deadline_s=1e6)
        cell.scheduler.cancel(RequestId(f"c{number}"), cell.now)
    assert cell.scheduler.queued() == 0
    assert cell.run_for(0.1) == []
    assert cell.finish("r0") == []


def test_retry_times_are_spread() -> None:
    """Callers refused together do not come again together."""
    rng = random.Random(1)
    times = sorted(jittered_retry_after(rng, 2.0) for _ in range(1000))
    assert times[0] < 0.3
    assert times[-1] > 3.8
    assert 1.8 < times[500] < 2.4


def test_absent_endpoints_keep_requests_for_a_short_time(cell) -> None:
    """Endpoints that come back within seconds have cost no refusal; a longer absence has."""
    cell.add_endpoints()
    cell.submit("r1")
    cell.run_for(1.5)
    cell.add_endpoints(e1=2)
    assert "r1" in cell.tick(0.01)
    cell.add_endpoints()
    cell.submit("r2")
    cell.run_for(3.0)
    assert cell.refused["r2"].code is ResultCode.NO_ENDPOINT
    assert cell.submit("r3").error.code is ResultCode.NO_ENDPOINT


def test_drain_meter_believes_backlog_only() -> None:
    """What starts without backlog is what arrives and says nothing about the capacity."""
    meter = DrainMeter()
    for number in range(100):
        meter.finished(cost=10.0, seconds=1.0)
        meter.started(10.0, backlogged=False, now=float(number))
    assert meter.rate(slots=8) == pytest.approx(80.0)
    for number in range(400):
        meter.started(10.0, backlogged=True, now=100.0 + number * 0.5)
    assert meter.rate(slots=8) == pytest.approx(20.0, rel=0.05)
