"""Admission requests of streams and calls: rank, cost and how long the caller waits."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_admission import CostClass, WorkId
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import AttemptId, MemberId, RouteId, ServiceId
from lagoonwing_gateway.const import (
    CALL_COST,
    CALLER_EVENT_TIMEOUT_S,
    EVENT_TIMEOUT_OBJECTIVES,
    EVENT_TIMEOUT_PAUSES,
    MAX_RETRY_AFTER_SHARE,
    MIN_TIME_TO_SEND_S,
    STARTED_STREAM_RANK,
    STARTED_STREAM_WAIT_S,
)
from lagoonwing_gateway.models import RequestContext
from lagoonwing_placement import RequestSize


@dataclass(slots=True, eq=False)
class AdmissionRequest:
    """A request as the admission core sees it.

    Attributes:
        rank: Urgency; lower ranks start first.
        cost: Tokens of a stream; a constant for a call.
        submitted: Time at which this gateway received the request or its stream was interrupted.
        enqueued: Time of the caller's first attempt.
        due: Time by which the caller wants the first event or the response.
        latest_start: Time after which its caller would disconnect before the first event, or before
            the response of a call could be ready.
        deadline: Time by which the caller must have the final response.
    """

    work_id: WorkId
    attempt_id: AttemptId | None
    route_id: RouteId
    service_id: ServiceId
    member_id: MemberId
    rank: int
    cost: float
    submitted: float
    enqueued: float
    due: float
    latest_start: float
    deadline: float
    cost_class: CostClass = CostClass.NORMAL

    @property
    def start_charge(self) -> float:
        """Cost that its member is charged at the start."""
        return self.cost

    @callback
    def limit_wait(self, wait_s: float) -> None:
        """Shorten the time for which the request may wait; it must not wait yet."""
        self.latest_start = min(self.latest_start, self.submitted + wait_s)

    def longest_retry_after_s(self, now: float) -> float:
        """Return the longest Retry-After that its caller honours."""
        return max(0.0, self.deadline - now) * MAX_RETRY_AFTER_SHARE


def caller_event_timeout_s(context: RequestContext) -> float:
    """Return the time without events after which the caller of a stream disconnects."""
    route = context.route
    return max(
        CALLER_EVENT_TIMEOUT_S,
        EVENT_TIMEOUT_OBJECTIVES * route.objective_s,
        EVENT_TIMEOUT_PAUSES * (route.pause_objective_s or 0.0),
    )


def stream_admission(
    work_id: WorkId,
    context: RequestContext,
    service_id: ServiceId,
    size: RequestSize,
    now: float,
    *,
    is_started: bool,
) -> AdmissionRequest:
    """Return the admission request of a stream.

    Args:
        work_id: Id of the request among those that wait.
        context: The request.
        service_id: Service that it needs.
        size: Its expected size.
        now: Current time in seconds.
        is_started: Whether the caller has received a part of the stream.
    """
    route = context.route
    if is_started:
        latest_start = now + STARTED_STREAM_WAIT_S
    else:
        timeout_s = caller_event_timeout_s(context)
        latest_start = context.request.received_at + timeout_s - route.objective_s
    return AdmissionRequest(
        work_id,
        context.request.attempt_id,
        route.route_id,
        service_id,
        context.member_id,
        STARTED_STREAM_RANK if is_started else context.rank,
        float(size.tokens),
        submitted=now,
        enqueued=context.first_attempt_at,
        due=context.first_attempt_at + route.objective_s,
        latest_start=min(latest_start, context.deadline - MIN_TIME_TO_SEND_S),
        deadline=context.deadline,
    )


def call_admission(
    work_id: WorkId,
    context: RequestContext,
    service_id: ServiceId,
    now: float,
) -> AdmissionRequest:
    """Return the admission request of a call."""
    objective_s = context.route.objective_s
    return AdmissionRequest(
        work_id,
        context.request.attempt_id,
        context.route.route_id,
        service_id,
        context.member_id,
        context.rank,
        CALL_COST,
        submitted=now,
        enqueued=context.first_attempt_at,
        due=context.first_attempt_at + objective_s,
        latest_start=context.deadline - max(objective_s, MIN_TIME_TO_SEND_S),
        deadline=context.deadline,
    )
