"""Clocks: the runtime's own, and one that tests pause and advance."""

from __future__ import annotations

import asyncio
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""


class LoopClock:
    """Clock of the running event loop."""

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()


class ManualClock:
    """Clock that stands still until it is advanced."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the time set so far in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        Args:
            seconds: Time to add; not negative.
        """
        if seconds < 0:
            raise ValueError("a clock never goes back")
        self._now += seconds
