"""Log events for decisions on requests."""

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
    ResendObstacle,
)
from lagoonwing_placement import Path


def log_attempt(
    context: RequestContext, endpoint_id: EndpointId, send_number: int, outcome: AttemptOutcome
) -> None:
    """Log the outcome of an attempt, unless a first attempt completed."""
    match outcome:
        case Completed() if send_number == 1:
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
        attempt=send_number,
        outcome=result,
        reason=reason,
    )


def log_path(
    context: RequestContext,
    path: Path,
    send_number: int,
    holders: int,
    revision: int,
    age_s: float,
    load_age_s: float,
    unreported: float,
    told_suspects: int,
) -> None:
    """Log the chosen path and what the choice rests on.

    Args:
        context: Context of the request.
        path: Path that was chosen.
        send_number: Number of the attempt.
        holders: Number of candidate holders.
        revision: Revision of the catalog copy.
        age_s: Age of the catalog copy.
        load_age_s: Age of the load summary; infinite without any.
        unreported: Expected number of requests that others have started since their reports.
        told_suspects: Number of endpoints that are avoided because other gateways suspect them.
    """
    segments = ",".join(
        f"{segment.endpoint_id}={segment.layers.first}-{segment.layers.end}"
        for segment in path.segments
    )
    log_event(
        EventCode.PATH_CHOSEN,
        request=context.request.attempt_id,
        attempt=send_number,
        path=segments,
        cost_ms=round(path.cost_ms, 1),
        first_token_ms=round(path.first_token_ms, 1),
        pause_ms=round(path.pause_ms, 1),
        pipes=len(path.links),
        holders=holders,
        revision=revision,
        age_s=round(age_s, 3),
        load_age_s=None if math.isinf(load_age_s) else round(load_age_s, 3),
        unreported=round(unreported, 1),
        told_suspects=told_suspects,
    )


def log_late_stream(
    context: RequestContext,
    endpoint_ids: tuple[str, ...],
    events: int,
    first_event_s: float,
    longest_pause_s: float,
) -> None:
    """Log a completed stream that missed its route's latency objectives."""
    pause_objective_s = context.route.pause_objective_s or math.inf
    if first_event_s <= context.route.objective_s and longest_pause_s <= pause_objective_s:
        return
    log_event(
        EventCode.STREAM_LATE,
        request=context.request.attempt_id,
        route=context.route.route_id,
        path=",".join(endpoint_ids),
        events=events,
        first_ms=round(first_event_s * 1_000),
        longest_pause_ms=round(longest_pause_s * 1_000),
    )


def log_unserved_stream(
    context: RequestContext,
    endpoint_ids: tuple[EndpointId, ...],
    events: int,
    last_outcome: AttemptOutcome,
    obstacle: ResendObstacle,
    *,
    is_started: bool,
) -> None:
    """Log a stream that was sent and not completed, and why it was not sent again."""
    reason = last_outcome.reason if isinstance(last_outcome, NotRun | Failed) else ""
    log_event(
        EventCode.STREAM_UNSERVED,
        request=context.request.attempt_id,
        route=context.route.route_id,
        path=",".join(endpoint_ids),
        events=events,
        reason=reason,
        obstacle=obstacle.value,
        outcome="aborted" if is_started else "refused",
    )


def log_refusal(
    attempt_id: str | None, route_id: str | None, refusal: GatewayRefusal, duration_s: float
) -> None:
    """Log a request that the gateway refused itself."""
    log_event(
        EventCode.REQUEST_REFUSED,
        request=attempt_id,
        route=route_id,
        code=refusal.code.value,
        outcome=refusal.execution_state.value,
        reason=refusal.detail,
        retry_after_s=refusal.retry_after_s,
        held_ms=round(duration_s * 1_000),
    )
