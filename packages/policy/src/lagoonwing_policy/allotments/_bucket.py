"""Token bucket with debt: the level may be negative and is then refilled first."""

from __future__ import annotations


class TokenBucket:
    """Token bucket that starts empty.

    Starting empty prevents a second burst when a rate moves from one host to another.
    """

    def __init__(self, burst_s: float, min_capacity: float) -> None:
        self._burst_s = burst_s
        self._min_capacity = min_capacity
        self._rate = 0.0
        self._level = 0.0
        self._updated = 0.0

    @property
    def level(self) -> float:
        """Return the level at the last advance; a negative level is debt."""
        return self._level

    @property
    def rate(self) -> float:
        """Return the refill rate per second."""
        return self._rate

    @property
    def capacity(self) -> float:
        """Return the maximum level."""
        return max(self._min_capacity, self._rate * self._burst_s)

    def advance(self, now: float) -> None:
        """Refill the bucket up to `now`."""
        if now > self._updated:
            earned = self._level + self._rate * (now - self._updated)
            self._level = min(self.capacity, earned)
        self._updated = max(self._updated, now)

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from `now` on; the level is kept, up to the new capacity."""
        self._rate = rate
        self._updated = max(self._updated, now)
        self._level = min(self._level, self.capacity)

    def covers(self, amount: float) -> bool:
        """Return whether `amount` may be spent; amounts over the capacity need a full bucket."""
        # The level is a sum of floats and may be slightly below a whole number.
        return self._level >= min(amount, self.capacity) - 1e-9

    def spend(self, amount: float) -> None:
        """Spend `amount`, going into debt if necessary; a negative amount is a refund."""
        self._level = min(self.capacity, self._level - amount)

    def covered_at(self, amount: float) -> float | None:
        """Return the time at which `amount` is covered, None if the rate is zero."""
        missing = min(amount, self.capacity) - self._level
        if missing <= 0.0:
            return self._updated
        if self._rate <= 0.0:
            return None
        return self._updated + missing / self._rate
