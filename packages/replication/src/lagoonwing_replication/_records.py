"""What the files of a replica hold."""

from __future__ import annotations

import msgspec

from lagoonwing_consensus import Entry, HardState
from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term


class DiskIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Whose disk this is.

    Attributes:
        replica_id: Drawn at random when the folder is first used.
        cluster_id: Log that the replica belongs to; empty until it is known.
    """

    version: int
    replica_id: ReplicaId
    host_id: HostId
    cluster_id: str = ""


class SegmentHeader(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First frame of a segment.

    Attributes:
        base_index: Last entry of the log as the segment was begun.
        base_term: Term of that entry.
        hard_state: Hard state as the segment was begun.
    """

    version: int
    replica_id: ReplicaId
    base_index: LogIndex
    base_term: Term
    hard_state: HardState


class LogReset(msgspec.Struct, frozen=True, array_like=True):
    """All entries are replaced by a snapshot."""

    index: LogIndex
    term: Term


class LogChange(msgspec.Struct, frozen=True, array_like=True):
    """One step of the log."""

    hard_state: HardState | None = None
    reset: LogReset | None = None
    entries: tuple[Entry, ...] = ()


class LogFrame(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Steps that were synced together.

    Attributes:
        commit: Last accepted entry known, of those that the log holds.
    """

    changes: tuple[LogChange, ...]
    commit: LogIndex


Record = SegmentHeader | LogFrame
