"""Messages between the replicas of one log."""

from __future__ import annotations

import math

import msgspec

from lagoonwing_consensus.models import Entry, ReplicaSet
from lagoonwing_core.ids import LogIndex, ReplicaId, Term


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Ask for a vote, or whether it would be given.

    Attributes:
        term: Term of the election; for a pre-vote the term that would be started.
        pre_vote: Whether this only asks if the vote would be given.
    """

    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    last_index: LogIndex
    last_term: Term
    pre_vote: bool


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer to a vote request.

    Attributes:
        term: The voter's term; for a granted pre-vote the term asked for.
    """

    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    granted: bool
    pre_vote: bool


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Entries after a known one; without entries a heartbeat.

    Attributes:
        sent_at: Time of sending on the leader's clock, which the reply repeats.
        quorum_age_s: Seconds since a quorum is known to have followed the leader; infinite if
            none has in this term.
        echo: Time on the receiver's clock that the leader had from it last when it sent this;
            shows that the message is younger than that, however long it travelled.
    """

    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    previous_index: LogIndex
    previous_term: Term
    commit: LogIndex
    sent_at: float
    entries: tuple[Entry, ...] = ()
    quorum_age_s: float = math.inf
    echo: float = -math.inf


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answer to an append request.

    Attributes:
        success: Whether the log holds every entry up to `index`, synced.
        index: Last entry held for certain; on failure the first one to send again.
        rejected_index: On failure, the request's previous index.
        sent_at: The request's time of sending.
        replied_at: Time of the reply on the sender's own clock, which later requests repeat.
    """

    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    success: bool
    index: LogIndex
    rejected_index: LogIndex
    sent_at: float
    replied_at: float = -math.inf


class SnapshotRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """One part of a snapshot.

    Attributes:
        size: Bytes of the whole state.
        checksum: CRC-32 of the whole state.
        offset: Position of this part.
    """

    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    index: LogIndex
    snapshot_term: Term
    replica_set: ReplicaSet
    size: int
    checksum: int
    offset: int
    chunk: bytes
    sent_at: float


class SnapshotReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answer to one part of a snapshot.

    Attributes:
        index: Last entry of the snapshot.
        next_offset: Position of the part wanted next.
        installed: Whether the log holds every entry up to `index`, synced.
    """

    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    index: LogIndex
    next_offset: int
    installed: bool
    sent_at: float


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest | SnapshotReply
