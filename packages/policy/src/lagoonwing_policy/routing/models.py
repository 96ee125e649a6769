"""Settings and policies of routing."""

from __future__ import annotations

from dataclasses import dataclass, field

from lagoonwing_core.ids import FailureDomainId
from lagoonwing_policy.routing import const


@dataclass(frozen=True, slots=True)
class LinkCost:
    """Time of a message between two failure domains, both ways alike."""

    one: FailureDomainId
    other: FailureDomainId
    seconds: float


@dataclass(frozen=True, slots=True)
class FlowRoutes:
    """Pipelines by maximum flow, whole models by least expected completion."""


@dataclass(frozen=True, slots=True)
class RoundRobinRoutes:
    """Endpoints in turn, whatever their speed; the baseline of measurements."""


RoutePolicy = FlowRoutes | RoundRobinRoutes


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of the router.

    Attributes:
        policy: How a route is chosen.
        links: Links whose time differs from the default between domains.
        default_link_s: Time of a message between two failure domains.
        entry_hosts: Entry hosts that share the endpoints until the shell tells their number.
    """

    policy: RoutePolicy = field(default_factory=FlowRoutes)
    links: tuple[LinkCost, ...] = ()
    default_link_s: float = const.DEFAULT_LINK_S
    entry_hosts: int = 1
