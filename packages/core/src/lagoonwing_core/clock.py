"""Clocks: the event loop's monotonic clock and a manually advanced one for tests."""

from __future__ import annotations

import asyncio
from typing import Protocol


class Clock(Protocol):
    """Monotonic time source."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""


class LoopClock:
    """Clock that reads the time of the running event loop."""

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()


class ManualClock:
    """Clock that only moves when `advance` is called."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current manual time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forwards.

        Args:
            seconds: Seconds to add; must not be negative.
        """
        if seconds < 0:
            raise ValueError("a monotonic clock cannot move backwards")
        self._now += seconds
