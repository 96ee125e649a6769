"""Table of endpoint records and the precedence rules of updates."""

from __future__ import annotations

import math
import zlib
from collections import deque
from collections.abc import Iterator

from expression import Error, Ok, Result

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import EndpointId
from lagoonwing_core.models import EndpointRecord, EndpointState
from lagoonwing_membership import const, errors
from lagoonwing_membership._entries import (
    EndpointEntry,
    MergeResult,
    content_checksum,
    encoded_size,
)
from lagoonwing_membership.models import (
    EndpointConflict,
    EndpointExpired,
    EndpointJoined,
    EndpointLeft,
    MembershipEvent,
    Renewal,
)


class EndpointTable:
    """Endpoint records by id; each expires unless it is renewed."""

    def __init__(self, record_ttl_s: float) -> None:
        self._ttl_s = record_ttl_s
        self.endpoint_by_id: dict[EndpointId, EndpointEntry] = {}
        self.events: deque[MembershipEvent] = deque(maxlen=const.MAX_EVENTS)

    def is_live(self, entry: EndpointEntry, now: float) -> bool:
        """Return whether an endpoint is eligible for new work."""
        return (
            not entry.left and entry.record is not None and now - entry.announced_at < self._ttl_s
        )

    def live(self, now: float) -> Iterator[EndpointEntry]:
        """Yield the endpoints that are eligible for new work."""
        return (entry for entry in self.endpoint_by_id.values() if self.is_live(entry, now))

    def checksum(self, now: float) -> int:
        """Return a checksum of the table that renewals do not change."""
        total = 0
        for entry in self.endpoint_by_id.values():
            if now - entry.announced_at >= const.DIGEST_MAX_AGE_S:
                continue
            is_live = self.is_live(entry, now)
            sequence = 0 if is_live or entry.left else entry.sequence
            key = f"{entry.endpoint_id}|{entry.incarnation}|{sequence}|{entry.content}|{is_live}"
            total ^= zlib.crc32(key.encode())
        return total

    def announce(
        self, record: EndpointRecord, age: float, now: float
    ) -> Result[MergeResult, Refusal]:
        """Merge an announcement made by an endpoint to this host.

        Args:
            record: The announcement.
            now: Time on this host's clock.
            age: Upper bound of the seconds that the announcement was queued before it was read.
        """
        size = encoded_size(record)
        if size > const.MAX_RECORD_BYTES:
            return Error(errors.record_too_large(size, const.MAX_RECORD_BYTES))
        known = self.endpoint_by_id.get(record.endpoint_id)
        if known is None:
            return self._announce_new(record, age, now)
        order = (record.incarnation, record.sequence)
        if record.incarnation < known.incarnation:
            return Error(errors.stale_announcement(record))
        if record.incarnation == known.incarnation:
            if known.left and record.state is not EndpointState.LEAVING:
                return Error(errors.already_left(record))
            if self._conflicts(known, record, now):
                self._emit_conflict(known, record)
                return Error(errors.address_conflict(record))
        if record.state is EndpointState.LEAVING:
            return Ok(self._replace(record, self._announcement_time(age, now), now))
        if order < (known.incarnation, known.sequence):
            return Error(errors.stale_announcement(record))
        if order == (known.incarnation, known.sequence):
            return Ok(MergeResult.STALE)
        return Ok(self._replace(record, self._announcement_time(age, now), now))

    def _announcement_time(self, age: float, now: float) -> float:
        """Return the time of an announcement; one of unbounded age counts as expired."""
        return now - age if math.isfinite(age) else now - 2 * self._ttl_s

    def _announce_new(
        self, record: EndpointRecord, age: float, now: float
    ) -> Result[MergeResult, Refusal]:
        """Add an unknown endpoint unless the table is full."""
        if not self._make_room(now):
            return Error(errors.too_many_endpoints(const.MAX_ENDPOINTS))
        return Ok(self._replace(record, self._announcement_time(age, now), now))

    def merge_record(self, record: EndpointRecord, announced_at: float, now: float) -> MergeResult:
        """Merge a record received from another host."""
        announced_at = self._announcement_time(now - announced_at, now)
        known = self.endpoint_by_id.get(record.endpoint_id)
        if known is None:
            if not self._make_room(now):
                return MergeResult.STALE
            return self._replace(record, announced_at, now)
        if record.incarnation < known.incarnation:
            return MergeResult.STALE
        if record.incarnation == known.incarnation:
            if known.left:
                return MergeResult.STALE
            if self._conflicts(known, record, now) and now - announced_at < self._ttl_s:
                return self._resolve_conflict(known, record, announced_at, now)
            is_leave = record.state is EndpointState.LEAVING
            if record.sequence < known.sequence and not is_leave:
                return MergeResult.STALE
        return self._replace(record, announced_at, now)

    def merge_renewal(self, renewal: Renewal, announced_at: float, now: float) -> MergeResult:
        """Merge a renewal received from another host."""
        known = self.endpoint_by_id.get(renewal.endpoint_id)
        if renewal.left:
            return self._merge_left(known, renewal, now)
        if now - announced_at >= self._ttl_s:
            return self._merge_expired(known, renewal, announced_at, now)
        if known is None or renewal.incarnation > known.incarnation:
            return MergeResult.RECORD_MISSING
        if renewal.incarnation < known.incarnation or known.left:
            return MergeResult.STALE
        if renewal.content != known.content or known.record is None:
            return self._merge_changed_content(known, renewal, now)
        return self._renew(known, renewal, announced_at, now)

    def _merge_expired(
        self, known: EndpointEntry | None, renewal: Renewal, announced_at: float, now: float
    ) -> MergeResult:
        """Merge an expired announcement, so that older ones are rejected."""
        if known is None:
            self._add_tombstone(renewal, announced_at, now)
            return MergeResult.STALE
        order = (renewal.incarnation, renewal.sequence)
        if order <= (known.incarnation, known.sequence) or self.is_live(known, now):
            return MergeResult.STALE
        if renewal.incarnation > known.incarnation:
            known.left = False
        known.incarnation = renewal.incarnation
        known.sequence = renewal.sequence
        known.record = None
        known.content = 0
        return MergeResult.STALE

    def _add_tombstone(
        self, renewal: Renewal, announced_at: float, now: float
    ) -> EndpointEntry | None:
        """Add an entry that rejects older updates, unless the table is full."""
        if not self._make_room(now):
            return None
        bounded = self._announcement_time(now - announced_at, now)
        entry = EndpointEntry(
            renewal.endpoint_id, renewal.incarnation, renewal.sequence, None, 0, bounded
        )
        self.endpoint_by_id[renewal.endpoint_id] = entry
        return entry

    def _make_room(self, now: float) -> bool:
        """Return whether an endpoint can be added, evicting the oldest tombstone if needed."""
        if len(self.endpoint_by_id) < const.MAX_ENDPOINTS:
            return True
        tombstones = [
            entry for entry in self.endpoint_by_id.values() if not self.is_live(entry, now)
        ]
        if not tombstones:
            return False
        oldest = min(tombstones, key=lambda entry: entry.announced_at)
        del self.endpoint_by_id[oldest.endpoint_id]
        return True

    def _merge_changed_content(
        self, known: EndpointEntry, renewal: Renewal, now: float
    ) -> MergeResult:
        """Return whether the record of a renewal with different content must be pulled."""
        is_later = renewal.sequence > known.sequence
        return (
            MergeResult.RECORD_MISSING
            if is_later or not self.is_live(known, now)
            else MergeResult.STALE
        )

    def _renew(
        self, known: EndpointEntry, renewal: Renewal, announced_at: float, now: float
    ) -> MergeResult:
        """Advance the sequence and announcement time of an unchanged endpoint."""
        if renewal.sequence < known.sequence:
            return MergeResult.STALE
        previous = known.announced_at
        known.sequence = renewal.sequence
        known.announced_at = max(known.announced_at, announced_at)
        self._emit_joined(known, now)
        return MergeResult.RENEWED if known.announced_at > previous else MergeResult.STALE

    def _merge_left(self, known: EndpointEntry | None, renewal: Renewal, now: float) -> MergeResult:
        """Merge a leave, which is final for its incarnation."""
        if known is None:
            known = self._add_tombstone(renewal, now, now)
            if known is None:
                return MergeResult.STALE
        elif (renewal.incarnation, True) <= (known.incarnation, known.left):
            return MergeResult.STALE
        known.incarnation = renewal.incarnation
        known.sequence = max(renewal.sequence, known.sequence)
        self._mark_left(known, now - renewal.age_ms / 1000)
        return MergeResult.CHANGED

    def _replace(self, record: EndpointRecord, announced_at: float, now: float) -> MergeResult:
        """Replace the entry of an endpoint by a record."""
        known = self.endpoint_by_id.get(record.endpoint_id)
        content = content_checksum(record)
        if known is None:
            known = EndpointEntry(
                record.endpoint_id,
                record.incarnation,
                record.sequence,
                record,
                content,
                announced_at,
            )
            self.endpoint_by_id[record.endpoint_id] = known
            changed = True
        else:
            same_incarnation = record.incarnation == known.incarnation
            changed = not same_incarnation or content != known.content
            known.announced_at = (
                max(known.announced_at, announced_at)
                if same_incarnation and not changed
                else announced_at
            )
            known.joined = known.joined and same_incarnation
            known.left = known.left and same_incarnation
            known.incarnation = record.incarnation
            known.sequence = (
                max(record.sequence, known.sequence) if same_incarnation else record.sequence
            )
            known.record = record
            known.content = content
        if record.state is EndpointState.LEAVING:
            if known.left:
                return MergeResult.STALE
            self._mark_left(known, announced_at)
            return MergeResult.CHANGED
        self._emit_joined(known, now)
        return MergeResult.CHANGED if changed else MergeResult.RENEWED

    def _mark_left(self, entry: EndpointEntry, announced_at: float) -> None:
        """Turn an entry into a tombstone that rejects further records of its incarnation."""
        entry.left = True
        entry.joined = False
        entry.record = None
        entry.content = 0
        entry.announced_at = announced_at
        self.events.append(EndpointLeft(entry.endpoint_id, entry.incarnation))

    def _emit_joined(self, entry: EndpointEntry, now: float) -> None:
        """Emit an event once when an endpoint becomes eligible for work."""
        if entry.joined or not self.is_live(entry, now):
            return
        entry.joined = True
        self.events.append(EndpointJoined(entry.endpoint_id, entry.incarnation))

    def _conflicts(self, known: EndpointEntry, record: EndpointRecord, now: float) -> bool:
        """Return whether a live record of this incarnation has another address."""
        if known.record is None or not self.is_live(known, now):
            return False
        return _location(known.record) != _location(record)

    def _resolve_conflict(
        self, known: EndpointEntry, record: EndpointRecord, announced_at: float, now: float
    ) -> MergeResult:
        """Keep the lower address, so that all hosts converge on the same one."""
        assert known.record is not None
        if _location(known.record) < _location(record):
            self._emit_conflict(known, record)
            return MergeResult.CONFLICT
        self.events.append(
            EndpointConflict(
                known.endpoint_id,
                known.incarnation,
                kept=_location_text(record),
                refused=_location_text(known.record),
            )
        )
        known.sequence = record.sequence
        known.announced_at = announced_at
        return self._replace(record, announced_at, now)

    def _emit_conflict(self, known: EndpointEntry, record: EndpointRecord) -> None:
        """Emit an event for a refused second address."""
        assert known.record is not None
        self.events.append(
            EndpointConflict(
                known.endpoint_id,
                known.incarnation,
                kept=_location_text(known.record),
                refused=_location_text(record),
            )
        )

    def tick(self, now: float) -> None:
        """Emit events for expired endpoints and drop tombstones past their TTL."""
        dropped: list[EndpointId] = []
        for endpoint_id, entry in self.endpoint_by_id.items():
            if entry.joined and not self.is_live(entry, now):
                entry.joined = False
                self.events.append(EndpointExpired(endpoint_id, entry.incarnation))
            if now - entry.announced_at >= const.TOMBSTONE_TTL_S:
                dropped.append(endpoint_id)
        for endpoint_id in dropped:
            del self.endpoint_by_id[endpoint_id]


def _location(record: EndpointRecord) -> tuple[str, int]:
    """Return the listening address of an endpoint as a sortable key."""
    return record.address, record.port


def _location_text(record: EndpointRecord) -> str:
    """Return the listening address of an endpoint as text."""
    return f"{record.address}:{record.port}"
