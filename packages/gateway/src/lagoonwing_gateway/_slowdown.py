"""Slowdown of endpoints, measured from response times."""

from __future__ import annotations

from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import MAX_SLOWDOWN, SLOWDOWN_SMOOTHING


class SlowdownTracker:
    """Exponential moving average of observed over expected response time by endpoint."""

    def __init__(self) -> None:
        self._factor_by_id: dict[EndpointId, float] = {}

    @callback
    def observe(self, endpoint_id: EndpointId, seconds: float, expected_s: float) -> None:
        """Add an observation."""
        sample = min(MAX_SLOWDOWN, max(1.0, seconds / max(expected_s, 1e-3)))
        average = self._factor_by_id.get(endpoint_id, 1.0)
        self._factor_by_id[endpoint_id] = average + SLOWDOWN_SMOOTHING * (sample - average)

    def factor(self, endpoint_id: EndpointId) -> float:
        """Return the slowdown factor of an endpoint; 1 if there are no observations."""
        return self._factor_by_id.get(endpoint_id, 1.0)
