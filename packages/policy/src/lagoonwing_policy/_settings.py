"""Settings of the scheduler; each alternative of a policy is a data class of its own."""

from __future__ import annotations

from dataclasses import dataclass, field

from lagoonwing_admission.models import (
    AdmissionPolicy,
    EarlyRefusal,
    QueuePolicy,
    WeightedFair,
)
from lagoonwing_policy.allotments.models import Allotments, LimitPolicy
from lagoonwing_policy.cost.models import CostSettings
from lagoonwing_policy.fairness.models import (
    BoundedLongWork,
    LongWorkPolicy,
)
from lagoonwing_policy.retries import BudgetedRetries, RetryPolicy
from lagoonwing_policy.routing import RouterSettings


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Settings of one entry host's scheduler.

    Attributes:
        queue: Order in which queued requests start.
        limits: Whether the caps of agreements are enforced.
        admission: Which requests are refused instead of queued.
        long_work: Share of the slots that long work may use.
        cost: How the cost of a request is estimated.
        routing: How endpoints are chosen.
        retries: Whether and when failed attempts are retried.
    """

    queue: QueuePolicy = field(default_factory=WeightedFair)
    limits: LimitPolicy = field(default_factory=Allotments)
    admission: AdmissionPolicy = field(default_factory=EarlyRefusal)
    long_work: LongWorkPolicy = field(default_factory=BoundedLongWork)
    cost: CostSettings = field(default_factory=CostSettings)
    routing: RouterSettings = field(default_factory=RouterSettings)
    retries: RetryPolicy = field(default_factory=BudgetedRetries)
