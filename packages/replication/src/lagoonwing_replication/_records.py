"""Records in a replica's files."""

from __future__ import annotations

import msgspec

from lagoonwing_consensus import Entry, HardState
from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term


class DiskIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of a replica's disk.

    Attributes:
        replica_id: Generated at random when the folder is first used.
        cluster_id: ID of the log that the replica belongs to; empty until assigned.
    """

    version: int
    replica_id: ReplicaId
    host_id: HostId
    cluster_id: str = ""


class SegmentHeader(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First frame of a segment.

    Attributes:
        base_index: Last entry of the log when the segment was created.
        base_term: Term of that entry.
        hard_state: Hard state when the segment was created.
    """

    version: int
    replica_id: ReplicaId
    base_index: LogIndex
    base_term: Term
    hard_state: HardState


class LogReset(msgspec.Struct, frozen=True, array_like=True):
    """Replacement of all entries by a snapshot."""

    index: LogIndex
    term: Term


class LogChange(msgspec.Struct, frozen=True, array_like=True):
    """One change of the log."""

    hard_state: HardState | None = None
    reset: LogReset | None = None
    entries: tuple[Entry, ...] = ()


class LogFrame(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Changes that were synced together.

    Attributes:
        commit: Last entry known to be committed, among those in the log.
    """

    changes: tuple[LogChange, ...]
    commit: LogIndex


Record = SegmentHeader | LogFrame
