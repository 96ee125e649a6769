"""Metrics of the registry."""

from __future__ import annotations

import math
from collections import Counter as Tally

from aioprometheus.collectors import Counter, Gauge, Registry

from lagoonwing_catalog import CatalogStateMachine
from lagoonwing_catalog.models import EndpointState
from lagoonwing_registry.ports import OrderOutcome
from lagoonwing_replication import RaftLog


class RegistryMetrics:
    """Metrics of the registry in a separate collector registry."""

    def __init__(self, state_machine: CatalogStateMachine, log: RaftLog) -> None:
        self.registry = Registry()
        self._state_machine = state_machine
        self._log = log
        self._orders = Counter(
            "lagoonwing_registry_orders_total",
            "Orders to engines by how they were taken.",
            registry=self.registry,
        )
        self._endpoints = Gauge(
            "lagoonwing_registry_endpoints", "Endpoints by state.", registry=self.registry
        )
        self._gauge = Gauge(
            "lagoonwing_registry", "State of the replica by name.", registry=self.registry
        )

    def count_order(self, outcome: OrderOutcome) -> None:
        """Count an order."""
        self._orders.inc({"outcome": outcome.value})

    def collect(self) -> Registry:
        """Return the metrics with current values."""
        state = self._state_machine.state
        count_by_state = Tally(record.state for record in state.endpoint_by_id.values())
        for endpoint_state in EndpointState:
            self._endpoints.set({"state": endpoint_state.value}, count_by_state[endpoint_state])
        status = self._log.status()
        age = self._log.staleness_s()
        values = {
            "revision": state.revision,
            "document_version": state.version or 0,
            "term": status.term,
            "leads": float(status.is_lease_valid),
            "voters": len(status.voters),
            "learners": len(status.learners),
            "current_age_seconds": -1.0 if math.isinf(age) else age,
        }
        for name, value in values.items():
            self._gauge.set({"name": name}, value)
        return self.registry
