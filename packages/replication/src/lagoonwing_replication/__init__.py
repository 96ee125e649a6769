"""Disk and network around the replicated log."""

from __future__ import annotations

from lagoonwing_replication._local_log import LocalLog
from lagoonwing_replication.models import LogStatus, ReplicatedLog, StateMachine

__all__ = [
    "LocalLog",
    "LogStatus",
    "ReplicatedLog",
    "StateMachine",
]
