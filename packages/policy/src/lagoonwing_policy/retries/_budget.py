"""Token bucket that first tries fill and retries empty."""

from __future__ import annotations

from lagoonwing_policy.retries.models import BudgetedRetries


class RetryBudget:
    """Bounds retries to a share of first tries.

    The bucket's size follows the traffic: a lost failure domain fails a part of what is in
    flight at once, and that part is retried; a fault that stays is retried only at the share.
    """

    def __init__(self, policy: BudgetedRetries) -> None:
        self._policy = policy
        self._tokens = policy.min_burst
        self._window_start: float | None = None
        self._in_window = 0
        self._in_last_window = 0

    def credit(self, now: float) -> None:
        """Count a first try."""
        self._rotate_window(now)
        self._in_window += 1
        self._tokens = min(self._tokens + self._policy.budget_share, self._size())

    def spend(self, now: float) -> bool:
        """Take a retry from the bucket; return whether there was one."""
        self._rotate_window(now)
        self._tokens = min(self._tokens, self._size())
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _size(self) -> float:
        """Return how many retries may be saved up."""
        first_tries = max(self._in_window, self._in_last_window)
        return max(self._policy.min_burst, self._policy.burst_share * first_tries)

    def _rotate_window(self, now: float) -> None:
        """Begin a new window once the current one is over."""
        if self._window_start is None:
            self._window_start = now
        elapsed = now - self._window_start
        if elapsed < self._policy.burst_window_s:
            return
        is_next = elapsed < 2 * self._policy.burst_window_s
        self._in_last_window = self._in_window if is_next else 0
        self._in_window = 0
        self._window_start = now
