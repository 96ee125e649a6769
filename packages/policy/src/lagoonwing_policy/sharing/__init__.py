"""Division of the endpoints' capacity among entry hosts, fair to members over all of them."""

from __future__ import annotations

from lagoonwing_policy.sharing._division import Division, divide_pool, fill_by_weight
from lagoonwing_policy.sharing._system import SharingSystem
from lagoonwing_policy.sharing.models import CapacityPart, MemberWork, Shares, WorkNews

__all__ = [
    "CapacityPart",
    "Division",
    "MemberWork",
    "Shares",
    "SharingSystem",
    "WorkNews",
    "divide_pool",
    "fill_by_weight",
]
