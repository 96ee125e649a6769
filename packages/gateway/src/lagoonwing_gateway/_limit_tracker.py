"""Limits that endpoints named in their responses, here or at other gateways."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from lagoonwing_catalog import LimitLedger
from lagoonwing_catalog.messages import LimitExtract
from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import LIMIT_REFRESH_INTERVAL_S, MISDIRECTED_STATUS
from lagoonwing_gateway.models import ResponseInfo


class LimitTracker:
    """Knows the limit of each endpoint.

    Attributes:
        on_change: Called with each endpoint whose limit has changed.
    """

    def __init__(
        self, clock: Clock, records: Callable[[], Mapping[EndpointId, EndpointRecord]]
    ) -> None:
        """Create a tracker.

        Args:
            clock: Time source.
            records: Returns the records of all endpoints by id.
        """
        self._clock = clock
        self._records = records
        self._ledger = LimitLedger()
        self._sent_version = 0
        self._sent_at = 0.0
        self.on_change: Callable[[EndpointId], None] = _do_nothing

    @property
    def has_limits(self) -> bool:
        """Whether any endpoint has named a limit."""
        return len(self._ledger) > 0

    def rate(self, endpoint_id: EndpointId) -> float | None:
        """Return the limit of an endpoint in requests per second, if it has one."""
        if not len(self._ledger):
            return None
        record = self._records().get(endpoint_id)
        return None if record is None else self._ledger.rate(record)

    def rate_by_id(self) -> dict[EndpointId, float]:
        """Return the limits in force, in requests per second."""
        return self._ledger.rate_by_id(self._records())

    @callback
    def record_response(self, endpoint: EndpointRecord, info: ResponseInfo) -> None:
        """Record what a response says of its endpoint's limit."""
        if info.named_limit is None or info.status == MISDIRECTED_STATUS:
            return
        if self._ledger.observe(endpoint, info.named_limit.rate, self._clock.now()):
            self._handle_change(endpoint.endpoint_id, "response")

    @callback
    def merge(self, extract: LimitExtract) -> None:
        """Merge what other gateways know."""
        for endpoint_id in self._ledger.merge(extract, self._clock.now()):
            self._handle_change(endpoint_id, "told")

    @callback
    def discard_gone(self) -> None:
        """Discard the limits of endpoints that are gone."""
        self._ledger.expire(self._clock.now())
        self._ledger.discard_gone(self._records())

    @callback
    def take_extract(self, *, is_new_receiver: bool) -> LimitExtract | None:
        """Return an extract to send; None if the receiver knows it already."""
        now = self._clock.now()
        if not len(self._ledger):
            return None
        is_due = now >= self._sent_at + LIMIT_REFRESH_INTERVAL_S
        if self._ledger.version == self._sent_version and not is_due and not is_new_receiver:
            return None
        self._sent_version = self._ledger.version
        self._sent_at = now
        return self._ledger.extract(now)

    def _handle_change(self, endpoint_id: EndpointId, source: str) -> None:
        """Log the limit of an endpoint after it has changed, and tell who wants to know."""
        self.on_change(endpoint_id)
        log_event(
            EventCode.ENDPOINT_LIMIT_CHANGED,
            endpoint=endpoint_id,
            rate=self.rate(endpoint_id),
            source=source,
            limited=len(self.rate_by_id()),
        )


def _do_nothing(endpoint_id: EndpointId) -> None:
    """Do nothing until somebody wants to know of changes."""
