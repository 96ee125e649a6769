"""Weights of members, and limits on long work."""

from __future__ import annotations

from lagoonwing_policy.fairness._long_work import LongWorkBounds
from lagoonwing_policy.fairness._weights import MemberWeights

__all__ = ["LongWorkBounds", "MemberWeights"]
