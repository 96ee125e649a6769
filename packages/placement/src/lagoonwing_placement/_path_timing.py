"""Estimated times of a path with and without its load, against the bounds of a route."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_placement.const import IDLE_EXCESS_LOAD_FACTOR


@dataclass(frozen=True, slots=True)
class PathBounds:
    """Times that the load on a path must not exceed, from the objectives of a route.

    Attributes:
        first_token_ms: Bound on the time to first token.
        pause_ms: Bound on the pause between two events.
    """

    first_token_ms: float
    pause_ms: float


@dataclass(frozen=True, slots=True)
class PathTiming:
    """Estimated times of a request on a path.

    Attributes:
        first_token_ms: Time to first token under the current load.
        pause_ms: Pause between two events under the current load.
        idle_first_token_ms: Time to first token if nothing else ran on the path.
        idle_pause_ms: Pause between two events if nothing else ran on the path.
    """

    first_token_ms: float
    pause_ms: float
    idle_first_token_ms: float
    idle_pause_ms: float

    def is_within(self, bounds: PathBounds) -> bool:
        """Return whether all times are within the bounds."""
        return self.first_token_ms <= bounds.first_token_ms and self.pause_ms <= bounds.pause_ms

    def is_full(self, bounds: PathBounds) -> bool:
        """Return whether the load on the path makes it exceed a bound."""
        return _is_exceeded_by_load(
            self.first_token_ms, self.idle_first_token_ms, bounds.first_token_ms
        ) or _is_exceeded_by_load(self.pause_ms, self.idle_pause_ms, bounds.pause_ms)


def _is_exceeded_by_load(loaded_ms: float, idle_ms: float, bound_ms: float) -> bool:
    """Return whether a time exceeds its bound because of load.

    A path that exceeds the bound without load (a slow endpoint, a large prompt) still takes
    requests, as a late response is better than none, but only until the load multiplies its time.
    """
    limit_ms = bound_ms if idle_ms <= bound_ms else idle_ms * IDLE_EXCESS_LOAD_FACTOR
    return loaded_ms > limit_ms
