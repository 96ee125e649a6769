"""Slow endpoints, detected from the pauses of the streams that pass through this gateway.

An endpoint is at most as slow as the fastest stream through it allows, so one fast stream at any
gateway shows that all endpoints of its path are sound. Gateways therefore report what they see now,
and the lowest report of an endpoint counts.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from statistics import median

from lagoonwing_catalog.messages import EndpointLoad, LoadSummary
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._paced_stream import NO_LOAD, PacedSegment, PacedStream, PaceSample
from lagoonwing_gateway._typical_pace import TypicalPace
from lagoonwing_gateway.const import (
    MAX_SLOWDOWN,
    MIN_PACE_EXCESS_S,
    PACE_CONFIRMATION_S,
    PACE_EXPLAINED_SHARE,
    PACE_HALF_LIFE_S,
    PACE_MEMORY_S,
    PACE_NOISE,
    PACE_SAMPLE_TTL_S,
    PACE_STALL_S,
    REPORTED_SLOWDOWN,
    SLOW_ENDPOINT_FACTOR,
)


@dataclass(slots=True)
class _Estimate:
    """Slowdown of one endpoint.

    Attributes:
        factor: Slowdown when it was last observed, by this gateway or others.
        observed_at: Time of that observation.
        slow_seen_at: Last time at which this gateway or another one called it slow.
        slow_since: Time since which it has been observed to be slow; None if it is not.
    """

    factor: float
    observed_at: float
    slow_seen_at: float
    slow_since: float | None

    def current(self, now: float) -> float:
        """Return the slowdown, which decays so that an endpoint is tried again."""
        halvings = (now - self.observed_at) / PACE_HALF_LIFE_S
        return 1.0 + (self.factor - 1.0) * math.exp2(-halvings)

    def observe(self, factor: float, now: float) -> None:
        """Replace the slowdown."""
        self.factor, self.observed_at = factor, now
        if factor <= SLOW_ENDPOINT_FACTOR:
            self.slow_since = None
        elif self.slow_since is None:
            self.slow_since = now


class PaceTracker:
    """Estimates the slowdown of endpoints from the streams here and what other gateways report."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._streams: set[PacedStream] = set()
        self._typical = TypicalPace()
        # Last samples of streams that have ended.
        self._samples: list[PaceSample] = []
        self._estimate_by_id: dict[EndpointId, _Estimate] = {}
        # How slow endpoints can be at most, given the streams here.
        self._own_by_id: dict[EndpointId, float] = {}
        self._slowdown_by_id: dict[EndpointId, float] = {}
        self._slow_ids: set[EndpointId] = set()
        self._summary: LoadSummary | None = None
        self._updated_at = clock.now()

    @callback
    def begin(self, segments: tuple[PacedSegment, ...]) -> PacedStream:
        """Observe a stream until `end` is called, if published figures explain its pauses."""
        if not any(segment.expected_pass_ms(NO_LOAD) for segment in segments):
            return PacedStream(())
        stream = PacedStream(segments)
        self._streams.add(stream)
        return stream

    @callback
    def end(self, stream: PacedStream) -> None:
        """Stop observing a stream; its last sample counts until it is outdated."""
        self._streams.discard(stream)
        if stream.sample is not None:
            self._samples.append(stream.sample)

    @callback
    def update(
        self,
        load_by_id: Mapping[EndpointId, EndpointLoad],
        summary: LoadSummary,
        peer_groups: Iterable[Collection[EndpointId]],
    ) -> None:
        """Estimate the slowdowns anew.

        Args:
            load_by_id: Load of each endpoint, summed over all gateways.
            summary: Observations of the other gateways; empty if they are outdated.
            peer_groups: Endpoints of each service, whose load rises and falls together.
        """
        now = self._clock.now()
        has_stalled = now - self._updated_at > PACE_STALL_S
        self._updated_at = now
        if has_stalled:
            # This process was stopped: the pauses that it saw are its own.
            for stream in self._streams:
                stream.restart()
        elif self._streams:
            self._typical.add(
                sample.ratio
                for stream in self._streams
                if (sample := stream.take_sample(now, load_by_id)) is not None
            )
        self._own_by_id = self._upper_bounds(now)
        self._merge(summary, now)
        self._slowdown_by_id = self._relative_slowdowns(peer_groups, now)
        self._log_changes()

    def slowdown_by_id(self) -> Mapping[EndpointId, float]:
        """Return the endpoints that are slow at the moment."""
        return self._slowdown_by_id

    def report(self) -> dict[EndpointId, float]:
        """Return what the streams here show now of endpoints that seem slow or recently did."""
        now = self._clock.now()
        report: dict[EndpointId, float] = {}
        for endpoint_id, factor in self._own_by_id.items():
            if factor > REPORTED_SLOWDOWN:
                report[endpoint_id] = round(factor, 2)
                continue
            estimate = self._estimate_by_id.get(endpoint_id)
            if estimate is not None and now <= estimate.slow_seen_at + PACE_MEMORY_S:
                report[endpoint_id] = 1.0
        return report

    @property
    def slow_count(self) -> int:
        """Number of endpoints that are taken to be slow."""
        return len(self._slow_ids)

    def _upper_bounds(self, now: float) -> dict[EndpointId, float]:
        """Return how slow each endpoint can be at most, given the streams here."""
        self._samples = [
            sample for sample in self._samples if now <= sample.taken_at + PACE_SAMPLE_TTL_S
        ]
        current = [
            stream.sample
            for stream in self._streams
            if stream.sample is not None and now <= stream.sample.taken_at + PACE_SAMPLE_TTL_S
        ]
        bounds: dict[EndpointId, float] = {}
        for sample in (*self._samples, *current):
            for endpoint_id, factor in self._bounds_from(sample, now):
                bounds[endpoint_id] = min(factor, bounds.get(endpoint_id, MAX_SLOWDOWN))
        return bounds

    def _bounds_from(self, sample: PaceSample, now: float) -> Iterable[tuple[EndpointId, float]]:
        """Yield how slow each endpoint can be at most, given one stream."""
        excess = sample.ratio / self._typical.ratio - 1.0 - PACE_NOISE
        excess_s = excess * self._typical.ratio * sample.expected_s
        if excess_s < MIN_PACE_EXCESS_S:
            for endpoint_id, _ in sample.shares:
                yield endpoint_id, 1.0
            return
        confirmed = self._confirmed(sample, now)
        explained = sum(confirmed.values()) >= PACE_EXPLAINED_SHARE * excess
        for endpoint_id, share in sample.shares:
            # An endpoint whose published figures are zero has no part in the expected pause.
            if share > 0.0 and (not explained or endpoint_id in confirmed):
                yield endpoint_id, min(MAX_SLOWDOWN, 1.0 + excess / share)

    def _confirmed(self, sample: PaceSample, now: float) -> dict[EndpointId, float]:
        """Return the excess caused by endpoints that no gateway has found sound for a while."""
        confirmed: dict[EndpointId, float] = {}
        for endpoint_id, share in sample.shares:
            estimate = self._estimate_by_id.get(endpoint_id)
            if estimate is None or estimate.slow_since is None:
                continue
            if now >= estimate.slow_since + PACE_CONFIRMATION_S:
                confirmed[endpoint_id] = share * (estimate.current(now) - 1.0)
        return confirmed

    def _merge(self, summary: LoadSummary, now: float) -> None:
        """Combine the observations here with those of other gateways."""
        reported_by_id = summary.slowdown_by_id
        changed = {**(reported_by_id if summary is not self._summary else {}), **self._own_by_id}
        self._summary = summary
        for endpoint_id, factor in changed.items():
            reported_factor = reported_by_id.get(endpoint_id, factor)
            is_called_slow = max(factor, reported_factor) > REPORTED_SLOWDOWN
            estimate = self._estimate_by_id.get(endpoint_id)
            if estimate is None:
                if not is_called_slow:
                    continue
                estimate = _Estimate(1.0, now, now, None)
                self._estimate_by_id[endpoint_id] = estimate
            elif is_called_slow:
                estimate.slow_seen_at = now
            estimate.observe(min(MAX_SLOWDOWN, max(1.0, min(factor, reported_factor))), now)

    def _relative_slowdowns(
        self, peer_groups: Iterable[Collection[EndpointId]], now: float
    ) -> dict[EndpointId, float]:
        """Return the slow endpoints; what slows most endpoints of a service is their load."""
        factor_by_id: dict[EndpointId, float] = {}
        for endpoint_id, estimate in list(self._estimate_by_id.items()):
            factor = estimate.current(now)
            if factor > REPORTED_SLOWDOWN:
                factor_by_id[endpoint_id] = factor
            elif now > estimate.slow_seen_at + PACE_MEMORY_S:
                del self._estimate_by_id[endpoint_id]
        if not factor_by_id:
            return factor_by_id
        slowdown_by_id: dict[EndpointId, float] = {}
        for peers in peer_groups:
            slow = {peer: factor_by_id[peer] for peer in peers if peer in factor_by_id}
            if not slow:
                continue
            typical = median([*slow.values(), *([1.0] * (len(peers) - len(slow)))])
            for peer, factor in slow.items():
                if factor / typical > REPORTED_SLOWDOWN:
                    slowdown_by_id[peer] = factor / typical
        return slowdown_by_id

    def _log_changes(self) -> None:
        """Log endpoints that have become slow, or are no longer."""
        slow_ids = {
            endpoint_id
            for endpoint_id, factor in self._slowdown_by_id.items()
            if factor > SLOW_ENDPOINT_FACTOR
        }
        for endpoint_id in slow_ids ^ self._slow_ids:
            log_event(
                EventCode.ENDPOINT_SLOW,
                endpoint=endpoint_id,
                slow=endpoint_id in slow_ids,
                factor=round(self._slowdown_by_id.get(endpoint_id, 1.0), 2),
                source="here" if endpoint_id in self._own_by_id else "told",
            )
        self._slow_ids = slow_ids
