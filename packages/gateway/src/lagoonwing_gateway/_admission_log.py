"""Log events for decisions on admission."""

from __future__ import annotations

import math

from lagoonwing_core.events import EventCode, log_event
from lagoonwing_gateway._admission_request import AdmissionRequest


def log_admission(
    request: AdmissionRequest,
    decision: str,
    waited_s: float,
    *,
    queued: int,
    age_s: float,
    expected_wait_s: float | None = None,
    rate: float | None = None,
) -> None:
    """Log a request that waited for capacity or was refused.

    Args:
        request: The request.
        decision: "started", "refused", "expired" or "caller_gone".
        waited_s: Time for which it waited.
        queued: Requests for the same service that still wait.
        age_s: Age of the load summary of the other gateways.
        expected_wait_s: Expected wait on arrival; None unless it was refused then.
        rate: Cost started per second by all gateways, from which that was calculated.
    """
    log_event(
        EventCode.ADMISSION_DECIDED,
        request=request.attempt_id,
        member=request.member_id,
        decision=decision,
        rank=request.rank,
        cost=round(request.cost),
        waited_ms=round(waited_s * 1_000),
        returned_ms=round((request.submitted - request.enqueued) * 1_000),
        queued=queued,
        expected_wait_ms=None if expected_wait_s is None else _milliseconds(expected_wait_s),
        rate=None if rate is None else round(rate),
        age_s=round(age_s, 3),
    )


def _milliseconds(seconds: float) -> float:
    """Return whole milliseconds; an infinite wait stays infinite."""
    return seconds if math.isinf(seconds) else round(seconds * 1_000)
