"""Cluster membership and endpoint registry of entry hosts, without I/O."""

from __future__ import annotations

from lagoonwing_membership._coordinator import Membership
from lagoonwing_membership.const import RENEW_AFTER_S, TICK_S
from lagoonwing_membership.diagnostics import get_diagnostics
from lagoonwing_membership.models import (
    CapacityRow,
    CellId,
    CellSettings,
    CellSummary,
    EndpointConflict,
    EndpointExpired,
    EndpointJoined,
    EndpointLeft,
    HostChanged,
    HostState,
    HostView,
    MembershipEvent,
    MembershipMessage,
    MembershipSettings,
    RemoteCell,
    Send,
)

__all__ = [
    "RENEW_AFTER_S",
    "TICK_S",
    "CapacityRow",
    "CellId",
    "CellSettings",
    "CellSummary",
    "EndpointConflict",
    "EndpointExpired",
    "EndpointJoined",
    "EndpointLeft",
    "HostChanged",
    "HostState",
    "HostView",
    "Membership",
    "MembershipEvent",
    "MembershipMessage",
    "MembershipSettings",
    "RemoteCell",
    "Send",
    "get_diagnostics",
]
