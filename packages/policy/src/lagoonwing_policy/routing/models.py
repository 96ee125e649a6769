"""Routing settings and policies."""

from __future__ import annotations

from dataclasses import dataclass, field

from lagoonwing_core.ids import FailureDomainId
from lagoonwing_policy.routing import const


@dataclass(frozen=True, slots=True)
class LinkCost:
    """Message latency between two failure domains, equal in both directions."""

    domain_a: FailureDomainId
    domain_b: FailureDomainId
    seconds: float


@dataclass(frozen=True, slots=True)
class FlowRoutes:
    """Routes pipelines by maximum flow and whole models by expected completion time."""


@dataclass(frozen=True, slots=True)
class RoundRobinRoutes:
    """Routes round robin regardless of speed; the baseline in benchmarks."""


RoutePolicy = FlowRoutes | RoundRobinRoutes


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of the router.

    Attributes:
        policy: Routing policy.
        links: Links whose latency differs from the default.
        default_link_s: Default message latency between two failure domains.
        entry_hosts: Number of entry hosts that share the endpoints, until it is set at run time.
    """

    policy: RoutePolicy = field(default_factory=FlowRoutes)
    links: tuple[LinkCost, ...] = ()
    default_link_s: float = const.DEFAULT_LINK_S
    entry_hosts: int = 1
