"""The users' rule on limits that endpoints name, as a check on the times of arrivals."""

from __future__ import annotations

from collections.abc import Sequence

# From this time after the limit was named, an endpoint may get at most this multiple of what the
# limit allows in any span of this length, and so many requests more.
STABLE_WINDOW_S = 3.0
SPAN_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


def most_in_a_span(times: Sequence[float], start: float, end: float) -> int:
    """Return the largest number of arrivals in any span of the rule between two times."""
    counted = sorted(time for time in times if start <= time <= end)
    most = first = 0
    for index, time in enumerate(counted):
        while counted[first] < time - SPAN_S:
            first += 1
        most = max(most, index - first + 1)
    return most


def allowed_in_a_span(limit: float) -> float:
    """Return the number of requests that the rule allows in a span."""
    return ALLOWED_FACTOR * limit * SPAN_S + ALLOWED_EXTRA
