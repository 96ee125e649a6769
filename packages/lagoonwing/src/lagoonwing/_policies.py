"""Scheduling policies of an entry host, selected by its settings."""

from __future__ import annotations

from lagoonwing_core.ids import HostId
from lagoonwing_core.settings import (
    EntrySettings,
    HostSettings,
    LimitPolicy,
    QueuePolicy,
    RoutePolicy,
)
from lagoonwing_policy import (
    Allotments,
    BoundedLongWork,
    BoundedQueue,
    EarlyRefusal,
    FirstComeFirstServed,
    FlowRoutes,
    NoLimits,
    RoundRobinRoutes,
    RouterSettings,
    SchedulerSettings,
    UnboundedLongWork,
    WeightedFair,
)
from lagoonwing_policy.sharing import SharingSystem


def build_sharing_system(settings: HostSettings) -> SharingSystem | None:
    """Return capacity sharing among entry hosts, or `None` for first-come, first-served queues."""
    section = settings.entry
    assert section is not None
    match section.queue_policy:
        case QueuePolicy.WEIGHTED_FAIR:
            return SharingSystem(HostId(settings.host_id))
        case QueuePolicy.FIRST_COME:
            return None


def _route_policy(policy: RoutePolicy) -> FlowRoutes | RoundRobinRoutes:
    """Return the routing policy."""
    match policy:
        case RoutePolicy.FLOW:
            return FlowRoutes()
        case RoutePolicy.ROUND_ROBIN:
            return RoundRobinRoutes()


def build_scheduler_settings(section: EntrySettings) -> SchedulerSettings:
    """Return the scheduler settings.

    First-come, first-served is the baseline of benchmarks: it uses a single queue for short and
    long work and no early refusal, so that it includes none of the policies it is compared with.
    """
    routing = RouterSettings(policy=_route_policy(section.route_policy))
    limits = Allotments() if section.limit_policy is LimitPolicy.ALLOTMENTS else NoLimits()
    match section.queue_policy:
        case QueuePolicy.WEIGHTED_FAIR:
            return SchedulerSettings(
                queue=WeightedFair(),
                limits=limits,
                admission=EarlyRefusal(),
                long_work=BoundedLongWork(),
                routing=routing,
            )
        case QueuePolicy.FIRST_COME:
            return SchedulerSettings(
                queue=FirstComeFirstServed(),
                limits=limits,
                admission=BoundedQueue(),
                long_work=UnboundedLongWork(),
                routing=routing,
            )
