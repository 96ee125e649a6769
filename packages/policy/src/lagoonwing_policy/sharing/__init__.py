"""Divides the capacity of the endpoints among entry hosts, fair to members cluster-wide."""

from __future__ import annotations

from lagoonwing_policy.sharing._division import Division, divide_pool, max_min_allocation
from lagoonwing_policy.sharing._system import SharingSystem
from lagoonwing_policy.sharing.models import CapacitySpan, MemberWork, Shares, WorkReport

__all__ = [
    "CapacitySpan",
    "Division",
    "MemberWork",
    "Shares",
    "SharingSystem",
    "WorkReport",
    "divide_pool",
    "max_min_allocation",
]
