"""Routing to whole-model endpoints, services and pipelines of stages."""

from __future__ import annotations

from lagoonwing_policy.routing._router import FlowRouter
from lagoonwing_policy.routing._suspects import SuspectSource
from lagoonwing_policy.routing.models import (
    FlowRoutes,
    LinkCost,
    RoundRobinRoutes,
    RoutePolicy,
    RouterSettings,
)

__all__ = [
    "FlowRouter",
    "FlowRoutes",
    "LinkCost",
    "RoundRobinRoutes",
    "RoutePolicy",
    "RouterSettings",
    "SuspectSource",
]
