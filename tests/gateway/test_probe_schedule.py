"""Probes of the endpoints of silent streams, on a simulated clock and without a network."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest

from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._probe_schedule import ProbeSchedule, WatchedStream
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway.const import (
    MAX_PROBE_SILENCE_S,
    MIN_PROBE_INTERVAL_S,
    WATCH_INTERVAL_S,
)

ENDPOINTS = 86
PATH_ENDPOINTS = 9
EVENTS = 20
STREAMS_PER_S = 1.8
DURATION_S = 60.0
STEP_S = 0.01
# Standard deviation of the logarithm of a pause: one of forty is twice the usual one.
PAUSE_JITTER = 0.35


@dataclass
class _Source:
    """Sends the events of one stream."""

    stream: WatchedStream
    next_event_at: float
    events_left: int = EVENTS


class _Traffic:
    """Streams of one gateway over random paths."""

    def __init__(self, pause_s: float, seed: int = 1) -> None:
        self.clock = ManualClock(100.0)
        self.suspicions = SuspicionTracker(self.clock)
        self.schedule = ProbeSchedule(self.suspicions)
        self.probes = 0
        self.requests = 0
        self._pause_s = pause_s
        self._rng = random.Random(seed)
        self._sources: list[_Source] = []
        self._next_watch_at = 0.0

    def run(self, duration_s: float) -> None:
        """Let streams come and go."""
        end = self.clock.now() + duration_s
        while self.clock.now() < end:
            self.clock.advance(STEP_S)
            now = self.clock.now()
            if self._rng.random() < STREAMS_PER_S * STEP_S:
                self._begin(now)
            for source in self._sources:
                self._send_due_event(source, now)
            self._sources = [source for source in self._sources if source.events_left]
            if now >= self._next_watch_at:
                self._next_watch_at = now + WATCH_INTERVAL_S
                self._probe(now)

    def _begin(self, now: float) -> None:
        """Begin a stream whose first event is on time."""
        numbers = self._rng.sample(range(ENDPOINTS), PATH_ENDPOINTS)
        path = tuple(EndpointId(f"e-{number}") for number in numbers)
        stream = WatchedStream(path, lambda record, evidence: None, now + 0.6, now)
        self._sources.append(_Source(stream, now + 0.3))
        self.requests += 1

    def _send_due_event(self, source: _Source, now: float) -> None:
        """Send an event if its time has come."""
        if now < source.next_event_at:
            return
        source.stream.record_event(now)
        self.suspicions.record_progress(source.stream.endpoint_ids)
        source.events_left -= 1
        jitter = self._rng.lognormvariate(0.0, PAUSE_JITTER)
        source.next_event_at = now + self._pause_s * jitter

    def _probe(self, now: float) -> None:
        """Count the probes of one interval."""
        streams = [source.stream for source in self._sources]
        for endpoint_id in self.schedule.silent_ids(streams, now):
            self.probes += self.schedule.try_begin(endpoint_id, now)


# Guards against a gateway that connects to all endpoints of a path during its normal pauses.
@pytest.mark.parametrize("pause_s", [0.05, 0.1, 0.15])
def test_normal_pauses_cause_few_probes(pause_s: float) -> None:
    """At most one probe for two requests; with a fixed limit of 0.08 s, there were 3 to 36 each."""
    traffic = _Traffic(pause_s)
    traffic.run(DURATION_S)
    print(f"{traffic.probes} probes, {traffic.requests} requests, pauses of {pause_s} s")
    assert traffic.probes <= traffic.requests / 2


# Guards against crashes that are found late because the path is slow.
@pytest.mark.parametrize(
    ("pause_s", "limit_s"), [(0.02, 0.12), (0.1, 0.29), (0.2, MAX_PROBE_SILENCE_S + 0.07)]
)
def test_silence_after_usual_pauses_is_found_soon(pause_s: float, limit_s: float) -> None:
    """The endpoints of a path that stops are probed soon after its last event."""
    clock = ManualClock(100.0)
    suspicions = SuspicionTracker(clock)
    schedule = ProbeSchedule(suspicions)
    path = (EndpointId("e-1"), EndpointId("e-2"))
    stream = WatchedStream(path, lambda record, evidence: None, 0.0, clock.now())
    clock.advance(1.0)
    for _ in range(10):
        stream.record_event(clock.now())
        suspicions.record_progress(path)
        clock.advance(pause_s)
    stopped_at = clock.now() - pause_s
    while not schedule.silent_ids([stream], clock.now()):
        clock.advance(WATCH_INTERVAL_S)
    assert clock.now() - stopped_at <= limit_s


def test_endpoint_with_progress_on_another_stream_is_not_probed() -> None:
    """Only the endpoints that no other stream shows to be alive may be the cause."""
    clock = ManualClock(100.0)
    suspicions = SuspicionTracker(clock)
    schedule = ProbeSchedule(suspicions)
    one, two = EndpointId("e-1"), EndpointId("e-2")
    stream = WatchedStream((one, two), lambda record, evidence: None, 0.0, clock.now())
    clock.advance(0.5)
    suspicions.record_progress([one])
    assert schedule.silent_ids([stream], clock.now()) == {two}


# Guards against probes of a whole path whose first event was late.
def test_pause_after_a_late_first_event_causes_no_probe() -> None:
    """Until the pauses of a path are known, a usual one is assumed."""
    clock = ManualClock(100.0)
    schedule = ProbeSchedule(SuspicionTracker(clock))
    path = (EndpointId("e-1"), EndpointId("e-2"))
    stream = WatchedStream(path, lambda record, evidence: None, clock.now(), clock.now())
    clock.advance(0.5)
    stream.record_event(clock.now())
    clock.advance(0.15)
    assert schedule.silent_ids([stream], clock.now()) == set()
    clock.advance(0.15)
    assert schedule.silent_ids([stream], clock.now()) == set(path)


def test_state_of_endpoints_that_are_gone_is_discarded() -> None:
    """Endpoints under ever new ids left an entry each, for as long as the gateway ran."""
    schedule = ProbeSchedule(SuspicionTracker(ManualClock(100.0)))
    for number in range(1_000):
        now = 100.0 + number * MIN_PROBE_INTERVAL_S
        assert schedule.try_begin(EndpointId(f"e-{number}"), now)
        assert not schedule.try_begin(EndpointId(f"e-{number}"), now)
    assert len(schedule) <= 2
