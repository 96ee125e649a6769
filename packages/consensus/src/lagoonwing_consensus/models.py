"""Replicas, their roles and the entries of the replicated log."""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec

from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term


class ReplicaRole(Enum):
    """What a replica does in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """One copy of the log on one disk.

    Attributes:
        replica_id: Identity of the disk; a host whose disk was wiped gets another.
        host_id: Host that runs the replica.
        address: IP number on which the replica listens for its peers.
        port: TCP port on which the replica listens for its peers.
    """

    replica_id: ReplicaId
    host_id: HostId
    address: str
    port: int


class ReplicaSet(msgspec.Struct, frozen=True, array_like=True):
    """Replicas of the log: those that vote and those that only copy."""

    voters: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()


class EntryKind(IntEnum):
    """What an entry of the log holds."""

    COMMAND = 0
    NO_OP = 1
    REPLICA_SET = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes:
        payload: A command of the state machine, an encoded `ReplicaSet`, or nothing.
    """

    index: LogIndex
    term: Term
    kind: EntryKind
    payload: bytes = b""


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What a replica must not forget besides its entries.

    Attributes:
        vote: Candidate that got this replica's vote in the term.
        commit: Last accepted entry known when this was written; may lag.
        last_leader_id: Leader that was followed last, to whom a promise may be in force.
    """

    term: Term = Term(0)
    vote: ReplicaId | None = None
    commit: LogIndex = LogIndex(0)
    last_leader_id: ReplicaId | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the state machine after one entry.

    Attributes:
        index: Last entry whose effect the state holds.
        term: Term of that entry.
        replica_set: Replicas in force at that entry.
        state: Encoded state of the state machine.
    """

    index: LogIndex = LogIndex(0)
    term: Term = Term(0)
    replica_set: ReplicaSet = ReplicaSet()
    state: bytes = b""


class RestoredState(msgspec.Struct, frozen=True):
    """What a replica finds on its disk at its start.

    Attributes:
        entries: Entries after the snapshot, without gaps.
        applied: Last entry that the state machine holds; at least the snapshot's index.
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
