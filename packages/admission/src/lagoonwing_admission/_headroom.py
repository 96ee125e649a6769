"""Slots that are reserved for members without a persistent backlog."""

from __future__ import annotations

import math

# Relative growth of the capacity estimate per second: initial and maximum.
MIN_GROWTH_PER_S = 0.05
MAX_GROWTH_PER_S = 1.0


class Headroom:
    """Reserves a few slots of a pool for members without a backlog.

    Under peak load a member with a large backlog takes every slot that becomes free, so that
    each request of other members has to wait for one. The number of slots available to this
    host is not known, because other hosts share them. It is estimated as the number of running
    requests when no free slot was found; the estimate then grows until that happens again,
    with a growth rate that doubles every second.
    """

    def __init__(self, share: float) -> None:
        """Create a headroom without a capacity estimate.

        Args:
            share: Share of the capacity that is reserved; 0 disables the reservation.
        """
        self._share = share
        self._capacity = math.inf
        self._last_exhausted = 0.0
        self._last_growth = 0.0

    def reset(self) -> None:
        """Discard the capacity estimate after the endpoints changed."""
        self._capacity = math.inf

    def on_no_free_slot(self, running: int, now: float) -> None:
        """Set the capacity estimate to the number of running requests."""
        self._capacity = max(1.0, float(running))
        self._last_exhausted = now
        self._last_growth = now

    def allows_backlogged(self, running: int, now: float) -> bool:
        """Return whether a member with a persistent backlog may start work.

        Args:
            running: Running requests of all members in the pool.
            now: Time in seconds.
        """
        if math.isinf(self._capacity):
            return True
        self._grow(now)
        reserved = int(self._share * self._capacity)
        return not reserved or running + reserved < self._capacity

    def _grow(self, now: float) -> None:
        """Grow the capacity estimate up to `now`."""
        doublings = min(10.0, now - self._last_exhausted)
        growth = min(MAX_GROWTH_PER_S, MIN_GROWTH_PER_S * 2.0**doublings)
        self._capacity *= 1.0 + growth * (now - self._last_growth)
        self._last_growth = now
