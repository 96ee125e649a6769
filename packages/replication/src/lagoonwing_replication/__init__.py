"""Storage and networking for the replicated log."""

from __future__ import annotations

from lagoonwing_replication._local_log import LocalLog
from lagoonwing_replication._raft_log import RaftLog
from lagoonwing_replication.errors import CorruptStorageError, StorageError
from lagoonwing_replication.models import LogStatus, ReplicatedLog, StateMachine
from lagoonwing_replication.settings import LogSettings, ReplicaHost

__all__ = [
    "CorruptStorageError",
    "LocalLog",
    "LogSettings",
    "LogStatus",
    "RaftLog",
    "ReplicaHost",
    "ReplicatedLog",
    "StateMachine",
    "StorageError",
]
