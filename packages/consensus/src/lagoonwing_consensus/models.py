"""Replicas, their roles and the entries of the replicated log."""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec

from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term


class ReplicaRole(Enum):
    """Raft role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """One copy of the log, on one disk.

    Attributes:
        replica_id: Identity of the disk; a host whose disk was wiped gets a new one.
        host_id: Host that runs the replica.
        address: IP address on which the replica listens for its peers.
        port: TCP port on which the replica listens for its peers.
    """

    replica_id: ReplicaId
    host_id: HostId
    address: str
    port: int


class ReplicaSet(msgspec.Struct, frozen=True, array_like=True):
    """Replicas of the log: voters, and learners that replicate without a vote."""

    voters: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()


class EntryKind(IntEnum):
    """Kind of an entry's payload."""

    COMMAND = 0
    NO_OP = 1
    REPLICA_SET = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes:
        payload: A state machine command, an encoded `ReplicaSet`, or empty.
    """

    index: LogIndex
    term: Term
    kind: EntryKind
    payload: bytes = b""


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Persistent Raft state besides the entries.

    Attributes:
        vote: Candidate that received this replica's vote in the term.
        commit: Last committed entry known at the time of writing; may lag.
        last_leader_id: Last known leader, whose lease may still be valid.
    """

    term: Term = Term(0)
    vote: ReplicaId | None = None
    commit: LogIndex = LogIndex(0)
    last_leader_id: ReplicaId | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the state machine after an entry.

    Attributes:
        index: Last entry that the state includes.
        term: Term of that entry.
        replica_set: Replica set in effect at that entry.
        state: Encoded state of the state machine.
    """

    index: LogIndex = LogIndex(0)
    term: Term = Term(0)
    replica_set: ReplicaSet = ReplicaSet()
    state: bytes = b""


class RestoredState(msgspec.Struct, frozen=True):
    """State that a replica reads from its disk at startup.

    Attributes:
        entries: Contiguous entries after the snapshot.
        applied: Last entry applied to the state machine; at least the snapshot's index.
    """

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()
    applied: LogIndex = LogIndex(0)


def encode_replica_set(replica_set: ReplicaSet) -> bytes:
    """Return the payload of a replica set entry."""
    return _ENCODER.encode(replica_set)


def decode_replica_set(payload: bytes) -> ReplicaSet:
    """Return the replica set of an entry's payload."""
    return _REPLICA_SET_DECODER.decode(payload)


_ENCODER = msgspec.msgpack.Encoder()
_REPLICA_SET_DECODER = msgspec.msgpack.Decoder(ReplicaSet)
