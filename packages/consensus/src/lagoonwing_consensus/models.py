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
