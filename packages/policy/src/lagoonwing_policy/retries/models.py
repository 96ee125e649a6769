"""Policies of retries."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_policy.retries import const


@dataclass(frozen=True, slots=True)
class BudgetedRetries:
    """Retries within a budget, after an exponential delay with full jitter.

    Attributes:
        budget_share: Retries that each first try earns.
        burst_share: Retries saved up at most, as a share of the window's first tries.
        min_burst: Retries saved up at most on a site without traffic.
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
    """A number of attempts at a fixed delay without a budget; the baseline of measurements."""

    max_attempts: int = const.MAX_ATTEMPTS
    delay_s: float = const.BACKOFF_BASE_S


RetryPolicy = BudgetedRetries | FixedRetries
