"""How much slower endpoints work than they should, from what callers' answers show."""

from __future__ import annotations

from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import MAX_SLOWNESS, SLOWNESS_GAIN


class Pace:
    """Moving mean of observed over expected time by endpoint."""

    def __init__(self) -> None:
        self._slowness_by_id: dict[EndpointId, float] = {}

    @callback
    def observe(self, endpoint_id: EndpointId, seconds: float, expected_s: float) -> None:
        """Take one observation."""
        sample = min(MAX_SLOWNESS, max(1.0, seconds / max(expected_s, 1e-3)))
        known = self._slowness_by_id.get(endpoint_id, 1.0)
        self._slowness_by_id[endpoint_id] = known + SLOWNESS_GAIN * (sample - known)

    def slowness(self, endpoint_id: EndpointId) -> float:
        """Return the factor by which an endpoint is slower; 1 if nothing is known."""
        return self._slowness_by_id.get(endpoint_id, 1.0)
