"""Pauses of one stream, compared with those that its path and the load on it explain."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import Accelerator, Engine
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import PACE_SILENCE_FACTOR, PACE_WINDOW_S
from lagoonwing_placement import PREFILL_CHUNK_TOKENS, prefill_ms, step_ms

NO_LOAD = EndpointLoad(0, 0, 0)


@dataclass(frozen=True, slots=True)
class PacedSegment:
    """Layers that an endpoint runs for a stream.

    Attributes:
        layer_count: Number of these layers.
        held_layers: Number of layers that the endpoint holds.
    """

    endpoint_id: EndpointId
    engine: Engine
    accelerator: Accelerator
    layer_count: int
    held_layers: int

    def expected_pass_ms(self, load: EndpointLoad) -> float:
        """Return the duration of a pass under a load, with the prefill of other requests."""
        decode_ms = self.engine.steps_per_pass * step_ms(
            self.engine,
            self.accelerator,
            self.layer_count,
            max(1, load.sequences),
            load.kv_token_layers / max(1, self.held_layers),
        )
        if not load.prefill_ms:
            return decode_ms
        chunk_ms = prefill_ms(self.engine, self.accelerator, PREFILL_CHUNK_TOKENS, self.held_layers)
        return decode_ms + min(load.prefill_ms, chunk_ms)


@dataclass(frozen=True, slots=True)
class PaceSample:
    """Mean pause of a stream over a short time.

    Attributes:
        taken_at: Time of the sample.
        expected_s: Pause that the path and the load on it explain.
        ratio: The mean pause over the expected one.
        shares: Endpoints of the path with their shares of the expected pause.
    """

    taken_at: float
    expected_s: float
    ratio: float
    shares: tuple[tuple[EndpointId, float], ...]


class PacedStream:
    """Sums up the pauses of a stream between two samples.

    Attributes:
        sample: Latest sample, if any.
    """

    __slots__ = ("_events", "_pauses_s", "_segments", "_window_from", "last_event_at", "sample")

    def __init__(self, segments: tuple[PacedSegment, ...]) -> None:
        self.last_event_at: float | None = None
        self.sample: PaceSample | None = None
        self._segments = segments
        self._events = 0
        self._pauses_s = 0.0
        self._window_from = 0.0

    @callback
    def record_events(self, count: int, now: float) -> None:
        """Record events that arrived together; the time since the last ones is shared by them."""
        if self.last_event_at is None:
            self._window_from = now
        else:
            self._events += count
            self._pauses_s += now - self.last_event_at
        self.last_event_at = now

    @callback
    def restart(self) -> None:
        """Discard what was observed."""
        self.last_event_at = None
        self.sample = None
        self._events = 0
        self._pauses_s = 0.0

    def take_sample(
        self, now: float, load_by_id: Mapping[EndpointId, EndpointLoad]
    ) -> PaceSample | None:
        """Return a sample if enough has been observed since the last one."""
        if self.last_event_at is None or not self._segments:
            return None
        silence_s = now - self.last_event_at
        if now - self._window_from < PACE_WINDOW_S or not (self._events or silence_s):
            return None
        pass_ms = [
            segment.expected_pass_ms(load_by_id.get(segment.endpoint_id, NO_LOAD))
            for segment in self._segments
        ]
        expected_s = sum(pass_ms) / 1_000
        if expected_s <= 0.0:
            return None
        pause_s = self._mean_pause_s(silence_s, expected_s)
        if pause_s is None:
            return None
        shares = tuple(
            (segment.endpoint_id, each_ms / 1_000 / expected_s)
            for segment, each_ms in zip(self._segments, pass_ms, strict=True)
        )
        self.sample = PaceSample(now, expected_s, pause_s / expected_s, shares)
        if self._events:
            self._events, self._pauses_s, self._window_from = 0, 0.0, self.last_event_at
        return self.sample

    def _mean_pause_s(self, silence_s: float, expected_s: float) -> float | None:
        """Return the mean pause; a pause in progress counts if it is long already."""
        if silence_s > PACE_SILENCE_FACTOR * expected_s:
            return (self._pauses_s + silence_s) / (self._events + 1)
        return self._pauses_s / self._events if self._events else None
