"""Endpoints that failed recently and temporarily get no requests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import (
    AVOIDANCE_S,
    MAX_CONSECUTIVE_FAILURES,
    MAX_SUSPICION_S,
    MIN_SUSPICION_S,
    SUSPICION_RESET_S,
)
from lagoonwing_gateway.models import FailureEvidence


@dataclass(slots=True)
class _Suspicion:
    """Current or most recent suspicion of one endpoint.

    Attributes:
        until: Time from which the endpoint may get requests again.
        duration_s: Duration of the suspicion.
        evidence: What showed that the endpoint failed.
    """

    until: float
    duration_s: float
    failed_at: float
    evidence: FailureEvidence


class SuspicionTracker:
    """Tracks failures and progress by endpoint."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspicion_by_id: dict[EndpointId, _Suspicion] = {}
        self._avoided_until_by_id: dict[EndpointId, float] = {}
        self._progress_at_by_id: dict[EndpointId, float] = {}
        self._failures_by_id: dict[EndpointId, int] = {}

    @callback
    def record_progress(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Record that endpoints have just made progress."""
        now = self._clock.now()
        for endpoint_id in endpoint_ids:
            self._progress_at_by_id[endpoint_id] = now
            self._failures_by_id.pop(endpoint_id, None)
            suspicion = self._suspicion_by_id.get(endpoint_id)
            if suspicion is not None and suspicion.evidence is FailureEvidence.SILENT:
                # It was only silent; the next suspicion is a first one again.
                del self._suspicion_by_id[endpoint_id]

    @callback
    def record_failure(
        self, endpoint_id: EndpointId, reason: str, evidence: FailureEvidence
    ) -> None:
        """Suspect an endpoint; the duration doubles with each repeated failure."""
        now = self._clock.now()
        suspicion = self._suspicion_by_id.get(endpoint_id)
        duration_s = MIN_SUSPICION_S
        if suspicion is not None and now < suspicion.until:
            return
        if suspicion is not None and now < suspicion.failed_at + SUSPICION_RESET_S:
            duration_s = min(2 * suspicion.duration_s, MAX_SUSPICION_S)
        self._suspicion_by_id[endpoint_id] = _Suspicion(now + duration_s, duration_s, now, evidence)
        log_event(
            EventCode.ENDPOINT_SUSPECTED,
            endpoint=endpoint_id,
            reason=reason,
            evidence=evidence.value,
            seconds=duration_s,
        )

    @callback
    def record_soft_failure(
        self, endpoint_id: EndpointId, reason: str, evidence: FailureEvidence
    ) -> None:
        """Suspect an endpoint after several consecutive failures."""
        failure_count = self._failures_by_id.get(endpoint_id, 0) + 1
        self._failures_by_id[endpoint_id] = failure_count
        if failure_count >= MAX_CONSECUTIVE_FAILURES:
            self._failures_by_id[endpoint_id] = 0
            self.record_failure(endpoint_id, reason, evidence)

    @callback
    def avoid_briefly(self, endpoint_id: EndpointId) -> None:
        """Avoid an endpoint for a short time because it lacked memory or the requested layers."""
        self._avoided_until_by_id[endpoint_id] = self._clock.now() + AVOIDANCE_S

    def without_progress_since(
        self, endpoint_ids: Iterable[EndpointId], since: float
    ) -> tuple[EndpointId, ...]:
        """Return the endpoints without progress since a point in time."""
        return tuple(
            endpoint_id
            for endpoint_id in endpoint_ids
            if self._progress_at_by_id.get(endpoint_id, 0.0) <= since
        )

    def has_progress_since(self, endpoint_id: EndpointId, since: float) -> bool:
        """Return whether an endpoint made progress after a point in time."""
        return not self.without_progress_since((endpoint_id,), since)

    def suspected(self) -> tuple[EndpointId, ...]:
        """Return the currently suspected endpoints."""
        now = self._clock.now()
        return tuple(
            endpoint_id
            for endpoint_id, suspicion in self._suspicion_by_id.items()
            if now < suspicion.until
        )

    def is_usable(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint may get requests."""
        now = self._clock.now()
        suspicion = self._suspicion_by_id.get(endpoint_id)
        if suspicion is not None and now < suspicion.until:
            return False
        return now >= self._avoided_until_by_id.get(endpoint_id, 0.0)

    @callback
    def retain_only(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Discard the state of all other endpoints."""
        retained = set(endpoint_ids)
        tables: tuple[dict[EndpointId, Any], ...] = (
            self._suspicion_by_id,
            self._avoided_until_by_id,
            self._progress_at_by_id,
            self._failures_by_id,
        )
        for table in tables:
            for endpoint_id in table.keys() - retained:
                del table[endpoint_id]
