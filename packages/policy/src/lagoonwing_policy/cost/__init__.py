"""Cost estimates and cost classes of requests."""

from __future__ import annotations

from lagoonwing_policy.cost._classes import CostClassifier
from lagoonwing_policy.cost._estimator import CostEstimator
from lagoonwing_policy.cost.models import CostEstimate, CostSettings

__all__ = ["CostClassifier", "CostEstimate", "CostEstimator", "CostSettings"]
