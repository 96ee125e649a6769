"""Entry hosts that follow the leader, tracked for the duration of its term."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lagoonwing_control._stops import EntryHostView
from lagoonwing_core.ids import HostId, Incarnation, Revision, StopId
from lagoonwing_wire.control_messages import Contact, EndpointSummary


@dataclass(slots=True)
class EntryHostRecord:
    """State of one entry host as of its last contact."""

    incarnation: Incarnation
    last_contact: float
    applied: Revision = Revision(0)
    in_flight_by_stop: dict[StopId, int] = field(default_factory=dict)
    endpoints: tuple[EndpointSummary, ...] = ()


class EntryHostTable:
    """Entry hosts by id, tracked from the start of the leader's term."""

    def __init__(self) -> None:
        self.record_by_host: dict[HostId, EntryHostRecord] = {}

    def start_term(self, incarnation_by_entry: Mapping[HostId, Incarnation], now: float) -> None:
        """Reset to the registered entry hosts; treat each as just contacted."""
        self.record_by_host = {
            host_id: EntryHostRecord(incarnation, now)
            for host_id, incarnation in incarnation_by_entry.items()
        }

    def restart_timers(self, now: float) -> None:
        """Treat every entry host as just contacted."""
        for record in self.record_by_host.values():
            record.last_contact = now

    def record_contact(self, host_id: HostId, message: Contact, now: float) -> None:
        """Record a contact; ignore one from an older incarnation."""
        record = self.record_by_host.get(host_id)
        if record is None or record.incarnation < message.incarnation:
            record = EntryHostRecord(message.incarnation, now)
            self.record_by_host[host_id] = record
        if record.incarnation > message.incarnation:
            return
        record.last_contact = now
        record.applied = max(record.applied, message.applied)
        record.in_flight_by_stop = dict(message.in_flight_by_stop)
        if message.endpoints is not None:
            record.endpoints = message.endpoints

    def forget(self, host_id: HostId) -> None:
        """Remove an entry host."""
        self.record_by_host.pop(host_id, None)

    def silent_longer_than(self, now: float, timeout_s: float) -> list[tuple[HostId, Incarnation]]:
        """Return the entry hosts without contact for longer than `timeout_s`."""
        return [
            (host_id, record.incarnation)
            for host_id, record in self.record_by_host.items()
            if now - record.last_contact > timeout_s
        ]

    def views(self, lost_hosts: Iterable[HostId], now: float) -> list[EntryHostView]:
        """Return the entry hosts' state for the check of planned stops."""
        lost = set(lost_hosts)
        return [
            EntryHostView(
                contact_age_s=now - record.last_contact,
                applied=record.applied,
                in_flight_by_stop=record.in_flight_by_stop,
                declared_lost=host_id in lost,
            )
            for host_id, record in self.record_by_host.items()
        ]

    def endpoints(self) -> list[EndpointSummary]:
        """Return the endpoints reported by any entry host, one per id."""
        by_id = {
            endpoint.endpoint_id: endpoint
            for record in self.record_by_host.values()
            for endpoint in record.endpoints
        }
        return list(by_id.values())
