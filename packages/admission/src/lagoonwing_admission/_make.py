"""Factories for the queue and the headroom of a queue policy."""

from __future__ import annotations

from typing import assert_never

from lagoonwing_admission._first_come import FirstComeQueue
from lagoonwing_admission._headroom import Headroom
from lagoonwing_admission._queue import WorkQueue, WorkT
from lagoonwing_admission._weighted_fair import WeightedFairQueue
from lagoonwing_admission.models import FirstComeFirstServed, QueuePolicy, WeightedFair


def make_headroom(policy: QueuePolicy) -> Headroom:
    """Return the headroom of a queue policy."""
    match policy:
        case FirstComeFirstServed():
            return Headroom(0.0)
        case WeightedFair(headroom_share=share):
            return Headroom(share)
        case _:
            assert_never(policy)


def make_rank_queue(policy: QueuePolicy) -> WorkQueue[WorkT]:
    """Return the empty queue of one rank."""
    match policy:
        case FirstComeFirstServed():
            return FirstComeQueue()
        case WeightedFair():
            return WeightedFairQueue(policy)
        case _:
            assert_never(policy)
