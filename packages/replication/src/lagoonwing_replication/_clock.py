"""Clock for promises that must hold through a suspension of the machine."""

from __future__ import annotations

import time


class BootClock:
    """Monotonic time that also counts while the machine is suspended."""

    def now(self) -> float:
        """Return the seconds since the machine was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
