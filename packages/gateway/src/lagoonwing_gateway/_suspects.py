"""Endpoints that have failed lately and get no work for a while."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import (
    AVOID_S,
    MAX_SUSPECT_S,
    PLAIN_FAILURES,
    SUSPECT_MEMORY_S,
    SUSPECT_S,
)


@dataclass(slots=True)
class _Suspicion:
    """Failures of one endpoint.

    Attributes:
        until: When it may get work again.
        length_s: Length of the present suspicion.
    """

    until: float
    length_s: float
    failed_at: float


class Suspects:
    """Failures and signs of progress by endpoint."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspicion_by_id: dict[EndpointId, _Suspicion] = {}
        self._avoided_until_by_id: dict[EndpointId, float] = {}
        self._progress_at_by_id: dict[EndpointId, float] = {}
        self._failures_by_id: dict[EndpointId, int] = {}

    @callback
    def progressed(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Note that endpoints have just worked."""
        now = self._clock.now()
        for endpoint_id in endpoint_ids:
            self._progress_at_by_id[endpoint_id] = now
            self._failures_by_id.pop(endpoint_id, None)

    @callback
    def failed(self, endpoint_id: EndpointId, reason: str) -> None:
        """Suspect an endpoint; longer each time that it fails again."""
        now = self._clock.now()
        known = self._suspicion_by_id.get(endpoint_id)
        length_s = SUSPECT_S
        if known is not None and now < known.until:
            return
        if known is not None and now < known.failed_at + SUSPECT_MEMORY_S:
            length_s = min(2 * known.length_s, MAX_SUSPECT_S)
        self._suspicion_by_id[endpoint_id] = _Suspicion(now + length_s, length_s, now)
        log_event(
            EventCode.ENDPOINT_SUSPECTED, endpoint=endpoint_id, reason=reason, seconds=length_s
        )

    @callback
    def failed_softly(self, endpoint_id: EndpointId, reason: str) -> None:
        """Suspect an endpoint that fails several times in a row."""
        failures = self._failures_by_id.get(endpoint_id, 0) + 1
        self._failures_by_id[endpoint_id] = failures
        if failures >= PLAIN_FAILURES:
            self._failures_by_id[endpoint_id] = 0
            self.failed(endpoint_id, reason)

    @callback
    def avoid(self, endpoint_id: EndpointId) -> None:
        """Give an endpoint no work for a moment, for it had no room or not the layers."""
        self._avoided_until_by_id[endpoint_id] = self._clock.now() + AVOID_S

    def stalled(self, endpoint_ids: Iterable[EndpointId], since: float) -> tuple[EndpointId, ...]:
        """Return the endpoints that have shown no progress since a time."""
        return tuple(
            endpoint_id
            for endpoint_id in endpoint_ids
            if self._progress_at_by_id.get(endpoint_id, 0.0) <= since
        )

    def active(self) -> tuple[EndpointId, ...]:
        """Return the endpoints suspected now."""
        now = self._clock.now()
        return tuple(
            endpoint_id for endpoint_id, one in self._suspicion_by_id.items() if now < one.until
        )

    def is_usable(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint may get work."""
        now = self._clock.now()
        known = self._suspicion_by_id.get(endpoint_id)
        if known is not None and now < known.until:
            return False
        return now >= self._avoided_until_by_id.get(endpoint_id, 0.0)

    @callback
    def keep_only(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Forget endpoints that are gone."""
        kept = set(endpoint_ids)
        tables: tuple[dict[EndpointId, Any], ...] = (
            self._suspicion_by_id,
            self._avoided_until_by_id,
            self._progress_at_by_id,
            self._failures_by_id,
        )
        for table in tables:
            for endpoint_id in table.keys() - kept:
                del table[endpoint_id]
