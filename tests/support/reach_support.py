"""Stand-ins for what a gateway knows of its endpoints."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lagoonwing_catalog.messages import LoadSummary
from lagoonwing_catalog.models import EndpointRecord, EndpointState
from lagoonwing_core.ids import EndpointId, FailureDomainId, ServiceId


@dataclass
class CatalogStandIn:
    """Stands in for the catalog follower of a gateway."""

    endpoint_by_id: dict[EndpointId, EndpointRecord]
    routes: None = None
    summary: LoadSummary = field(default_factory=lambda: LoadSummary({}))

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Keep the listener for changes of the catalog."""
        self.on_change = listener

    def load_summary(self) -> LoadSummary:
        """Return the last load summary."""
        return self.summary


def make_endpoint(service_id: ServiceId, number: int, port: int) -> EndpointRecord:
    """Return the record of a ready endpoint of a service without layers."""
    return EndpointRecord(
        endpoint_id=EndpointId(f"{service_id}-{number}"),
        service_id=service_id,
        address="127.0.0.1",
        port=port,
        failure_domain=FailureDomainId(f"d-{number % 2}"),
        slots=8,
        state=EndpointState.READY,
        sequence=1,
        started_ms=1,
    )
