"""Table of the requests that the scheduler tracks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from lagoonwing_admission import CostClass, OrderedSet, WorkId
from lagoonwing_core.ids import Attempt, EndpointId, MemberId, RequestId
from lagoonwing_policy.models import ModelWork, Priority, RequestProfile, Route, ServiceWork


class RequestState(Enum):
    """State of a request."""

    QUEUED = "queued"
    BYPASS = "aside"
    RUNNING = "running"
    RETRY_SCHEDULED = "retry_due_later"
    AWAITING_SUSPECT_RECORD = "awaiting_suspect_record"


@dataclass(slots=True)
class RequestEntity:
    """One request from its submission to its last command.

    Attributes:
        pool: Key of the endpoints that can run the request.
        priority: Cost class of the request.
        cost: Expected cost, in generated tokens.
        start_charge: Part of the cost that is charged to the member at the start; the rest is
            charged during generation.
        tokens_reserved: Tokens that count against the member's cap from the start.
        output_expected: Expected number of generated tokens.
        enqueued: Time of submission.
        latest_start: Time after which the request can't complete by its deadline.
        counts_against_caps: Whether the request counts against its member's caps, which it does
            from its first start to its end.
        started: Start time of the current attempt.
        attempt: Number of the current or last attempt; 0 before the first.
        route: Route of the running attempt.
        excluded: Endpoints on which the request has failed.
        tokens: Tokens relayed to the caller so far.
        output_charged: Generated tokens charged to the member in the fair queue so far.
        output_reserved: Generated tokens counted against the member's cap so far.
    """

    profile: RequestProfile
    pool: str = ""
    priority: Priority = Priority.NORMAL
    cost: float = 0.0
    start_charge: float = 0.0
    tokens_reserved: float = 0.0
    output_expected: float = 0.0
    enqueued: float = 0.0
    latest_start: float = float("inf")
    counts_against_caps: bool = False
    started: float = 0.0
    state: RequestState = RequestState.QUEUED
    attempt: Attempt = Attempt(0)
    route: Route | None = None
    excluded: frozenset[EndpointId] = field(default_factory=frozenset)
    tokens: int = 0
    output_charged: float = 0.0
    output_reserved: float = 0.0

    @property
    def work_id(self) -> WorkId:
        """Return the id in the queue."""
        return WorkId(self.profile.request_id)

    @property
    def member_id(self) -> MemberId:
        """Return the member that is charged."""
        return self.profile.member_id

    @property
    def rank(self) -> int:
        """Return the rank, which is the same for all requests of an entry host."""
        return 0

    @property
    def cost_class(self) -> CostClass:
        """Return the cost class."""
        return self.priority

    @property
    def due(self) -> float:
        """Return the time by which the member's requests of one class are ordered."""
        return self.enqueued


class RequestTable:
    """Requests by id, and waiting requests ordered by latest start."""

    def __init__(self) -> None:
        self._entity_by_id: dict[RequestId, RequestEntity] = {}
        # Latest start and id of each waiting request.
        self._waiting: OrderedSet[tuple[float, RequestId]] = OrderedSet()

    def __len__(self) -> int:
        """Return the number of tracked requests."""
        return len(self._entity_by_id)

    def __iter__(self) -> Iterator[RequestEntity]:
        """Iterate over all requests."""
        return iter(self._entity_by_id.values())

    def get(self, request_id: RequestId) -> RequestEntity | None:
        """Return a request by id."""
        return self._entity_by_id.get(request_id)

    def counts(self) -> Counter[tuple[str, MemberId]]:
        """Return the number of requests by pool and member."""
        return Counter((entity.pool, entity.profile.member_id) for entity in self)

    def add(self, entity: RequestEntity) -> None:
        """Add a waiting request."""
        self._entity_by_id[entity.profile.request_id] = entity
        self.track_deadline(entity)

    def remove(self, entity: RequestEntity) -> None:
        """Remove a request."""
        self.untrack_deadline(entity)
        del self._entity_by_id[entity.profile.request_id]

    def track_deadline(self, entity: RequestEntity) -> None:
        """Track the latest start of a waiting request."""
        self.untrack_deadline(entity)
        self._waiting.add((entity.latest_start, entity.profile.request_id))

    def untrack_deadline(self, entity: RequestEntity) -> None:
        """Stop tracking the latest start of a request."""
        self._waiting.discard((entity.latest_start, entity.profile.request_id))

    def earliest_overdue(self, now: float) -> RequestEntity | None:
        """Return the waiting request with the earliest latest start, if that has passed."""
        first = self._waiting.first()
        if first is None or first[0] > now:
            return None
        return self._entity_by_id[first[1]]


def pool_key(profile: RequestProfile) -> str:
    """Return the key of the pool that serves a request."""
    match profile.work:
        case ModelWork(model_id=model_id):
            return f"model/{model_id}"
        case ServiceWork(service_id=service_id):
            return f"service/{service_id}"
