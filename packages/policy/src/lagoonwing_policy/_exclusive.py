"""Reservation of endpoints for one request that must run alone."""

from __future__ import annotations

from lagoonwing_core.ids import EndpointId, RequestId
from lagoonwing_policy.models import Route

NO_ENDPOINTS: frozenset[EndpointId] = frozenset()


class ExclusiveReservation:
    """Drains a route for one request at a time.

    Without a reservation the endpoints of a busy cluster would never become idle.
    """

    def __init__(self) -> None:
        self._request_id: RequestId | None = None
        self._endpoints = NO_ENDPOINTS

    def is_free(self) -> bool:
        """Return whether no request holds a reservation."""
        return self._request_id is None

    def acquire(self, request_id: RequestId, route: Route) -> None:
        """Reserve the endpoints of a route."""
        self._request_id = request_id
        self._endpoints = frozenset(stage.endpoint_id for stage in route.stages)

    def release(self, request_id: RequestId) -> bool:
        """Release the reservation; return whether this request held it."""
        if self._request_id != request_id:
            return False
        self._request_id = None
        self._endpoints = NO_ENDPOINTS
        return True

    def blocked_for(self, request_id: RequestId) -> frozenset[EndpointId]:
        """Return the endpoints that are reserved for another request."""
        return NO_ENDPOINTS if request_id == self._request_id else self._endpoints
