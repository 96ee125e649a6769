"""Routing, limits, fairness and retries without I/O."""

from __future__ import annotations

from lagoonwing_policy._scheduler import Scheduler
from lagoonwing_policy._settings import SchedulerSettings
from lagoonwing_policy.admission.models import BoundedQueue, EarlyRefusal
from lagoonwing_policy.allotments.models import Allotments, NoLimits
from lagoonwing_policy.cost.models import CostSettings
from lagoonwing_policy.fairness.models import (
    BoundedLongWork,
    FirstComeFirstServed,
    MemberShare,
    MixedWork,
    WeightedFair,
)

__all__ = [
    "Allotments",
    "BoundedLongWork",
    "BoundedQueue",
    "CostSettings",
    "EarlyRefusal",
    "FirstComeFirstServed",
    "MemberShare",
    "MixedWork",
    "NoLimits",
    "Scheduler",
    "SchedulerSettings",
    "WeightedFair",
]
