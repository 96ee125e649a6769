"""What a leader knows in its term of the entry hosts that follow it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lagoonwing_control._stops import EntryView
from lagoonwing_core.ids import HostId, Incarnation, Revision, StopId
from lagoonwing_wire.control_messages import Contact, EndpointSummary


@dataclass(slots=True)
class EntryRecord:
    """Last contact of one entry host."""

    incarnation: Incarnation
    heard: float
    applied: Revision = Revision(0)
    in_flight_by_stop: dict[StopId, int] = field(default_factory=dict)
    endpoints: tuple[EndpointSummary, ...] = ()


class EntryTable:
    """Contacts by entry host, counted from the start of the leader's term."""

    def __init__(self) -> None:
        self.record_by_host: dict[HostId, EntryRecord] = {}

    def start_term(self, incarnation_by_entry: Mapping[HostId, Incarnation], now: float) -> None:
        """Start from the registered entry hosts; each counts as just heard."""
        self.record_by_host = {
            host_id: EntryRecord(incarnation, now)
            for host_id, incarnation in incarnation_by_entry.items()
        }

    def restart_timers(self, now: float) -> None:
        """Count every entry host as just heard."""
        for record in self.record_by_host.values():
            record.heard = now

    def contact(self, host_id: HostId, message: Contact, now: float) -> None:
        """Note a contact; one of an older incarnation is ignored."""
        record = self.record_by_host.get(host_id)
        if record is None or record.incarnation < message.incarnation:
            record = EntryRecord(message.incarnation, now)
            self.record_by_host[host_id] = record
        if record.incarnation > message.incarnation:
            return
        record.heard = now
        record.applied = max(record.applied, message.applied)
        record.in_flight_by_stop = dict(message.in_flight_by_stop)
        if message.endpoints is not None:
            record.endpoints = message.endpoints

    def forget(self, host_id: HostId) -> None:
        """Drop an entry host."""
        self.record_by_host.pop(host_id, None)

    def silent(self, now: float, hold_s: float) -> list[tuple[HostId, Incarnation]]:
        """Return the entry hosts that are silent for longer than `hold_s`."""
        return [
            (host_id, record.incarnation)
            for host_id, record in self.record_by_host.items()
            if now - record.heard > hold_s
        ]

    def views(self, lost_hosts: Iterable[HostId], now: float) -> list[EntryView]:
        """Return what the planned stops' check needs."""
        lost = set(lost_hosts)
        return [
            EntryView(
                silence=now - record.heard,
                applied=record.applied,
                in_flight_by_stop=record.in_flight_by_stop,
                declared_lost=host_id in lost,
            )
            for host_id, record in self.record_by_host.items()
        ]

    def endpoints(self) -> list[EndpointSummary]:
        """Return the endpoints that any entry host reported."""
        by_id = {
            endpoint.endpoint_id: endpoint
            for record in self.record_by_host.values()
            for endpoint in record.endpoints
        }
        return list(by_id.values())
