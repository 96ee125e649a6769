"""What endpoints say of themselves in their answers, and whether they may get a request.

Everything that chooses an endpoint, or keeps one, asks here: a leave holds until another
incarnation, a pause until it ends, both for this gateway alone. A named limit concerns all gateways
together, so the permits of the limiter decide further.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._limit_tracker import LimitTracker
from lagoonwing_gateway.const import MAX_PAUSE_S, MAX_RETURN_SPREAD_S, RETURN_SPREAD_SHARE
from lagoonwing_gateway.models import ResponseInfo


@dataclass(slots=True)
class _Notice:
    """What one incarnation of an endpoint said.

    Attributes:
        started_ms: Start time of the incarnation.
        is_leaving: Whether it takes no new requests any more.
        paused_until: Time until which it wants none.
    """

    started_ms: int
    is_leaving: bool = False
    paused_until: float = -math.inf


class EndpointNotices:
    """Holds by endpoint what its answers said of itself."""

    def __init__(
        self,
        limits: LimitTracker,
        records: Callable[[], Mapping[EndpointId, EndpointRecord]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create the table.

        Args:
            limits: Limits that endpoints named.
            records: Returns the records of all endpoints by id.
            clock: Time source.
            rng: Random source for the return after a pause.
        """
        self._limits = limits
        self._records = records
        self._clock = clock
        self._rng = rng
        self._notice_by_id: dict[EndpointId, _Notice] = {}
        self._listeners: list[Callable[[EndpointRecord], None]] = []

    @callback
    def add_listener(self, listener: Callable[[EndpointRecord], None]) -> None:
        """Register a callback for each endpoint that takes no requests from now on."""
        self._listeners.append(listener)

    @callback
    def record_response(self, endpoint: EndpointRecord, info: ResponseInfo) -> None:
        """Record what a response says of its endpoint."""
        self._limits.record_response(endpoint, info)
        if info.is_leaving:
            self._record_leave(endpoint)
        if info.pause_s is not None:
            self._record_pause(endpoint, info.pause_s)

    def may_send(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint may get a request now, as far as it says itself."""
        return endpoint_id not in self._notice_by_id or self.ready_in_s(endpoint_id) <= 0.0

    def ready_in_s(self, endpoint_id: EndpointId) -> float:
        """Return the time until an endpoint takes requests; infinite if it leaves."""
        notice = self._notice(endpoint_id)
        if notice is None:
            return 0.0
        if notice.is_leaving:
            return math.inf
        return max(0.0, notice.paused_until - self._clock.now())

    def all_ready_in_s(self, endpoint_ids: Iterable[EndpointId]) -> float:
        """Return the time until the first of some endpoints takes requests; 0 without any."""
        return min((self.ready_in_s(endpoint_id) for endpoint_id in endpoint_ids), default=0.0)

    @property
    def leaving_count(self) -> int:
        """Number of endpoints that leave."""
        return sum(
            math.isinf(self.ready_in_s(endpoint_id)) for endpoint_id in list(self._notice_by_id)
        )

    @property
    def paused_count(self) -> int:
        """Number of endpoints that want a pause now."""
        return sum(
            0.0 < self.ready_in_s(endpoint_id) < math.inf
            for endpoint_id in list(self._notice_by_id)
        )

    @callback
    def discard_gone(self) -> None:
        """Discard what was said by incarnations that are gone."""
        for endpoint_id in list(self._notice_by_id):
            if self._notice(endpoint_id) is None:
                del self._notice_by_id[endpoint_id]

    def _notice(self, endpoint_id: EndpointId) -> _Notice | None:
        """Return what the current incarnation of an endpoint said, if anything."""
        notice = self._notice_by_id.get(endpoint_id)
        if notice is None:
            return None
        record = self._records().get(endpoint_id)
        return notice if record is not None and record.started_ms == notice.started_ms else None

    def _open_notice(self, endpoint: EndpointRecord) -> _Notice | None:
        """Return the notice of an incarnation to be changed; None if a later one is known."""
        notice = self._notice_by_id.get(endpoint.endpoint_id)
        if notice is not None and notice.started_ms > endpoint.started_ms:
            return None
        if notice is None or notice.started_ms < endpoint.started_ms:
            notice = _Notice(endpoint.started_ms)
            self._notice_by_id[endpoint.endpoint_id] = notice
        return notice

    @callback
    def _record_leave(self, endpoint: EndpointRecord) -> None:
        """Record that an endpoint leaves; nothing but another incarnation undoes it."""
        notice = self._open_notice(endpoint)
        if notice is None or notice.is_leaving:
            return
        notice.is_leaving = True
        self._log(endpoint, "leaving", None)

    @callback
    def _record_pause(self, endpoint: EndpointRecord, pause_s: float) -> None:
        """Record that an endpoint wants a pause from now on; the latest word holds.

        The gateway comes back a little later, so that not all of them return at once.
        """
        notice = self._open_notice(endpoint)
        if notice is None:
            return
        was_paused = notice.paused_until > self._clock.now()
        pause_s = min(pause_s, MAX_PAUSE_S)
        spread_s = min(MAX_RETURN_SPREAD_S, RETURN_SPREAD_SHARE * pause_s)
        notice.paused_until = self._clock.now() + pause_s + self._rng.random() * spread_s
        if not was_paused:
            self._log(endpoint, "paused", pause_s)

    def _log(self, endpoint: EndpointRecord, state: str, pause_s: float | None) -> None:
        """Log that an endpoint takes no requests from now on, and tell who wants to know."""
        log_event(
            EventCode.ENDPOINT_DECLINES,
            endpoint=endpoint.endpoint_id,
            service=endpoint.service_id,
            state=state,
            seconds=pause_s,
        )
        for listener in self._listeners:
            listener(endpoint)
