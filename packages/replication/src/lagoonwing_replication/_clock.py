"""Clock for leases that must hold across a suspension of the machine."""

from __future__ import annotations

import time


class BootClock:
    """Monotonic clock that also advances while the machine is suspended."""

    def now(self) -> float:
        """Return the seconds since the machine was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
