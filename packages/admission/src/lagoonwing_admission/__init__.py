"""Admission, waiting order and return times of requests. Performs no I/O.

One core for the entry host and the gateway. It must stay light: each gateway process loads it.
"""

from __future__ import annotations

from lagoonwing_admission._bounds import QueueBounds
from lagoonwing_admission._check import AdmissionCheck, expected_wait_s
from lagoonwing_admission._first_attempts import FirstAttempts
from lagoonwing_admission._headroom import Headroom
from lagoonwing_admission._make import make_headroom
from lagoonwing_admission._ordered_set import OrderedSet
from lagoonwing_admission._queue import UNCONSTRAINED, StartConstraints, WorkQueue
from lagoonwing_admission._ranked import RankedQueue
from lagoonwing_admission._retry_after import jittered_retry_after
from lagoonwing_admission._return_schedule import ReturnSchedule
from lagoonwing_admission._throughput import ThroughputMeter
from lagoonwing_admission._waiting_room import WaitingRoom
from lagoonwing_admission.models import (
    Admitted,
    CostClass,
    QueuedWork,
    Rejected,
    RejectReason,
    Verdict,
    WaitingRoomSettings,
    WorkId,
)

__all__ = [
    "UNCONSTRAINED",
    "AdmissionCheck",
    "Admitted",
    "CostClass",
    "FirstAttempts",
    "Headroom",
    "OrderedSet",
    "QueueBounds",
    "QueuedWork",
    "RankedQueue",
    "RejectReason",
    "Rejected",
    "ReturnSchedule",
    "StartConstraints",
    "ThroughputMeter",
    "Verdict",
    "WaitingRoom",
    "WaitingRoomSettings",
    "WorkId",
    "WorkQueue",
    "expected_wait_s",
    "jittered_retry_after",
    "make_headroom",
]
