"""Who has been heard lately, and who counts as lost."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lagoonwing_catalog.messages import AnnouncementReport, MarkEndpointLost
from lagoonwing_catalog.models import EndpointRecord, EndpointState
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_registry.const import LEADER_GRACE_S, MISSED_ANNOUNCEMENTS

_LIVE_STATES = frozenset({EndpointState.READY, EndpointState.DRAINING})


@dataclass(frozen=True, slots=True)
class _Sign:
    """Last sign of life of an endpoint."""

    started_ms: int
    sequence: int
    heard_at: float


class Liveness:
    """Signs of life of endpoints: those told here, and on the leader those told elsewhere."""

    def __init__(self, announce_interval_s: float) -> None:
        self._lost_after_s = announce_interval_s * MISSED_ANNOUNCEMENTS
        self._sign_by_id: dict[EndpointId, _Sign] = {}
        self._news: dict[EndpointId, tuple[int, int]] = {}
        self._leading_since: float | None = None

    @callback
    def heard(self, endpoint_id: EndpointId, started_ms: int, sequence: int, now: float) -> None:
        """Note an announcement made at this replica."""
        self._note(endpoint_id, started_ms, sequence, now)
        self._news[endpoint_id] = (started_ms, sequence)

    @callback
    def heard_elsewhere(self, message: AnnouncementReport, now: float) -> None:
        """Note announcements made at another replica."""
        for endpoint_id, (started_ms, sequence) in message.sequence_by_id.items():
            self._note(endpoint_id, started_ms, sequence, now)

    @callback
    def take_news(self) -> AnnouncementReport | None:
        """Return the announcements since the last call, if there were any."""
        if not self._news:
            return None
        message = AnnouncementReport(self._news)
        self._news = {}
        return message

    @callback
    def lead(self, now: float | None) -> None:
        """Begin to judge who is lost, or cease to."""
        self._leading_since = now

    def lost(self, records: Iterable[EndpointRecord], now: float) -> tuple[MarkEndpointLost, ...]:
        """Return the endpoints that have fallen silent; only a leader of some time can tell."""
        since = self._leading_since
        if since is None or now < since + LEADER_GRACE_S:
            return ()
        return tuple(
            MarkEndpointLost(record.endpoint_id, record.started_ms, self._sequence(record))
            for record in records
            if record.state in _LIVE_STATES and self._is_silent(record, now, since)
        )

    def _note(self, endpoint_id: EndpointId, started_ms: int, sequence: int, now: float) -> None:
        """Keep the newest sign of life."""
        known = self._sign_by_id.get(endpoint_id)
        if known is not None and (known.started_ms, known.sequence) >= (started_ms, sequence):
            return
        self._sign_by_id[endpoint_id] = _Sign(started_ms, sequence, now)

    def _is_silent(self, record: EndpointRecord, now: float, since: float) -> bool:
        """Return whether an endpoint has missed too many announcements."""
        sign = self._sign_by_id.get(record.endpoint_id)
        heard_at = since if sign is None else max(sign.heard_at, since)
        return now > heard_at + self._lost_after_s

    def _sequence(self, record: EndpointRecord) -> int:
        """Return the number of an endpoint's last announcement."""
        sign = self._sign_by_id.get(record.endpoint_id)
        if sign is None or sign.started_ms != record.started_ms:
            return record.sequence
        return max(sign.sequence, record.sequence)
