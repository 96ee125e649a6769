"""Liveness of endpoints, based on their announcements."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lagoonwing_catalog.messages import AnnouncementReport, MarkEndpointLost
from lagoonwing_catalog.models import EndpointRecord, EndpointState
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_registry.const import LEADER_GRACE_S, MAX_MISSED_ANNOUNCEMENTS

_LIVE_STATES = frozenset({EndpointState.READY, EndpointState.DRAINING})


@dataclass(frozen=True, slots=True)
class _LastAnnouncement:
    """Last announcement of an endpoint."""

    started_ms: int
    sequence: int
    received_at: float


class Liveness:
    """Tracks announcements received here and, on the leader, by other replicas."""

    def __init__(self, announce_interval_s: float) -> None:
        self._lost_after_s = announce_interval_s * MAX_MISSED_ANNOUNCEMENTS
        self._announcement_by_id: dict[EndpointId, _LastAnnouncement] = {}
        self._unreported: dict[EndpointId, tuple[int, int]] = {}
        self._leading_since: float | None = None

    @callback
    def record_announcement(
        self, endpoint_id: EndpointId, started_ms: int, sequence: int, now: float
    ) -> None:
        """Record an announcement received by this replica."""
        self._store_if_newer(endpoint_id, started_ms, sequence, now)
        self._unreported[endpoint_id] = (started_ms, sequence)

    @callback
    def record_remote(self, message: AnnouncementReport, now: float) -> None:
        """Record announcements received by another replica."""
        for endpoint_id, (started_ms, sequence) in message.sequence_by_id.items():
            self._store_if_newer(endpoint_id, started_ms, sequence, now)

    @callback
    def take_report(self) -> AnnouncementReport | None:
        """Return the announcements since the last call, or None if there were none."""
        if not self._unreported:
            return None
        message = AnnouncementReport(self._unreported)
        self._unreported = {}
        return message

    @callback
    def set_leading_since(self, now: float | None) -> None:
        """Set when this replica became the leader; None if it isn't."""
        self._leading_since = now

    def find_lost(
        self, records: Iterable[EndpointRecord], now: float
    ) -> tuple[MarkEndpointLost, ...]:
        """Return commands for lost endpoints; empty unless leading for the grace period."""
        since = self._leading_since
        if since is None or now < since + LEADER_GRACE_S:
            return ()
        return tuple(
            MarkEndpointLost(record.endpoint_id, record.started_ms, self._sequence(record))
            for record in records
            if record.state in _LIVE_STATES and self._is_expired(record, now, since)
        )

    def _store_if_newer(
        self, endpoint_id: EndpointId, started_ms: int, sequence: int, now: float
    ) -> None:
        """Store an announcement if it is newer than the last one."""
        announcement = self._announcement_by_id.get(endpoint_id)
        if announcement is not None and (announcement.started_ms, announcement.sequence) >= (
            started_ms,
            sequence,
        ):
            return
        self._announcement_by_id[endpoint_id] = _LastAnnouncement(started_ms, sequence, now)

    def _is_expired(self, record: EndpointRecord, now: float, since: float) -> bool:
        """Return whether an endpoint has missed too many announcements."""
        announcement = self._announcement_by_id.get(record.endpoint_id)
        received_at = since if announcement is None else max(announcement.received_at, since)
        return now > received_at + self._lost_after_s

    def _sequence(self, record: EndpointRecord) -> int:
        """Return the sequence number of an endpoint's last announcement."""
        announcement = self._announcement_by_id.get(record.endpoint_id)
        if announcement is None or announcement.started_ms != record.started_ms:
            return record.sequence
        return max(announcement.sequence, record.sequence)
