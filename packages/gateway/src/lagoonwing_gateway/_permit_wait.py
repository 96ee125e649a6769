"""The wait of one request for a permit, and when it is hopeless."""

from __future__ import annotations

from collections.abc import Collection

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, MemberId, ServiceId
from lagoonwing_gateway._endpoint_limiter import EndpointLimiter
from lagoonwing_gateway._permit_queue import Verdict, Waiter


class PermitWait:
    """A request that waits for a permit until a deadline.

    Attributes:
        waiter: The request among those that wait; None if it does not wait for a permit.
        expected_s: Expected wait, if that is too long.
    """

    def __init__(self, limiter: EndpointLimiter, clock: Clock, deadline: float) -> None:
        self.waiter: Waiter | None = None
        self.expected_s: float | None = None
        self._limiter = limiter
        self._patience_s = max(0.0, deadline - clock.now())
        self._may_refuse = False

    @callback
    def begin(
        self,
        service_id: ServiceId,
        member_id: MemberId,
        entry_ids: Collection[EndpointId],
        *,
        is_started: bool,
    ) -> None:
        """Join those that wait, unless the wait would be too long and all endpoints are limited.

        Args:
            service_id: Service of the request.
            member_id: Member of the request.
            entry_ids: Endpoints at which the request may enter.
            is_started: Whether the request is a stream of which the caller has a part.
        """
        self._may_refuse = not is_started and self._limiter.are_limited(entry_ids)
        expected_s = self._limiter.expected_wait_s(service_id, member_id, entry_ids)
        if self._may_refuse and expected_s > self._patience_s:
            self.expected_s = expected_s
            return
        self.waiter = Waiter(service_id, member_id, self._patience_s, is_started)
        self._limiter.join(self.waiter)

    @property
    def has_begun(self) -> bool:
        """Whether the request waits for a permit, or was found not to get one in time."""
        return self.waiter is not None or self.expected_s is not None

    @callback
    def end(self) -> None:
        """Leave those that wait."""
        if self.waiter is not None:
            self._limiter.leave(self.waiter)
            self.waiter = None

    def is_hopeless(self) -> bool:
        """Return whether the request can't be sent before the deadline."""
        waiter = self.waiter
        if waiter is not None and self._may_refuse and waiter.verdict is Verdict.HOPELESS:
            self.expected_s = waiter.backlog_s
        return self.expected_s is not None
