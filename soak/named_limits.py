"""Endpoints that name a limit: the checks on what reaches them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

# Requests per second that each endpoint names.
LIMIT = 2.0
LIMITS_S = 18.0

_STABLE_WINDOW_S = 3.0
_SPAN_S = 4.0
_ALLOWED_IN_A_SPAN = 1.5 * LIMIT * _SPAN_S + 5
# Share of the limits of a service that must be used, since callers ask for more than that.
_MIN_USED_RATIO = 0.5


def limit_violations(
    times_by_endpoint: Mapping[str, list[float]],
    ids_by_service: Mapping[str, Iterable[str]],
    named_at: float,
    ended_at: float,
) -> list[str]:
    """Return the violated guarantees.

    Args:
        times_by_endpoint: Times of the requests that reached each endpoint.
        ids_by_service: Endpoints at which requests of a service enter.
        named_at: Time from which all endpoints named a limit.
        ended_at: Time of the last request.
    """
    start = named_at + _STABLE_WINDOW_S
    violations: list[str] = []
    for service, endpoint_ids in ids_by_service.items():
        used = count = 0
        for endpoint_id in endpoint_ids:
            times = sorted(time for time in times_by_endpoint.get(endpoint_id, ()) if time >= start)
            used, count = used + len(times), count + 1
            most = max((_count_in_span(times, first) for first in times), default=0)
            if most > _ALLOWED_IN_A_SPAN:
                violations.append(f"{endpoint_id}: {most} requests in a span, limit {LIMIT:g}")
        wanted = _MIN_USED_RATIO * LIMIT * count * (ended_at - start)
        if used < wanted:
            violations.append(f"{service}: {used} requests, {wanted:.0f} expected at least")
    return violations


def _count_in_span(times: list[float], first: float) -> int:
    """Return the number of times in the span that starts at one of them."""
    return sum(first <= time <= first + _SPAN_S for time in times)
