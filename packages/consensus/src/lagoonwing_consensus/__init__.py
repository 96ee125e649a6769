"""Raft consensus core of the replicated log, without I/O."""

from __future__ import annotations

from lagoonwing_consensus._core import ReplicaCore
from lagoonwing_consensus._state import Output
from lagoonwing_consensus.errors import InvariantError
from lagoonwing_consensus.messages import (
    AppendReply,
    AppendRequest,
    Message,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from lagoonwing_consensus.models import (
    Entry,
    EntryKind,
    HardState,
    Replica,
    ReplicaRole,
    ReplicaSet,
    RestoredState,
    Snapshot,
    decode_replica_set,
    encode_replica_set,
)
from lagoonwing_consensus.settings import CoreSettings

__all__ = [
    "AppendReply",
    "AppendRequest",
    "CoreSettings",
    "Entry",
    "EntryKind",
    "HardState",
    "InvariantError",
    "Message",
    "Output",
    "Replica",
    "ReplicaCore",
    "ReplicaRole",
    "ReplicaSet",
    "RestoredState",
    "Snapshot",
    "SnapshotReply",
    "SnapshotRequest",
    "VoteReply",
    "VoteRequest",
    "decode_replica_set",
    "encode_replica_set",
]
