"""Table of the requests that the scheduler holds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from lagoonwing_core.ids import Attempt, EndpointId
from lagoonwing_policy.models import Priority, RequestProfile, Route


class RequestState(Enum):
    """Where a request stands."""

    QUEUED = "queued"
    RUNNING = "running"
    RETRY_DUE_LATER = "retry_due_later"
    AWAITING_SUSPECT_RECORD = "awaiting_suspect_record"


@dataclass(slots=True)
class RequestEntity:
    """One request from its submission to its last command.

    Attributes:
        priority: Class of the request, by its estimated cost.
        attempt: Number of the current or last attempt; 0 before the first.
        route: Route of the running attempt.
        excluded: Endpoints that failed this request.
        tokens: Tokens relayed to the caller so far.
    """

    profile: RequestProfile
    priority: Priority = Priority.NORMAL
    state: RequestState = RequestState.QUEUED
    attempt: Attempt = Attempt(0)
    route: Route | None = None
    excluded: frozenset[EndpointId] = field(default_factory=frozenset)
    tokens: int = 0
