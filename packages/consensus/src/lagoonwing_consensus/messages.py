"""Messages between the replicas of one log."""

from __future__ import annotations

import math

import msgspec

from lagoonwing_consensus.models import Entry, ReplicaSet
from lagoonwing_core.ids import LogIndex, ReplicaId, Term


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Request for a vote or a pre-vote.

    Attributes:
        term: Term of the election; for a pre-vote, the term the candidate would start.
        pre_vote: Whether this only asks if the vote would be granted.
    """

    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    last_index: LogIndex
    last_term: Term
    pre_vote: bool


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reply to a vote request.

    Attributes:
        term: The voter's term; for a granted pre-vote, the requested term.
    """

    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    granted: bool
    pre_vote: bool


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Entries that follow `previous_index`; a heartbeat if there are none.

    Attributes:
        sent_at: Time of sending on the leader's clock, returned in the reply.
        quorum_age_s: Seconds since a quorum last confirmed the leader; infinite if none has in
            this term.
        echo: Latest `replied_at` that the leader has received from the receiver. It bounds the
            age of the message on the receiver's clock, however long the network delay.
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
    """Reply to an append request.

    Attributes:
        success: Whether every entry up to `index` is stored and synced.
        index: Last entry known to match; on failure, the first entry to resend.
        rejected_index: On failure, `previous_index` of the request.
        sent_at: `sent_at` of the request.
        replied_at: Time of the reply on the sender's clock, echoed by later requests.
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
    """One chunk of a snapshot.

    Attributes:
        size: Size of the complete state in bytes.
        checksum: CRC-32 of the complete state.
        offset: Byte offset of this chunk.
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
    """Reply to a snapshot chunk.

    Attributes:
        index: Last entry of the snapshot.
        next_offset: Byte offset of the next expected chunk.
        installed: Whether every entry up to `index` is stored and synced.
    """

    sender: ReplicaId
    receiver: ReplicaId
    term: Term
    index: LogIndex
    next_offset: int
    installed: bool
    sent_at: float


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest | SnapshotReply
