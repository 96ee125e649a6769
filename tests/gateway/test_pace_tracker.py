"""Slow endpoints found from the pauses of streams, with several gateways and no network."""

from __future__ import annotations

import random

import msgspec
import pytest

from lagoonwing_catalog.messages import EndpointLoad, LoadReport, LoadSummary
from lagoonwing_catalog.models import Accelerator, Engine
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import AcceleratorKind, EndpointId
from lagoonwing_gateway._pace_tracker import PaceTracker
from lagoonwing_gateway._paced_stream import PacedSegment, PacedStream
from lagoonwing_gateway.const import MAX_SLOWDOWN
from lagoonwing_registry._load_totals import lowest_slowdowns

ACCELERATOR = Accelerator(AcceleratorKind("k"), 80_000.0, 1.0, 1.0)
# A path of eight endpoints has pauses of 80 ms while one stream uses it.
ENGINE = Engine(
    slots=64,
    kv_bytes_per_token=100_000,
    layer_count=8,
    layer_mb=1_000.0,
    step_ms=75.0,
    per_sequence_ms=5.0,
    context_ms_per_k=0.0,
    prefill_tokens_per_s=10_000.0,
    activation_bytes=0,
    link_mbps=0.0,
    steps_per_pass=1,
    load_s=1.0,
    loads_at_once=1,
    mean_prompt_tokens=400,
    mean_output_tokens=100,
    model_ids=(),
    accelerators=(ACCELERATOR,),
)
HOPS = ENGINE.layer_count
STEP_S = 0.01
ROUND_S = 0.2
NO_SUMMARY = LoadSummary({})


def _ids(count: int) -> list[EndpointId]:
    """Return the holders of each layer in turn."""
    return [EndpointId(f"e-{number}") for number in range(count)]


class _Stream:
    """A stream that gets an event whenever its path has completed a pass."""

    def __init__(self, tracker: PaceTracker, path: list[EndpointId]) -> None:
        self.path = path
        self.observed: PacedStream = tracker.begin(
            tuple(PacedSegment(endpoint_id, ENGINE, ACCELERATOR, 1, 1) for endpoint_id in path)
        )
        self.next_at = 0.0


class _Site:
    """Gateways with one or more streams each, and a registry between them."""

    def __init__(self, gateways: int, endpoints: int, streams: int = 1, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.ids = _ids(endpoints)
        self.slowdown_by_id: dict[EndpointId, float] = {}
        self.common_factor = 1.0
        self.is_registry_down = False
        self.trackers = [PaceTracker(self.clock) for _ in range(gateways)]
        self.streams_by_gateway = [
            [_Stream(tracker, self.random_path()) for _ in range(streams)]
            for tracker in self.trackers
        ]
        self.summaries = [NO_SUMMARY] * gateways

    def some_ids(self) -> list[EndpointId]:
        """Return 11 endpoints, any of all hops."""
        return self.rng.sample(self.ids, 11)

    def random_path(self) -> list[EndpointId]:
        """Return a random holder of each layer."""
        return [self.rng.choice(self.ids[hop::HOPS]) for hop in range(HOPS)]

    def run(self, seconds: float, lifetime_s: float = 2.0) -> None:
        """Let time pass; streams end after about `lifetime_s` and others follow."""
        for _ in range(round(seconds / ROUND_S)):
            for _ in range(round(ROUND_S / STEP_S)):
                self.clock.advance(STEP_S)
                self._deliver_events()
            self._replace_streams(ROUND_S / lifetime_s)
            self._exchange_reports()

    def put_stream(self, gateway: int, index: int, path: list[EndpointId]) -> None:
        """End a stream of a gateway and start another one on a path."""
        tracker, streams = self.trackers[gateway], self.streams_by_gateway[gateway]
        tracker.end(streams[index].observed)
        streams[index] = _Stream(tracker, path)
        streams[index].next_at = self.clock.now()

    def _deliver_events(self) -> None:
        now = self.clock.now()
        for streams in self.streams_by_gateway:
            for stream in streams:
                if now < stream.next_at:
                    continue
                stream.observed.record_events(1, now)
                pass_s = [
                    0.01 * self.slowdown_by_id.get(endpoint_id, 1.0) * self.rng.uniform(0.85, 1.15)
                    for endpoint_id in stream.path
                ]
                stream.next_at = now + sum(pass_s) * self.common_factor

    def _replace_streams(self, share: float) -> None:
        for gateway, streams in enumerate(self.streams_by_gateway):
            for index in range(len(streams)):
                if self.rng.random() < share:
                    self.put_stream(gateway, index, self.random_path())

    def _exchange_reports(self) -> None:
        for tracker, summary in zip(self.trackers, self.summaries, strict=True):
            tracker.update({}, summary, (self.ids,))
        reports = [LoadReport({}, slowdown_by_id=tracker.report()) for tracker in self.trackers]
        summary = LoadSummary({}, slowdown_by_id=lowest_slowdowns(reports))
        if self.is_registry_down:
            summary = NO_SUMMARY
        self.summaries = [summary] * len(self.trackers)

    def believed(self, endpoint_id: EndpointId) -> float:
        """Return the share of gateways that take an endpoint to be slow."""
        known = [tracker.slowdown_by_id().get(endpoint_id, 1.0) > 1.5 for tracker in self.trackers]
        return sum(known) / len(known)

    def sound_blamed(self) -> float:
        """Return the share of sound endpoints that are taken to be slow, over all gateways."""
        sound = [endpoint_id for endpoint_id in self.ids if endpoint_id not in self.slowdown_by_id]
        return sum(map(self.believed, sound)) / len(sound)


@pytest.mark.parametrize(("gateways", "streams"), [(106, 1), (106, 2), (26, 6), (4, 40)])
def test_several_slow_endpoints_beside_sound_ones(gateways: int, streams: int) -> None:
    """11 of 86 endpoints run 4 to 12 times slower: found within a second, the others cleared."""
    site = _Site(gateways, 86, streams)
    site.run(3.0)
    site.slowdown_by_id = {
        endpoint_id: 4.0 + number % 9 for number, endpoint_id in enumerate(site.some_ids())
    }
    site.run(1.2)
    found = [site.believed(endpoint_id) > 0.5 for endpoint_id in site.slowdown_by_id]
    assert sum(found) >= 9
    site.run(2.0)
    assert site.sound_blamed() <= 0.05


@pytest.mark.parametrize("gateways", [1, 4, 106])
def test_overload_that_slows_all_endpoints_calls_none_slow(gateways: int) -> None:
    """A surge makes all pauses twice as long as the known load explains: no endpoint is slow."""
    site = _Site(gateways, 86, streams=max(1, 160 // gateways))
    site.run(3.0)
    site.common_factor = 2.0
    blamed = []
    for _ in range(20):
        site.run(ROUND_S)
        blamed.append(site.sound_blamed())
    assert sum(blamed) / len(blamed) <= 0.1
    assert blamed[-1] <= 0.1


def test_published_figures_that_are_too_low_call_none_slow() -> None:
    """All engines take 1.4 times as long as published from the start: no endpoint is slow."""
    site = _Site(26, 86, streams=6)
    site.common_factor = 1.4
    site.run(6.0)
    assert site.sound_blamed() <= 0.02


def test_recovery_is_noticed_within_three_seconds() -> None:
    """Endpoints that run at full speed again are used again, although few streams cross them."""
    site = _Site(106, 86, streams=1)
    site.run(2.0)
    slow = dict.fromkeys(site.some_ids(), 8.0)
    site.slowdown_by_id = slow
    site.run(2.0)
    site.slowdown_by_id = {}
    site.run(3.0)
    assert max(site.believed(endpoint_id) for endpoint_id in slow) <= 0.1


def test_slowdown_without_new_evidence_decays() -> None:
    """A slow endpoint that nobody uses any more is tried again after a few seconds."""
    site = _Site(1, 86)
    site.run(1.0)
    site.put_stream(0, 0, site.ids[:HOPS])
    site.slowdown_by_id = {site.ids[0]: 5.0}
    site.run(1.0, lifetime_s=1e9)
    assert site.believed(site.ids[0]) == 1.0
    site.trackers[0].end(site.streams_by_gateway[0].pop().observed)
    assert max(site.trackers[0].slowdown_by_id().values()) > 2.5
    site.run(3.0)
    assert max(site.trackers[0].slowdown_by_id().values()) < 2.5
    site.run(5.0)
    assert site.believed(site.ids[0]) == 0.0


def test_lost_reports_leave_a_gateway_its_own_observations() -> None:
    """Cut off from the registry: a gateway with many streams finds slow endpoints by itself."""
    site = _Site(2, 86, streams=80)
    site.is_registry_down = True
    site.run(2.0)
    site.slowdown_by_id = dict.fromkeys(site.some_ids(), 8.0)
    site.run(1.2)
    assert sum(site.believed(endpoint_id) > 0.0 for endpoint_id in site.slowdown_by_id) >= 9
    site.run(2.0)
    assert site.sound_blamed() <= 0.1


def test_gateway_whose_streams_cross_one_slow_endpoint_is_corrected() -> None:
    """Its reports make sound endpoints look slow only until the other gateways' arrive."""
    site = _Site(26, 24, streams=4)
    site.run(2.0)
    slow = site.ids[0]
    for index in range(4):
        site.put_stream(0, index, [slow, *site.random_path()[1:]])
    site.slowdown_by_id = {slow: 10.0}
    site.run(1.4)
    assert site.believed(slow) > 0.9
    blamed = []
    for _ in range(15):
        site.run(ROUND_S)
        blamed.append(site.sound_blamed())
    assert sum(blamed) / len(blamed) <= 0.05


def test_reports_stay_small() -> None:
    """Sound endpoints are reported only after somebody reported them slow."""
    site = _Site(26, 86, streams=6)
    site.run(4.0)
    assert sum(len(tracker.report()) for tracker in site.trackers) <= 26
    site.slowdown_by_id = dict.fromkeys(site.some_ids(), 8.0)
    site.run(2.0)
    assert max(len(tracker.report()) for tracker in site.trackers) <= 86


def _alone(seconds: float, pause_s: float) -> tuple[PaceTracker, ManualClock, PacedStream]:
    """Return a gateway with one stream of regular pauses."""
    clock = ManualClock()
    tracker = PaceTracker(clock)
    stream = tracker.begin(
        tuple(PacedSegment(endpoint_id, ENGINE, ACCELERATOR, 1, 1) for endpoint_id in _ids(HOPS))
    )
    stream.record_events(1, clock.now())
    for _ in range(round(seconds / pause_s)):
        clock.advance(pause_s)
        stream.record_events(1, clock.now())
        tracker.update({}, NO_SUMMARY, (_ids(86),))
    return tracker, clock, stream


def test_silent_stream_is_evidence_before_its_next_event() -> None:
    """An endpoint that slows down by a lot is noticed before the pause has ended."""
    tracker, clock, _ = _alone(1.0, 0.08)
    assert not tracker.slowdown_by_id()
    for _ in range(3):
        clock.advance(0.2)
        tracker.update({}, NO_SUMMARY, (_ids(86),))
    assert tracker.slowdown_by_id()


def test_stopped_gateway_calls_no_endpoint_slow() -> None:
    """A gateway that stood still for 3 s saw long pauses that are its own."""
    tracker, clock, stream = _alone(1.0, 0.08)
    clock.advance(3.0)
    tracker.update({}, NO_SUMMARY, (_ids(86),))
    stream.record_events(1, clock.now())
    clock.advance(0.08)
    stream.record_events(1, clock.now())
    tracker.update({}, NO_SUMMARY, (_ids(86),))
    assert not tracker.slowdown_by_id()


def test_events_that_arrive_together_share_their_pause() -> None:
    """A read that was late brings two events: two pauses, not one long one."""
    tracker, clock, stream = _alone(1.0, 0.08)
    for _ in range(6):
        clock.advance(0.16)
        stream.record_events(2, clock.now())
        tracker.update({}, NO_SUMMARY, (_ids(86),))
    assert not tracker.slowdown_by_id()


def test_load_explains_longer_pauses() -> None:
    """Eight streams on each endpoint lengthen a step by known figures, which isn't slowness."""
    clock = ManualClock()
    tracker = PaceTracker(clock)
    stream = tracker.begin(
        tuple(PacedSegment(endpoint_id, ENGINE, ACCELERATOR, 1, 1) for endpoint_id in _ids(HOPS))
    )
    loads = dict.fromkeys(_ids(HOPS), EndpointLoad(8, 0, 0))
    stream.record_events(1, clock.now())
    for _ in range(10):
        clock.advance((75.0 + 8 * 5.0) / 1_000)
        stream.record_events(1, clock.now())
        tracker.update(loads, NO_SUMMARY, (_ids(86),))
    assert not tracker.slowdown_by_id()


def test_slowdowns_reported_by_others_are_bounded() -> None:
    """A report out of range can't make an endpoint look slower than the bound."""
    clock = ManualClock()
    tracker = PaceTracker(clock)
    summary = LoadSummary({}, slowdown_by_id={EndpointId("e-0"): 1e9, EndpointId("e-1"): -3.0})
    tracker.update({}, summary, (_ids(86),))
    assert tracker.slowdown_by_id() == {EndpointId("e-0"): MAX_SLOWDOWN}


def test_endpoint_without_a_part_in_the_pause_is_not_blamed() -> None:
    """An accelerator with a step factor of zero ended all estimates by a division by zero."""
    clock = ManualClock()
    tracker = PaceTracker(clock)
    instant = Accelerator(AcceleratorKind("i"), 80_000.0, 0.0, 1.0)
    stream = tracker.begin(
        (
            PacedSegment(EndpointId("instant"), ENGINE, instant, 4, 4),
            PacedSegment(EndpointId("slow"), ENGINE, ACCELERATOR, 4, 4),
        )
    )
    for _ in range(5):
        stream.record_events(1, clock.now())
        tracker.update({}, NO_SUMMARY, [{EndpointId("instant"), EndpointId("slow")}])
        clock.advance(0.2)
    assert set(tracker.report()) == {EndpointId("slow")}


def test_engine_without_published_step_times_is_not_called_slow() -> None:
    """Queued prefill alone explained the pauses, so the endpoint that had some looked slow."""
    clock = ManualClock()
    tracker = PaceTracker(clock)
    engine = msgspec.structs.replace(ENGINE, step_ms=0.0, per_sequence_ms=0.0)
    ids = _ids(HOPS)
    stream = tracker.begin(
        tuple(PacedSegment(endpoint_id, engine, ACCELERATOR, 1, 1) for endpoint_id in ids)
    )
    loads = {ids[0]: EndpointLoad(2, 0, 20)}
    for _ in range(20):
        stream.record_events(1, clock.now())
        tracker.update(loads, NO_SUMMARY, (_ids(86),))
        clock.advance(0.08)
    assert not tracker.slowdown_by_id()
