"""Average of the cost started per second."""

from __future__ import annotations

import math

from lagoonwing_admission.const import START_RATE_TIME_CONSTANT_S


class StartRate:
    """Exponentially decaying average of the cost that is started per second."""

    def __init__(self) -> None:
        self._cost = 0.0
        self._updated = 0.0

    def started(self, cost: float, now: float) -> None:
        """Add a started request."""
        self._decay(now)
        self._cost += cost

    def per_s(self, now: float) -> float:
        """Return the cost started per second."""
        self._decay(now)
        return self._cost / START_RATE_TIME_CONSTANT_S

    def _decay(self, now: float) -> None:
        """Apply the decay up to `now`."""
        elapsed_s = max(0.0, now - self._updated)
        self._cost *= math.exp(-elapsed_s / START_RATE_TIME_CONSTANT_S)
        self._updated = max(self._updated, now)
