"""Endpoints that failed recently and temporarily get no requests."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._failure_rates import FailureRates
from lagoonwing_gateway.const import (
    AVOIDANCE_S,
    FAILED_REQUEST_AVOIDANCE_S,
    FAILURE_WINDOW_S,
    MAX_CONSECUTIVE_FAILURES,
    MAX_SUSPICION_S,
    MIN_SUSPICION_S,
    RECENT_SUCCESS_S,
    SUSPICION_RESET_S,
)
from lagoonwing_gateway.models import FailureEvidence, RequestFailure


@dataclass(slots=True)
class _Suspicion:
    """Current or most recent suspicion of one endpoint.

    Attributes:
        until: Time from which the endpoint may get requests again.
        duration_s: Duration of the suspicion.
        evidence: What showed that the endpoint failed.
        is_last_resort: Whether the endpoint may be used if nothing else holds its layers.
    """

    until: float
    duration_s: float
    failed_at: float
    evidence: FailureEvidence
    is_last_resort: bool


class SuspicionTracker:
    """Tracks failures and progress by endpoint."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspicion_by_id: dict[EndpointId, _Suspicion] = {}
        self._avoided_until_by_id: dict[EndpointId, float] = {}
        self._progress_at_by_id: dict[EndpointId, float] = {}
        self._failures_by_id: dict[EndpointId, int] = {}
        self._rates = FailureRates()
        self._on_failure: Callable[[EndpointId, FailureEvidence], None] = _ignore_failure

    @callback
    def set_failure_listener(self, listener: Callable[[EndpointId, FailureEvidence], None]) -> None:
        """Set the callback for each failed connection or request."""
        self._on_failure = listener

    @callback
    def record_progress(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Record that endpoints have just made progress."""
        now = self._clock.now()
        for endpoint_id in endpoint_ids:
            self._progress_at_by_id[endpoint_id] = now
            self._failures_by_id.pop(endpoint_id, None)
            self._rates.discard_silences(endpoint_id)
            suspicion = self._suspicion_by_id.get(endpoint_id)
            if suspicion is not None and suspicion.evidence is FailureEvidence.SILENT:
                # It was only silent; the next suspicion is a first one again.
                del self._suspicion_by_id[endpoint_id]

    @callback
    def record_failure(
        self,
        endpoint_id: EndpointId,
        reason: str,
        evidence: FailureEvidence,
        *,
        is_last_resort: bool = False,
    ) -> None:
        """Suspect an endpoint; the duration doubles with each repeated failure."""
        self._on_failure(endpoint_id, evidence)
        now = self._clock.now()
        suspicion = self._suspicion_by_id.get(endpoint_id)
        duration_s = MIN_SUSPICION_S
        if suspicion is not None and now < suspicion.until:
            return
        if suspicion is not None and now < suspicion.failed_at + SUSPICION_RESET_S:
            duration_s = min(2 * suspicion.duration_s, MAX_SUSPICION_S)
        self._suspicion_by_id[endpoint_id] = _Suspicion(
            now + duration_s, duration_s, now, evidence, is_last_resort
        )
        log_event(
            EventCode.ENDPOINT_SUSPECTED,
            endpoint=endpoint_id,
            reason=reason,
            evidence=evidence.value,
            seconds=duration_s,
        )

    @callback
    def forget_failures(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Forget that endpoints did not answer, since none could be reached at that time."""
        for endpoint_id in endpoint_ids:
            self._failures_by_id.pop(endpoint_id, None)
            self._rates.discard_unanswered(endpoint_id)
            suspicion = self._suspicion_by_id.get(endpoint_id)
            if suspicion is not None and suspicion.evidence is not FailureEvidence.RESPONSE:
                del self._suspicion_by_id[endpoint_id]

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
    def record_failed_request(
        self, endpoint_id: EndpointId, reason: str, evidence: FailureEvidence
    ) -> None:
        """Record a request that failed; suspect an endpoint that fails too many of them."""
        self._on_failure(endpoint_id, evidence)
        self._rates.record_failure(endpoint_id, evidence, self._clock.now())
        self._suspect_if_failing(endpoint_id, reason, evidence)

    @callback
    def record_served_elsewhere(self, failures: Iterable[RequestFailure]) -> None:
        """Record that a request was served after other endpoints had failed it."""
        now = self._clock.now()
        for failure in failures:
            endpoint_id, evidence = failure.endpoint_id, failure.evidence
            self._rates.record_served_elsewhere(endpoint_id, evidence, now)
            self._suspect_if_failing(endpoint_id, failure.reason, evidence)

    @callback
    def record_served(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Record that endpoints answered a request."""
        now = self._clock.now()
        for endpoint_id in endpoint_ids:
            self._rates.record_success(endpoint_id, now)

    def _suspect_if_failing(
        self, endpoint_id: EndpointId, reason: str, evidence: FailureEvidence
    ) -> None:
        """Suspect an endpoint if it fails too many requests."""
        if self._rates.is_failing(endpoint_id, self._clock.now()):
            self.record_failure(endpoint_id, reason, evidence, is_last_resort=True)

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

    def has_served_recently(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint has answered lately and not failed since."""
        served_at = self._rates.served_at(endpoint_id)
        is_recent = self._clock.now() <= served_at + RECENT_SUCCESS_S
        return is_recent and self._rates.failed_at(endpoint_id) < served_at

    def has_failed_last(self, endpoint_id: EndpointId) -> bool | None:
        """Return whether the last request to an endpoint failed; None if none is known lately."""
        failed_at = self._rates.failed_at(endpoint_id)
        served_at = self._rates.served_at(endpoint_id)
        if max(failed_at, served_at) < self._clock.now() - FAILURE_WINDOW_S:
            return None
        return failed_at > served_at

    def has_refused(self, endpoint_ids: Iterable[EndpointId]) -> bool:
        """Return whether an endpoint is suspected because it refused a connection."""
        now = self._clock.now()
        suspicions = (self._suspicion_by_id.get(endpoint_id) for endpoint_id in endpoint_ids)
        return any(
            suspicion.evidence is FailureEvidence.REFUSED and now < suspicion.until
            for suspicion in suspicions
            if suspicion is not None
        )

    def has_failed_since(self, endpoint_id: EndpointId, since: float) -> bool:
        """Return whether an endpoint failed a request after a point in time."""
        return self._rates.failed_at(endpoint_id) > since

    def is_last_resort(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint may be used if nothing else holds its layers."""
        now = self._clock.now()
        suspicion = self._suspicion_by_id.get(endpoint_id)
        if suspicion is not None and now < suspicion.until and not suspicion.is_last_resort:
            return False
        return now >= self._avoided_until_by_id.get(endpoint_id, 0.0)

    def is_usable(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint may get requests."""
        now = self._clock.now()
        suspicion = self._suspicion_by_id.get(endpoint_id)
        if suspicion is not None and now < suspicion.until:
            return False
        if self.has_failed_since(endpoint_id, now - FAILED_REQUEST_AVOIDANCE_S):
            return False
        return now >= self._avoided_until_by_id.get(endpoint_id, 0.0)

    @callback
    def retain_only(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Discard the state of all other endpoints."""
        retained = set(endpoint_ids)
        self._rates.retain_only(retained)
        tables: tuple[dict[EndpointId, Any], ...] = (
            self._suspicion_by_id,
            self._avoided_until_by_id,
            self._progress_at_by_id,
            self._failures_by_id,
        )
        for table in tables:
            for endpoint_id in table.keys() - retained:
                del table[endpoint_id]


def _ignore_failure(endpoint_id: EndpointId, evidence: FailureEvidence) -> None:
    """Ignore failures until somebody wants to know of them."""
