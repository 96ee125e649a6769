"""A clock and scheduled events of a simulation."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from lagoonwing_core.clock import ManualClock


class SimulatedTime:
    """Runs scheduled actions in order as the clock moves.

    Attributes:
        clock: Time of the simulation.
    """

    def __init__(self, start: float = 0.0) -> None:
        self.clock = ManualClock(start)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        event = (self.clock.now() + delay_s, next(self._order), action)
        heapq.heappush(self._events, event)

    def advance(self, seconds: float) -> None:
        """Run all events of the next seconds."""
        end = self.clock.now() + seconds
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.clock.now()))
            action()
        self.clock.advance(max(0.0, end - self.clock.now()))
