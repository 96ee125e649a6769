"""Log lines of the decisions on requests."""

from __future__ import annotations

import math

from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.models import (
    AttemptOutcome,
    CallerGone,
    Completed,
    Failed,
    GatewayRefusal,
    NotRun,
    RequestContext,
)
from lagoonwing_placement import Path


def log_attempt(
    context: RequestContext, endpoint_id: EndpointId, send: int, outcome: AttemptOutcome
) -> None:
    """Log how an attempt ended, unless it is the usual end of a first one."""
    match outcome:
        case Completed() if send == 1:
            return
        case Completed():
            result, reason = "completed", ""
        case CallerGone():
            result, reason = "caller_gone", ""
        case NotRun(reason=reason):
            result = "not_run"
        case Failed(reason=reason):
            result = "failed"
    log_event(
        EventCode.ATTEMPT_ENDED,
        request=context.request.attempt_id,
        route=context.route.route_id,
        endpoint=endpoint_id,
        attempt=send,
        outcome=result,
        reason=reason,
    )


def log_path(
    context: RequestContext, path: Path, send: int, holders: int, revision: int, age_s: float
) -> None:
    """Log which path was chosen, out of how many holders and on how old a state."""
    parts = ",".join(
        f"{part.endpoint_id}={part.layers.first}-{part.layers.end}" for part in path.parts
    )
    log_event(
        EventCode.PATH_CHOSEN,
        request=context.request.attempt_id,
        attempt=send,
        path=parts,
        cost_ms=round(path.cost_ms, 1),
        first_token_ms=round(path.first_token_ms, 1),
        links=len(path.links),
        holders=holders,
        revision=revision,
        age_s=round(age_s, 3),
    )


def log_late_stream(
    context: RequestContext,
    endpoint_ids: tuple[EndpointId, ...],
    events: int,
    first_s: float,
    longest_pause_s: float,
) -> None:
    """Log a stream that was whole but later than its route's objectives."""
    pause_objective_s = context.route.pause_objective_s or math.inf
    if first_s <= context.route.objective_s and longest_pause_s <= pause_objective_s:
        return
    log_event(
        EventCode.STREAM_LATE,
        request=context.request.attempt_id,
        route=context.route.route_id,
        path=",".join(endpoint_ids),
        events=events,
        first_ms=round(first_s * 1_000),
        longest_pause_ms=round(longest_pause_s * 1_000),
    )


def log_refusal(
    attempt_id: str | None, route_id: str | None, refusal: GatewayRefusal, held_s: float
) -> None:
    """Log a request that the gateway itself has answered."""
    log_event(
        EventCode.REQUEST_REFUSED,
        request=attempt_id,
        route=route_id,
        code=refusal.code.value,
        outcome=refusal.promise.value,
        reason=refusal.detail,
        retry_after_s=refusal.retry_after_s,
        held_ms=round(held_s * 1_000),
    )
