"""Retry policies."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_policy.retries import const


@dataclass(frozen=True, slots=True)
class BudgetedRetries:
    """Retries within a budget, with exponential backoff and full jitter.

    Attributes:
        budget_share: Retries credited per first attempt.
        burst_share: Capacity of the budget, as a share of the first attempts in a window.
        min_burst: Minimum capacity of the budget.
    """

    budget_share: float = const.BUDGET_SHARE
    burst_share: float = const.BURST_SHARE
    burst_window_s: float = const.BURST_WINDOW_S
    min_burst: float = const.MIN_BURST
    max_attempts: int = const.MAX_ATTEMPTS
    backoff_base_s: float = const.BACKOFF_BASE_S
    backoff_max_s: float = const.BACKOFF_MAX_S


@dataclass(frozen=True, slots=True)
class FixedRetries:
    """Attempts at a fixed delay without a budget; the baseline in benchmarks."""

    max_attempts: int = const.MAX_ATTEMPTS
    delay_s: float = const.BACKOFF_BASE_S


RetryPolicy = BudgetedRetries | FixedRetries
