"""Entry of the endpoint table, and the results of merging an update into it."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import Enum

import msgspec

from lagoonwing_core.ids import EndpointId, Incarnation
from lagoonwing_core.models import EndpointRecord
from lagoonwing_membership.models import Renewal

_ENCODER = msgspec.msgpack.Encoder()


class MergeResult(Enum):
    """Result of merging an update into the endpoint table."""

    STALE = "old"
    RENEWED = "fresher"
    CHANGED = "changed"
    RECORD_MISSING = "wanted"
    CONFLICT = "conflict"


@dataclass(slots=True)
class EndpointEntry:
    """State of one endpoint; kept as a tombstone after the endpoint has left or expired.

    Attributes:
        record: Latest record; `None` in a tombstone without a record.
        announced_at: Lower bound, on this host's clock, of the time of the announcement.
        joined: Whether `EndpointJoined` was emitted for this incarnation and still holds.
    """

    endpoint_id: EndpointId
    incarnation: Incarnation
    sequence: int
    record: EndpointRecord | None
    content: int
    announced_at: float
    left: bool = False
    joined: bool = False

    def latest_record(self) -> EndpointRecord | None:
        """Return the record with the sequence of the last renewal, which carries no record."""
        if self.record is None:
            return None
        return msgspec.structs.replace(self.record, sequence=self.sequence)

    def renewal(self, now: float) -> Renewal:
        """Return the compact form that is sent to other hosts."""
        age_ms = max(0, int((now - self.announced_at) * 1000) + 1)
        return Renewal(
            self.endpoint_id, self.incarnation, self.sequence, self.content, age_ms, self.left
        )


def content_checksum(record: EndpointRecord) -> int:
    """Return a checksum of a record without its sequence."""
    return zlib.crc32(_ENCODER.encode(msgspec.structs.replace(record, sequence=0)))


def encoded_size(record: EndpointRecord) -> int:
    """Return the encoded size of a record in bytes."""
    return len(_ENCODER.encode(record))
