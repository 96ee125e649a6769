"""How fast a pool starts and runs work, for the expected wait."""

from __future__ import annotations

WINDOW_S = 0.25
# Weight of the newest window, and of the newest request, in the moving averages.
WINDOW_WEIGHT = 0.2
REQUEST_WEIGHT = 0.05
# Windows of unbroken backlog after which the measured rate is believed.
MIN_WINDOWS = 4


class ThroughputMeter:
    """Measures work started per second while requests wait, and work per second of a slot.

    Without backlog what starts is what arrives, which says nothing about the capacity; then
    the slots and the speed of one slot give the rate.
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
        """Count work that starts.

        Args:
            cost: Work in tokens.
            backlogged: Whether other requests go on waiting.
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
        """Count a request that ran `seconds` in its slot."""
        self._cost_mean += REQUEST_WEIGHT * (cost - self._cost_mean)
        self._seconds_mean += REQUEST_WEIGHT * (seconds - self._seconds_mean)

    def slot_rate(self) -> float | None:
        """Return the work per second of one slot, `None` while nothing has finished."""
        if self._seconds_mean <= 0.0:
            return None
        return self._cost_mean / self._seconds_mean

    def rate(self, slots: float) -> float | None:
        """Return the work per second that the pool starts, `None` while not known."""
        if self._backlogged and self._windows >= MIN_WINDOWS:
            return self._rate
        slot_rate = self.slot_rate()
        return None if slot_rate is None else slots * slot_rate

    def _open_window(self, now: float) -> None:
        """Begin to count anew."""
        self._window_start = now
        self._window_cost = 0.0

    def _close_window(self, now: float) -> None:
        """Take the window into the moving average."""
        measured = self._window_cost / (now - self._window_start)
        weight = WINDOW_WEIGHT if self._windows else 1.0
        self._rate += weight * (measured - self._rate)
        self._windows += 1
        self._open_window(now)
