"""Finds the route, the member and the service of a request."""

from __future__ import annotations

import random
from collections import defaultdict

from lagoonwing_admission import FirstAttempts
from lagoonwing_catalog.models import Route, Service
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import RouteId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_gateway._refusals import permanent_refusal, startup_refusal
from lagoonwing_gateway.models import CallerRequest, GatewayRefusal, RequestContext


class RequestResolver:
    """Resolves requests by the document in force."""

    def __init__(self, follower: CatalogFollower, clock: Clock, rng: random.Random) -> None:
        self._follower = follower
        self._clock = clock
        self._rng = rng
        self._started_at = clock.now()
        self._first_attempts_by_route: defaultdict[RouteId, FirstAttempts] = defaultdict(
            FirstAttempts
        )

    def resolve(self, request: CallerRequest) -> RequestContext | GatewayRefusal:
        """Return the route and member of a request, or its refusal."""
        routes = self._follower.routes
        if routes is None:
            return startup_refusal(self._clock.now() - self._started_at, self._rng)
        route = routes.match(request.host, request.path)
        if route is None:
            return permanent_refusal(
                ResultCode.NOT_FOUND, f"no route for {request.host}{request.path}"
            )
        member = None
        if not route.is_public and routes.requires_keys:
            member = routes.member_by_key(request.key) if request.key is not None else None
            if member is None:
                return permanent_refusal(ResultCode.BAD_KEY, "the key is not known")
        if request.attempt_id is None:
            return permanent_refusal(ResultCode.MALFORMED_REQUEST, "the request has no id")
        budget_s = route.timeout_s
        if request.budget_s is not None:
            budget_s = min(budget_s, request.budget_s)
        first_attempt_at = request.received_at
        if request.handed_over is not None:
            first_attempt_at -= request.handed_over.first_attempt_age_s
        elif request.budget_s is not None:
            first_attempts = self._first_attempts_by_route[route.route_id]
            first_attempt_at = first_attempts.first_attempt(request.budget_s, first_attempt_at)
        return RequestContext(
            request, route, member, request.received_at + budget_s, first_attempt_at
        )

    def service(self, route: Route) -> Service | None:
        """Return a service of a route, selected randomly by weight."""
        routes = self._follower.routes
        assert routes is not None
        splits = [split for split in route.splits if split.weight > 0]
        if len(splits) == 1:
            return routes.service_by_id.get(splits[0].service_id)
        selected = self._rng.choices(splits, [split.weight for split in splits])[0]
        return routes.service_by_id.get(selected.service_id)
