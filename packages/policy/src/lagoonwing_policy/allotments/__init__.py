"""Enforces the caps of agreements by the grants that this entry host holds."""

from __future__ import annotations

from lagoonwing_policy.allotments._bucket import TokenBucket
from lagoonwing_policy.allotments._demand import DemandTracker
from lagoonwing_policy.allotments._table import AllotmentTable
from lagoonwing_policy.allotments.models import (
    Allotments,
    NoLimits,
    StartAllowed,
    StartBlocked,
    StartVerdict,
)

__all__ = [
    "AllotmentTable",
    "Allotments",
    "DemandTracker",
    "NoLimits",
    "StartAllowed",
    "StartBlocked",
    "StartVerdict",
    "TokenBucket",
]
