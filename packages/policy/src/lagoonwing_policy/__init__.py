"""Request scheduling: routing, rate limits, fairness and retries. Performs no I/O."""

from __future__ import annotations

from lagoonwing_admission.models import (
    BoundedQueue,
    EarlyRefusal,
    FirstComeFirstServed,
    WeightedFair,
)
from lagoonwing_policy._scheduler import Scheduler
from lagoonwing_policy._settings import SchedulerSettings
from lagoonwing_policy.allotments.models import Allotments, NoLimits
from lagoonwing_policy.cost.models import CostSettings
from lagoonwing_policy.fairness.models import (
    BoundedLongWork,
    MemberShare,
    UnboundedLongWork,
)
from lagoonwing_policy.retries import BudgetedRetries, FixedRetries
from lagoonwing_policy.routing import FlowRoutes, LinkCost, RoundRobinRoutes, RouterSettings

__all__ = [
    "Allotments",
    "BoundedLongWork",
    "BoundedQueue",
    "BudgetedRetries",
    "CostSettings",
    "EarlyRefusal",
    "FirstComeFirstServed",
    "FixedRetries",
    "FlowRoutes",
    "LinkCost",
    "MemberShare",
    "NoLimits",
    "RoundRobinRoutes",
    "RouterSettings",
    "Scheduler",
    "SchedulerSettings",
    "UnboundedLongWork",
    "WeightedFair",
]
