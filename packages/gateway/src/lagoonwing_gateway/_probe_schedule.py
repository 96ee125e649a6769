"""Decides which endpoints of silent streams are probed, and when."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway.const import (
    INITIAL_PAUSE_S,
    MAX_PROBE_SILENCE_S,
    MIN_PROBE_INTERVAL_S,
    PAUSE_SMOOTHING,
    PROBE_SILENCE_PAUSES,
    PROBE_SILENCE_S,
)
from lagoonwing_gateway.models import FailureEvidence


@dataclass(eq=False, slots=True)
class WatchedStream:
    """An active stream.

    Attributes:
        interrupt: Called with an endpoint that seems to be down, and what shows it.
        silence_allowed_until: Time until which no events are expected because of prefill.
        usual_pause_s: Moving average of the pauses between its events; None before the first one.
        has_events: Whether an event has arrived.
    """

    endpoint_ids: tuple[EndpointId, ...]
    interrupt: Callable[[EndpointRecord, FailureEvidence], None]
    silence_allowed_until: float
    last_event_at: float
    usual_pause_s: float | None = None
    has_events: bool = False

    @callback
    def record_event(self, now: float) -> None:
        """Record that an event has arrived; the wait for the first one is no pause."""
        if self.has_events:
            pause_s = min(now - self.last_event_at, MAX_PROBE_SILENCE_S)
            average_s = pause_s if self.usual_pause_s is None else self.usual_pause_s
            self.usual_pause_s = average_s + PAUSE_SMOOTHING * (pause_s - average_s)
        self.has_events = True
        self.last_event_at = now

    @property
    def normal_silence_s(self) -> float:
        """Time without an event that is normal for this path."""
        if not self.has_events:
            return PROBE_SILENCE_S
        usual_s = INITIAL_PAUSE_S if self.usual_pause_s is None else self.usual_pause_s
        return min(MAX_PROBE_SILENCE_S, max(PROBE_SILENCE_S, PROBE_SILENCE_PAUSES * usual_s))


class ProbeSchedule:
    """Limits probes to endpoints that may be the cause of an unusual silence."""

    def __init__(self, suspicions: SuspicionTracker) -> None:
        self._suspicions = suspicions
        # Endpoints that were probed within the minimum interval, the earliest first.
        self._probed_at_by_id: dict[EndpointId, float] = {}

    def __len__(self) -> int:
        """Return the number of endpoints that were probed lately."""
        return len(self._probed_at_by_id)

    def silent_ids(self, streams: Iterable[WatchedStream], now: float) -> set[EndpointId]:
        """Return the endpoints without recent progress on streams that should have some."""
        silent_ids: set[EndpointId] = set()
        for stream in streams:
            silence_s = stream.normal_silence_s
            if now < max(stream.silence_allowed_until, stream.last_event_at + silence_s):
                continue
            silent_ids.update(
                self._suspicions.without_progress_since(stream.endpoint_ids, now - silence_s)
            )
        return silent_ids

    @callback
    def try_begin(self, endpoint_id: EndpointId, now: float) -> bool:
        """Return whether an endpoint may be probed now; if so, it counts as probed."""
        self._discard_outdated(now)
        if endpoint_id in self._probed_at_by_id:
            return False
        self._probed_at_by_id[endpoint_id] = now
        return True

    def _discard_outdated(self, now: float) -> None:
        """Discard the endpoints that may be probed again."""
        while self._probed_at_by_id:
            earliest_id = next(iter(self._probed_at_by_id))
            if now < self._probed_at_by_id[earliest_id] + MIN_PROBE_INTERVAL_S:
                return
            del self._probed_at_by_id[earliest_id]
