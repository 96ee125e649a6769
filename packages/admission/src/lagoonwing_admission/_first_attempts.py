"""Finds the time of a caller's first attempt from its remaining time."""

from __future__ import annotations

from lagoonwing_admission.const import MIN_RETURN_S, USUAL_TIME_DECAY_PER_S


class FirstAttempts:
    """Compares the remaining time of the callers of one route with the usual one.

    A caller that returns states how much of its time remains. The usual time of the route is a
    running maximum that decays, so a refused caller needs no state at any gateway.
    """

    def __init__(self) -> None:
        self._usual_s = 0.0
        self._updated = 0.0

    def first_attempt(self, remaining_s: float, now: float) -> float:
        """Return the time at which the caller made its first attempt.

        A caller that has been away for less than the shortest promise counts as new, so that an
        immediate retry gains nothing.

        Args:
            remaining_s: Time that the caller has left.
            now: Time in seconds.
        """
        decay = max(0.0, 1.0 - USUAL_TIME_DECAY_PER_S * max(0.0, now - self._updated))
        self._usual_s = max(remaining_s, self._usual_s * decay)
        self._updated = now
        elapsed_s = self._usual_s - remaining_s
        return now if elapsed_s < MIN_RETURN_S else now - elapsed_s
