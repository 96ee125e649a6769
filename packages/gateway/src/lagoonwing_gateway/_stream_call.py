"""A stream requested by a caller, and how far it has come."""

from __future__ import annotations

from dataclasses import dataclass, field

from lagoonwing_catalog.models import Engine, Service
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._final_response import KeptFailure
from lagoonwing_gateway._plain_service import PLAIN_ENGINE, layered_engine
from lagoonwing_gateway.const import CALL_COST
from lagoonwing_gateway.models import NotAdmitted, RequestContext, RequestFailure
from lagoonwing_gateway.ports import Responder
from lagoonwing_placement import PathBounds, RequestSize


@dataclass(slots=True)
class StreamProgress:
    """Progress of a stream towards its caller.

    Attributes:
        failure: What an endpoint that may have run the request answered, if anything.
        started: Whether the response head was sent to the caller.
        last_event_id: Id of the last event sent to the caller.
        events: Number of events sent to the caller.
        last_event_at: Time at which the last event was sent.
        first_event_s: Time from the request to the first event.
        longest_pause_s: Longest time between two events.
        send_count: Number of times that the request was sent to an endpoint.
        endpoint_ids: Endpoints of the path to which it was sent last.
        excluded: Endpoints that must not be used again for the request.
        failures: Endpoints that failed the request since it was served last.
        limit_wait_s: Expected wait for a permit, if that kept the request from being sent.
        not_admitted: Why there was no capacity, if that kept the request from being sent.
    """

    failure: KeptFailure
    started: bool = False
    last_event_id: str | None = None
    events: int = 0
    last_event_at: float = 0.0
    first_event_s: float = 0.0
    longest_pause_s: float = 0.0
    send_count: int = 0
    endpoint_ids: tuple[EndpointId, ...] = ()
    excluded: set[EndpointId] = field(default_factory=set)
    failures: list[RequestFailure] = field(default_factory=list)
    limit_wait_s: float | None = None
    not_admitted: NotAdmitted | None = None


@dataclass(frozen=True, slots=True)
class StreamCall:
    """A stream requested by a caller."""

    context: RequestContext
    service: Service
    size: RequestSize
    responder: Responder
    progress: StreamProgress

    @property
    def cost(self) -> float:
        """Cost of the stream, as in load reports."""
        return CALL_COST if self.is_plain else float(self.size.tokens)

    @property
    def mean_cost(self) -> float:
        """Mean cost of the service's streams."""
        if self.is_plain:
            return CALL_COST
        # Published means may be zero.
        return max(1.0, self.engine.mean_prompt_tokens + self.engine.mean_output_tokens)

    @property
    def engine(self) -> Engine:
        """Published figures of the service, or those that stand for one without layers."""
        return layered_engine(self.service) or PLAIN_ENGINE

    @property
    def is_plain(self) -> bool:
        """Whether one endpoint runs the whole request."""
        return self.engine is PLAIN_ENGINE

    @property
    def path_bounds(self) -> PathBounds | None:
        """Times that load must not make its path exceed; none without layers or pause objective.

        A stream that has been sent is sent again on any path, as late is better than broken off.
        """
        route = self.context.route
        if self.is_plain or self.progress.send_count or not route.pause_objective_s:
            return None
        return PathBounds(max(1.0, route.objective_s * 1_000), route.pause_objective_s * 1_000)
