"""Queue order, and limits on long work."""

from __future__ import annotations

from typing import assert_never

from lagoonwing_policy.fairness._first_come import FirstComeQueue
from lagoonwing_policy.fairness._headroom import Headroom
from lagoonwing_policy.fairness._long_work import LongWorkBounds
from lagoonwing_policy.fairness._queue import UNCONSTRAINED, StartConstraints, WorkQueue
from lagoonwing_policy.fairness._weighted_fair import WeightedFairQueue
from lagoonwing_policy.fairness._weights import MemberWeights
from lagoonwing_policy.fairness.models import FirstComeFirstServed, QueuePolicy, WeightedFair

__all__ = [
    "UNCONSTRAINED",
    "FirstComeQueue",
    "Headroom",
    "LongWorkBounds",
    "MemberWeights",
    "StartConstraints",
    "WeightedFairQueue",
    "WorkQueue",
    "make_headroom",
    "make_queue",
]


def make_headroom(policy: QueuePolicy) -> Headroom:
    """Return the headroom of a queue policy."""
    match policy:
        case FirstComeFirstServed():
            return Headroom(0.0)
        case WeightedFair(headroom_share=share):
            return Headroom(share)
        case _:
            assert_never(policy)


def make_queue(policy: QueuePolicy) -> WorkQueue:
    """Return an empty queue of a queue policy."""
    match policy:
        case FirstComeFirstServed():
            return FirstComeQueue()
        case WeightedFair():
            return WeightedFairQueue(policy)
        case _:
            assert_never(policy)
