"""Limits that endpoints named in their responses."""

from __future__ import annotations

from lagoonwing_catalog import LimitLedger
from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import MISDIRECTED_STATUS
from lagoonwing_gateway.models import ResponseInfo


class LimitTracker:
    """Knows the limit of each endpoint."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ledger = LimitLedger()

    def rate_by_id(self) -> dict[EndpointId, float]:
        """Return the limits in force, in requests per second."""
        return self._ledger.rate_by_id()

    @callback
    def record_response(self, endpoint: EndpointRecord, info: ResponseInfo) -> None:
        """Record what a response says of its endpoint's limit."""
        if info.named_limit is None or info.status == MISDIRECTED_STATUS:
            return
        if self._ledger.observe(
            endpoint.endpoint_id, endpoint.started_ms, info.named_limit.rate, self._clock.now()
        ):
            self._log_change(endpoint.endpoint_id, "response")

    def _log_change(self, endpoint_id: EndpointId, source: str) -> None:
        """Log the limit of an endpoint after it has changed."""
        log_event(
            EventCode.ENDPOINT_LIMIT_CHANGED,
            endpoint=endpoint_id,
            rate=self._ledger.rate(endpoint_id),
            source=source,
            limited=len(self._ledger.rate_by_id()),
        )
