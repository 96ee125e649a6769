"""Metrics of the gateway."""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry

from lagoonwing_gateway.models import ConnectionReason, GatewayRefusal
from lagoonwing_http import UnrequestedBytes

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 20.0)


class GatewayMetrics:
    """Metrics of the gateway in a separate registry."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._requests = Counter(
            "lagoonwing_gateway_requests_total",
            "Requests by route and by the result code of the gateway's own answers.",
            registry=self.registry,
        )
        self._seconds = Histogram(
            "lagoonwing_gateway_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._attempts = Counter(
            "lagoonwing_gateway_attempts_total",
            "Attempts at endpoints by how they ended.",
            registry=self.registry,
        )
        self._connections = Counter(
            "lagoonwing_gateway_connections_total",
            "Attempts to open a connection to an endpoint, by their reason.",
            registry=self.registry,
        )
        self._unrequested_bytes = Counter(
            "lagoonwing_gateway_unrequested_bytes_total",
            "Arrivals of bytes from endpoints that no request asked for, by their moment.",
            registry=self.registry,
        )
        self._first_event = Histogram(
            "lagoonwing_gateway_first_event_seconds",
            "Time from a stream's arrival to its first event.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._not_admitted = Counter(
            "lagoonwing_gateway_not_admitted_total",
            "Requests that were refused for lack of capacity, by reason.",
            registry=self.registry,
        )
        self._waited = Histogram(
            "lagoonwing_gateway_waited_seconds",
            "Time for which a request waited for capacity, if it did.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._handed_over = Counter(
            "lagoonwing_gateway_handed_over_total",
            "Requests that were sent to another gateway, since no endpoint of theirs answers here.",
            registry=self.registry,
        )
        self._handovers_ended = Counter(
            "lagoonwing_gateway_handovers_ended_total",
            "Requests that were sent to another gateway, by how that ended.",
            registry=self.registry,
        )
        self._gauge = Gauge(
            "lagoonwing_gateway", "State of the gateway by name.", registry=self.registry
        )

    def request_ended(
        self, route_id: str | None, refusal: GatewayRefusal | None, seconds: float
    ) -> None:
        """Count a finished request."""
        code = "relayed" if refusal is None else str(refusal.code.value)
        self._requests.inc({"route": route_id or "", "code": code})
        self._seconds.observe({}, seconds)

    def attempt_ended(self, outcome: str) -> None:
        """Count a finished attempt at an endpoint."""
        self._attempts.inc({"outcome": outcome})

    def connection_opened(self, reason: ConnectionReason) -> None:
        """Count an attempt to open a connection to an endpoint."""
        self._connections.inc({"reason": reason.value})

    def unrequested_bytes(self, arrival: UnrequestedBytes) -> None:
        """Count bytes from an endpoint that no request asked for."""
        self._unrequested_bytes.inc({"moment": arrival.moment.value})

    def first_event(self, seconds: float) -> None:
        """Record the time to a stream's first event."""
        self._first_event.observe({}, seconds)

    def not_admitted(self, reason: str) -> None:
        """Count a request that was refused for lack of capacity."""
        self._not_admitted.inc({"reason": reason})

    def waited(self, seconds: float) -> None:
        """Record how long a request waited for capacity."""
        self._waited.observe({}, seconds)

    def handed_over(self) -> None:
        """Count a request that is sent to another gateway."""
        self._handed_over.inc({})

    def handover_ended(self, outcome: str) -> None:
        """Count the end of an exchange with another gateway."""
        self._handovers_ended.inc({"outcome": outcome})

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge of the gateway's state."""
        self._gauge.set({"name": name}, value)
