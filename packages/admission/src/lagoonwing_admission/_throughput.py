"""Measures the throughput of a pool, to estimate queueing times."""

from __future__ import annotations

WINDOW_S = 0.25
# Weights of the latest window and the latest request in the exponential moving averages.
WINDOW_WEIGHT = 0.2
REQUEST_WEIGHT = 0.05
# Consecutive windows with a backlog before the measured rate is used.
MIN_WINDOWS = 4


class ThroughputMeter:
    """Measures the work started per second under backlog, and the work per second of a slot.

    Without a backlog the start rate equals the arrival rate and says nothing about capacity;
    the rate is then derived from the number of slots and the speed of one slot.
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._windows = 0
        self._window_start = 0.0
        self._window_cost = 0.0
        self._backlogged = False
        self._cost_mean = 0.0
        self._seconds_mean = 0.0

    def started(self, cost: float, backlogged: bool, now: float) -> None:
        """Record the start of a request.

        Args:
            cost: Cost in tokens.
            backlogged: Whether other requests are still waiting.
            now: Time in seconds.
        """
        if backlogged != self._backlogged:
            self._backlogged = backlogged
            self._open_window(now)
            self._windows = 0
        self._window_cost += cost
        if backlogged and now >= self._window_start + WINDOW_S:
            self._close_window(now)

    def finished(self, cost: float, seconds: float) -> None:
        """Record a request that occupied its slot for `seconds`."""
        self._cost_mean += REQUEST_WEIGHT * (cost - self._cost_mean)
        self._seconds_mean += REQUEST_WEIGHT * (seconds - self._seconds_mean)

    def slot_rate(self) -> float | None:
        """Return the work per second of one slot, None until a request has finished."""
        if self._seconds_mean <= 0.0:
            return None
        return self._cost_mean / self._seconds_mean

    def rate(self, slots: float) -> float | None:
        """Return the work per second that the pool can start, None while unknown."""
        if self._backlogged and self._windows >= MIN_WINDOWS:
            return self._rate
        slot_rate = self.slot_rate()
        return None if slot_rate is None else slots * slot_rate

    def _open_window(self, now: float) -> None:
        """Start a new window."""
        self._window_start = now
        self._window_cost = 0.0

    def _close_window(self, now: float) -> None:
        """Add the window to the moving average and start a new one."""
        measured = self._window_cost / (now - self._window_start)
        weight = WINDOW_WEIGHT if self._windows else 1.0
        self._rate += weight * (measured - self._rate)
        self._windows += 1
        self._open_window(now)
