"""Readiness and metrics of a control replica."""

from __future__ import annotations

from aioprometheus.collectors import Gauge, Registry

from lagoonwing_control._components import ReplicaComponents
from lagoonwing_control._status import knows_leader, voter_margin
from lagoonwing_control.settings import ControlSettings
from lagoonwing_core.clock import Clock


class ControlMetrics:
    """Gauges of one replica, computed on each scrape."""

    def __init__(
        self, settings: ControlSettings, components: ReplicaComponents, clock: Clock
    ) -> None:
        self._host_id = settings.host_id
        self._components = components
        self._clock = clock

    def is_ready(self) -> bool:
        """Return whether this replica knows a leader, without which operator calls fail."""
        return knows_leader(self._components.log.status(), self._host_id)

    def why_not_ready(self) -> str | None:
        """Return why this replica can't serve operators, or `None` if it can."""
        return None if self.is_ready() else "no leader is known"

    def values(self) -> dict[str, float]:
        """Return the replica's gauges by name; only the leader reports the voter margin."""
        status = self._components.log.status()
        state = self._components.state_machine.state
        values = {
            "revision": float(state.revision),
            "term": float(status.term),
            "leads": float(status.is_lease_valid),
            "knows_leader": float(self.is_ready()),
            "commit_index": float(status.commit_index),
            "lag_entries": float(status.commit_index - status.applied_index),
            "watchers": float(self._components.watchers.count),
            "claims": float(len(state.claim_by_key)),
            "claim_bytes": float(state.claim_bytes),
            "change_ids": float(len(state.change_by_key)),
            "hosts_declared_lost": float(len(self._components.lost_hosts)),
        }
        if status.is_lease_valid:
            lost = self._components.lost_hosts
            values["voter_margin"] = float(voter_margin(status, self._host_id, lost))
        return values

    def collect(self) -> Registry:
        """Return the metrics with their current values."""
        # A new registry per scrape, so that leader-only metrics disappear when the term ends.
        registry = Registry()
        state = Gauge(
            "lagoonwing_control", "State of the control replica by name.", registry=registry
        )
        contact = Gauge(
            "lagoonwing_control_entry_contact_seconds",
            "Time since an entry host's last contact; known to the leader.",
            registry=registry,
        )
        for name, value in self.values().items():
            state.set({"name": name}, value)
        if self._components.leader.term() is not None:
            now = self._clock.now()
            for host_id, record in self._components.leader.entries.record_by_host.items():
                contact.set({"host": host_id}, now - record.last_contact)
        return registry
