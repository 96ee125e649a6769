"""Policies of an entry host, from the names in its settings."""

from __future__ import annotations

from lagoonwing_core.settings import EntrySettings, LimitPolicy, QueuePolicy
from lagoonwing_policy import (
    Allotments,
    BoundedLongWork,
    BoundedQueue,
    EarlyRefusal,
    FirstComeFirstServed,
    MixedWork,
    NoLimits,
    SchedulerSettings,
    WeightedFair,
)


def scheduler_settings(section: EntrySettings) -> SchedulerSettings:
    """Return the scheduler's settings.

    The order of arrival goes with one queue for short and long work and without early refusal, so
    that the baseline of the measures holds none of the policies that it is compared with.
    """
    limits = Allotments() if section.limit_policy is LimitPolicy.ALLOTMENTS else NoLimits()
    match section.queue_policy:
        case QueuePolicy.WEIGHTED_FAIR:
            return SchedulerSettings(
                queue=WeightedFair(),
                limits=limits,
                admission=EarlyRefusal(),
                long_work=BoundedLongWork(),
            )
        case QueuePolicy.FIRST_COME:
            return SchedulerSettings(
                queue=FirstComeFirstServed(),
                limits=limits,
                admission=BoundedQueue(),
                long_work=MixedWork(),
            )
