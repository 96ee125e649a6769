"""Token bucket whose level may fall below zero and then is paid back first."""

from __future__ import annotations


class TokenBucket:
    """Holds what a rate has earned and not spent.

    A new bucket is empty, so that a rate moved from host to host earns no second burst.
    """

    def __init__(self, burst_s: float, min_capacity: float) -> None:
        self._burst_s = burst_s
        self._min_capacity = min_capacity
        self._rate = 0.0
        self._level = 0.0
        self._updated = 0.0

    @property
    def level(self) -> float:
        """Return the level as of the last advance; negative is debt."""
        return self._level

    @property
    def rate(self) -> float:
        """Return what is earned per second."""
        return self._rate

    @property
    def capacity(self) -> float:
        """Return the highest level."""
        return max(self._min_capacity, self._rate * self._burst_s)

    def advance(self, now: float) -> None:
        """Earn up to `now`."""
        if now > self._updated:
            earned = self._level + self._rate * (now - self._updated)
            self._level = min(self.capacity, earned)
        self._updated = max(self._updated, now)

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from `now` on; what was earned before stays, up to the capacity."""
        self._rate = rate
        self._updated = max(self._updated, now)
        self._level = min(self._level, self.capacity)

    def covers(self, amount: float) -> bool:
        """Return whether `amount` may be spent; more than the capacity needs it full."""
        # Earned amounts are sums of floats, which may miss a whole number by a hair.
        return self._level >= min(amount, self.capacity) - 1e-9

    def spend(self, amount: float) -> None:
        """Take `amount`, into debt if need be; a negative amount is given back."""
        self._level = min(self.capacity, self._level - amount)

    def covered_at(self, amount: float) -> float | None:
        """Return the time at which `amount` is covered, or `None` if it never is."""
        missing = min(amount, self.capacity) - self._level
        if missing <= 0.0:
            return self._updated
        if self._rate <= 0.0:
            return None
        return self._updated + missing / self._rate
