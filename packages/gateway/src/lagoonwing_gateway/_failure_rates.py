"""Recent failures and successes of endpoints, and which of them fail too often."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import (
    FAILING_SHARE,
    FAILURE_BURST_S,
    FAILURE_WEIGHT,
    FAILURE_WINDOW_S,
    MAX_FAILURE_SAMPLES,
    MIN_FAILURE_WEIGHT,
    SERVED_ELSEWHERE_WEIGHT,
)
from lagoonwing_gateway.models import FailureEvidence


@dataclass(frozen=True, slots=True)
class _Sample:
    """A failure, the proof that a request was not its cause, or a success.

    Attributes:
        evidence: What showed the failure; None for a success.
    """

    at: float
    weight: float
    evidence: FailureEvidence | None


@dataclass(slots=True)
class _History:
    """Samples of one endpoint, oldest first.

    Attributes:
        is_unproven: Whether no request of the last failure has been served elsewhere yet.
    """

    samples: deque[_Sample] = field(default_factory=lambda: deque(maxlen=MAX_FAILURE_SAMPLES))
    failed_at: float = -math.inf
    served_at: float = -math.inf
    is_unproven: bool = False
    has_silence: bool = False


class FailureRates:
    """Share of failed requests by endpoint in a sliding window.

    A failure counts half until the same request has been served elsewhere: a request that fails
    everywhere says little about the endpoints.
    """

    def __init__(self) -> None:
        self._history_by_id: dict[EndpointId, _History] = {}

    @callback
    def record_failure(
        self, endpoint_id: EndpointId, evidence: FailureEvidence, now: float
    ) -> None:
        """Add a failed request, unless it belongs to the failures before it."""
        history = self._history(endpoint_id)
        if now < history.failed_at + FAILURE_BURST_S:
            return
        history.samples.append(_Sample(now, FAILURE_WEIGHT, evidence))
        history.failed_at = now
        history.is_unproven = True
        history.has_silence |= evidence is FailureEvidence.SILENT

    @callback
    def record_served_elsewhere(
        self, endpoint_id: EndpointId, evidence: FailureEvidence, now: float
    ) -> None:
        """Add the proof that a request that an endpoint failed was not the cause."""
        history = self._history(endpoint_id)
        if history.is_unproven:
            history.is_unproven = False
            history.samples.append(_Sample(now, SERVED_ELSEWHERE_WEIGHT, evidence))

    @callback
    def record_success(self, endpoint_id: EndpointId, now: float) -> None:
        """Add a request that was answered."""
        history = self._history(endpoint_id)
        history.samples.append(_Sample(now, 1.0, None))
        history.served_at = now

    @callback
    def discard_silences(self, endpoint_id: EndpointId) -> None:
        """Discard the failures of an endpoint that was only silent and goes on."""
        history = self._history_by_id.get(endpoint_id)
        if history is not None and history.has_silence:
            _discard(history, frozenset({FailureEvidence.SILENT}))

    @callback
    def discard_unanswered(self, endpoint_id: EndpointId) -> None:
        """Discard the failures of an endpoint that gave no response, as it could not be reached."""
        history = self._history_by_id.get(endpoint_id)
        if history is not None:
            _discard(history, frozenset(FailureEvidence) - {FailureEvidence.RESPONSE})

    def is_failing(self, endpoint_id: EndpointId, now: float) -> bool:
        """Return whether an endpoint fails so often that it should be avoided."""
        history = self._history_by_id.get(endpoint_id)
        if history is None:
            return False
        samples = history.samples
        while samples and samples[0].at < now - FAILURE_WINDOW_S:
            samples.popleft()
        total = sum(sample.weight for sample in samples)
        failures = sum(sample.weight for sample in samples if sample.evidence is not None)
        return failures >= MIN_FAILURE_WEIGHT and failures >= FAILING_SHARE * total

    def failed_at(self, endpoint_id: EndpointId) -> float:
        """Return the time of the last failure; minus infinity if none is known."""
        history = self._history_by_id.get(endpoint_id)
        return -math.inf if history is None else history.failed_at

    def served_at(self, endpoint_id: EndpointId) -> float:
        """Return the time of the last success; minus infinity if none is known."""
        history = self._history_by_id.get(endpoint_id)
        return -math.inf if history is None else history.served_at

    @callback
    def retain_only(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Discard the samples of all other endpoints."""
        for endpoint_id in self._history_by_id.keys() - set(endpoint_ids):
            del self._history_by_id[endpoint_id]

    def _history(self, endpoint_id: EndpointId) -> _History:
        """Return the history of an endpoint; an empty one is created."""
        return self._history_by_id.setdefault(endpoint_id, _History())


def _discard(history: _History, evidences: frozenset[FailureEvidence]) -> None:
    """Discard the failures with some evidence."""
    kept = [item for item in history.samples if item.evidence not in evidences]
    history.samples = deque(kept, maxlen=MAX_FAILURE_SAMPLES)
    failed_at = (item.at for item in reversed(kept) if item.evidence is not None)
    history.failed_at = next(failed_at, -math.inf)
    history.is_unproven = False
    history.has_silence = False
