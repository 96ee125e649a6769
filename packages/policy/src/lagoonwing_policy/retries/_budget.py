"""Retry budget: a token bucket that first attempts fill and retries drain."""

from __future__ import annotations

from lagoonwing_policy.retries.models import BudgetedRetries


class RetryBudget:
    """Limits retries to a share of first attempts.

    The capacity of the bucket follows the traffic: the loss of a failure domain fails many
    requests at once, and these may be retried, while requests that fail because of a permanent
    fault are retried only at the configured share.
    """

    def __init__(self, policy: BudgetedRetries) -> None:
        self._policy = policy
        self._tokens = policy.min_burst
        self._window_start: float | None = None
        self._in_window = 0
        self._in_last_window = 0

    def credit(self, now: float) -> None:
        """Credit the budget for a first attempt."""
        self._rotate_window(now)
        self._in_window += 1
        self._tokens = min(self._tokens + self._policy.budget_share, self._size())

    def spend(self, now: float) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        self._rotate_window(now)
        self._tokens = min(self._tokens, self._size())
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _size(self) -> float:
        """Return the capacity of the bucket."""
        first_tries = max(self._in_window, self._in_last_window)
        return max(self._policy.min_burst, self._policy.burst_share * first_tries)

    def _rotate_window(self, now: float) -> None:
        """Start a new window once the current one has elapsed."""
        if self._window_start is None:
            self._window_start = now
        elapsed = now - self._window_start
        if elapsed < self._policy.burst_window_s:
            return
        is_next = elapsed < 2 * self._policy.burst_window_s
        self._in_last_window = self._in_window if is_next else 0
        self._in_window = 0
        self._window_start = now
