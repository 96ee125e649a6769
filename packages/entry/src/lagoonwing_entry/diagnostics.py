"""Metrics of the entry host."""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_policy.models import AttemptFailed

FIRST_TOKEN_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.81, 1.0, 2.5, 5.0, 10.0)


class EntryMetrics:
    """Counters, histograms and gauges in a dedicated registry."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.relayed_tokens = 0
        self._requests = Counter(
            "lagoonwing_requests_total",
            "Requests by member, outcome and result code.",
            registry=self.registry,
        )
        self._failures = Counter(
            "lagoonwing_attempt_failures_total",
            "Failed attempts by how far they came.",
            registry=self.registry,
        )
        self._first_token = Histogram(
            "lagoonwing_first_token_seconds",
            "Time from a request's arrival to its first token.",
            registry=self.registry,
            buckets=FIRST_TOKEN_BUCKETS_S,
        )
        self._gauge = Gauge(
            "lagoonwing_entry", "State of the entry host by name.", registry=self.registry
        )

    def request_finished(self, member_id: str, outcome: Outcome, code: ResultCode) -> None:
        """Count a finished request."""
        labels = {"member": member_id, "outcome": outcome.value, "code": str(code.value)}
        self._requests.inc(labels)

    def attempt_failed(self, failed: AttemptFailed) -> None:
        """Count a failed attempt."""
        labels = {"dispatch": failed.dispatch.value, "code": str(failed.refusal.code.value)}
        self._failures.inc(labels)

    def first_token(self, seconds: float) -> None:
        """Record the time to first token of a request."""
        self._first_token.observe({}, seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge for one value of the host's state."""
        self._gauge.set({"name": name}, value)

    def render(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics exposition and its HTTP headers."""
        self.set_gauge("tokens_relayed", self.relayed_tokens)
        return render(self.registry, accepts)
