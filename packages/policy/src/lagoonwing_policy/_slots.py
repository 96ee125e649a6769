"""Slots that this entry host uses on each endpoint."""

from __future__ import annotations

from collections.abc import Mapping

from lagoonwing_core.ids import EndpointId, RequestId
from lagoonwing_policy._protocols import EndpointUse
from lagoonwing_policy.fairness import LongWorkBounds
from lagoonwing_policy.models import Priority, Route, RouteStage


class SlotTable:
    """Counts attempts in flight by endpoint; exact, unlike load reports."""

    def __init__(self, long_work: LongWorkBounds) -> None:
        self.long_work = long_work
        self._use_by_id: dict[EndpointId, EndpointUse] = {}
        self._requests_by_id: dict[EndpointId, set[RequestId]] = {}

    @property
    def use_by_id(self) -> Mapping[EndpointId, EndpointUse]:
        """Return the use of every endpoint with attempts in flight."""
        return self._use_by_id

    def running_on(self, endpoint_id: EndpointId) -> list[RequestId]:
        """Return the requests in flight on an endpoint, sorted by id."""
        return sorted(self._requests_by_id.get(endpoint_id, ()))

    def in_flight(self, endpoint_id: EndpointId) -> int:
        """Return the number of attempts in flight on an endpoint."""
        use = self._use_by_id.get(endpoint_id)
        return use.running if use else 0

    def acquire(self, request_id: RequestId, route: Route) -> None:
        """Add an attempt on every endpoint of its route."""
        for stage in route.stages:
            self.acquire_stage(request_id, route, stage)

    def release(self, request_id: RequestId, route: Route) -> None:
        """Remove an attempt from every endpoint of its route."""
        for stage in route.stages:
            self.release_stage(request_id, route, stage)

    def acquire_stage(self, request_id: RequestId, route: Route, stage: RouteStage) -> None:
        """Add an attempt on one endpoint."""
        use = self._use_by_id.setdefault(stage.endpoint_id, EndpointUse())
        use.running += 1
        use.exclusive = use.exclusive or route.exclusive
        self._requests_by_id.setdefault(stage.endpoint_id, set()).add(request_id)
        if route.priority is Priority.LONG:
            use.long_running += 1
            self.long_work.started(stage.endpoint_id)

    def release_stage(self, request_id: RequestId, route: Route, stage: RouteStage) -> None:
        """Remove an attempt from one endpoint."""
        use = self._use_by_id[stage.endpoint_id]
        use.running -= 1
        use.exclusive = use.exclusive and not route.exclusive
        self._requests_by_id[stage.endpoint_id].discard(request_id)
        if route.priority is Priority.LONG:
            use.long_running -= 1
            self.long_work.ended(stage.endpoint_id)
        if not use.running:
            del self._use_by_id[stage.endpoint_id]
            del self._requests_by_id[stage.endpoint_id]
