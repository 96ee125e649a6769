"""Retries with a budget."""

from __future__ import annotations

from lagoonwing_policy.retries._system import RetrySystem
from lagoonwing_policy.retries.models import BudgetedRetries, FixedRetries, RetryPolicy

__all__ = ["BudgetedRetries", "FixedRetries", "RetryPolicy", "RetrySystem"]
