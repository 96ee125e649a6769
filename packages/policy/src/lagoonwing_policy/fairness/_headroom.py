"""Slots kept free of members that never stop waiting for more."""

from __future__ import annotations

import math

# Growth of the capacity per second, right after it was found, and at most.
MIN_GROWTH_PER_S = 0.05
MAX_GROWTH_PER_S = 1.0


class Headroom:
    """Keeps a few slots of a pool for members that have no backlog.

    At the crest the member that surges takes every slot that comes free, so that each request
    of the others waits for one. How many slots this host can get is not known beforehand, for
    other hosts share them: it is what ran when no slot was found, and grows until that happens
    again, slowly at first and twice as fast each second.
    """

    def __init__(self, share: float) -> None:
        """Make a headroom that knows no capacity.

        Args:
            share: Share of the capacity that is kept free; 0 keeps nothing.
        """
        self._share = share
        self._capacity = math.inf
        self._last_exhausted = 0.0
        self._last_growth = 0.0

    def reset(self) -> None:
        """Forget the capacity: the endpoints changed."""
        self._capacity = math.inf

    def on_no_free_slot(self, running: int, now: float) -> None:
        """Take what runs for the capacity."""
        self._capacity = max(1.0, float(running))
        self._last_exhausted = now
        self._last_growth = now

    def allows_backlogged(self, running: int, now: float) -> bool:
        """Return whether a member with a lasting backlog may start work.

        Args:
            running: Requests of all members that run in the pool.
            now: Time in seconds.
        """
        if math.isinf(self._capacity):
            return True
        self._grow(now)
        reserved = int(self._share * self._capacity)
        return not reserved or running + reserved < self._capacity

    def _grow(self, now: float) -> None:
        """Let the capacity grow up to now."""
        doublings = min(10.0, now - self._last_exhausted)
        growth = min(MAX_GROWTH_PER_S, MIN_GROWTH_PER_S * 2.0**doublings)
        self._capacity *= 1.0 + growth * (now - self._last_growth)
        self._last_growth = now
