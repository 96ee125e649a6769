"""Decides before each send whether an endpoint that named a limit may get the request.

The limit binds all gateways together, so the leader of the registry issues permits on demand. A
gateway that is cut off from the leader uses a share of its even part of the limit.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from lagoonwing_catalog.messages import PermitDemand, PermitGrant, ServiceDemand
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, MemberId, ServiceId
from lagoonwing_gateway._limit_tracker import LimitTracker
from lagoonwing_gateway._permit_pool import Permit, PermitPool
from lagoonwing_gateway._permit_queue import PermitQueue, Waiter
from lagoonwing_gateway.const import (
    CUT_OFF_BURST_S,
    CUT_OFF_MEMORY_S,
    CUT_OFF_SHARE,
    DEMAND_REFRESH_INTERVAL_S,
    EXPECTATION_HORIZON_S,
    EXPECTATION_WINDOW_S,
    GRANT_TIMEOUT_S,
)


@dataclass(slots=True)
class _ServiceState:
    """Requests of one service whose endpoints are limited.

    Attributes:
        requested_at: Times of recent requests.
        has_sound_entry: Whether an endpoint without a limit was left at the last request.
        received: Permits received so far.
    """

    queue: PermitQueue
    pool: PermitPool
    requested_at: deque[float] = field(default_factory=deque)
    received: int = 0
    has_sound_entry: bool = False

    def expected(self, now: float) -> int:
        """Return the number of requests that are expected soon."""
        while self.requested_at and self.requested_at[0] < now - EXPECTATION_WINDOW_S:
            self.requested_at.popleft()
        expected = len(self.requested_at) / EXPECTATION_WINDOW_S * EXPECTATION_HORIZON_S
        # Where each endpoint is limited, a request that comes unexpected waits for a permit, and
        # one that is held in vain is lost for those that wait.
        return math.ceil(expected) if self.has_sound_entry else math.floor(expected)

    def label_check(
        self, member_id: MemberId, waiter: Waiter | None
    ) -> Callable[[MemberId | None], bool]:
        """Return a predicate that checks whether a request may use a permit by its label."""
        if waiter is None and self.queue.has_waiters(member_id):
            return _is_never_allowed
        if waiter is not None and self.queue.place(waiter) >= self._usable_count(member_id):
            return _is_never_allowed
        return lambda label: label == member_id or not self.queue.has_waiters(label)

    def _usable_count(self, member_id: MemberId) -> int:
        """Return the number of permits on hand that requests of a member may use."""
        return sum(
            count
            for label, count in self.pool.counts_by_member().items()
            if label == member_id or not self.queue.has_waiters(label)
        )


@dataclass(slots=True)
class _CutOffCredit:
    """Part of an endpoint's limit that this gateway uses while it is cut off.

    Attributes:
        amount: Permits saved up, possibly a fraction of one.
    """

    amount: float
    updated_at: float


class EndpointLimiter:
    """Permits of this gateway, and the requests that wait for them."""

    def __init__(
        self,
        limits: LimitTracker,
        clock: Clock,
        rng: random.Random,
        gateways: Callable[[], int],
        is_connected: Callable[[], bool],
    ) -> None:
        """Create a limiter.

        Args:
            limits: Limits of the endpoints.
            clock: Time source.
            rng: Random source.
            gateways: Returns the number of live gateways.
            is_connected: Returns whether the registry is reachable.
        """
        self.demand_changed = asyncio.Event()
        self._limits = limits
        self._clock = clock
        self._rng = rng
        self._gateways = gateways
        self._is_connected = is_connected
        self._state_by_service: dict[ServiceId, _ServiceState] = {}
        self._credit_by_id: dict[EndpointId, _CutOffCredit] = {}
        self._last_demand: dict[ServiceId, ServiceDemand] = {}
        self._demand_number = 0
        self._demand_sent_at = -math.inf
        self._asked_at = -math.inf
        self._unanswered_since: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether any endpoint has named a limit."""
        return self._limits.has_limits

    @callback
    def record_request(self, service_id: ServiceId, entry_ids: Iterable[EndpointId]) -> None:
        """Record a request to a service, if any of its endpoints is limited."""
        if not self._limits.has_limits:
            return
        all_ids = list(entry_ids)
        limited_ids = self._limited(all_ids)
        if not limited_ids:
            return
        state = self._state(service_id)
        state.requested_at.append(self._clock.now())
        state.has_sound_entry = len(limited_ids) < len(all_ids)
        self.demand_changed.set()

    def entry_check(
        self, service_id: ServiceId, member_id: MemberId, waiter: Waiter | None
    ) -> Callable[[EndpointId], bool]:
        """Return a predicate that checks whether a request may be sent to an endpoint now.

        Args:
            service_id: Service of the request.
            member_id: Member of the request.
            waiter: The request among those that wait, if it does.
        """
        if not self._limits.has_limits:
            return _is_always_allowed
        state = self._state(service_id)

        def may_enter(endpoint_id: EndpointId) -> bool:
            if self._limits.rate(endpoint_id) is None:
                return True
            self._earn_while_cut_off(state, endpoint_id)
            may_use = state.label_check(member_id, waiter)
            return any(may_use(permit.member_id) for permit in state.pool.permits(endpoint_id))

        return may_enter

    @callback
    def take(
        self,
        endpoint_id: EndpointId,
        service_id: ServiceId,
        member_id: MemberId,
        waiter: Waiter | None,
    ) -> Permit | None:
        """Take the permit for a request that `entry_check` has allowed; None if none is needed."""
        if self._limits.rate(endpoint_id) is None:
            return None
        state = self._state(service_id)
        return state.pool.take(endpoint_id, state.label_check(member_id, waiter))

    @callback
    def give_back(self, permit: Permit | None) -> None:
        """Return the permit of a request that was not sent."""
        if permit is not None:
            self._state(permit.service_id).pool.give_back(permit)

    def are_limited(self, endpoint_ids: Collection[EndpointId]) -> bool:
        """Return whether all of some endpoints are limited."""
        return len(endpoint_ids) > 0 and len(self._limited(endpoint_ids)) == len(endpoint_ids)

    @callback
    def join(self, waiter: Waiter) -> None:
        """Let a request wait for a permit."""
        self._state(waiter.service_id).queue.join(waiter)
        self.demand_changed.set()

    @callback
    def leave(self, waiter: Waiter) -> None:
        """End the wait of a request."""
        self._state(waiter.service_id).queue.leave(waiter)
        self.demand_changed.set()

    def expected_wait_s(
        self, service_id: ServiceId, member_id: MemberId, entry_ids: Iterable[EndpointId]
    ) -> float:
        """Return how long a further request of a member would wait for a permit.

        It is 0 if only the leader can tell; a request that waits is then told.
        """
        queue = self._state(service_id).queue
        if not self._is_cut_off():
            return queue.expected_wait_s(member_id, self._clock.now())
        rates = (self._limits.rate(endpoint_id) for endpoint_id in entry_ids)
        own_part = CUT_OFF_SHARE / max(1, self._gateways())
        own_rate = own_part * sum(rate for rate in rates if rate is not None)
        return (queue.length() + 1) / own_rate if own_rate else math.inf

    @callback
    def record_grant(self, grant: PermitGrant) -> None:
        """Store the permits of the leader."""
        self._unanswered_since = None
        self._credit_by_id.clear()
        for service_id, service_grant in grant.grant_by_service.items():
            state = self._state(service_id)
            state.received += len(service_grant.permits)
            for permit in service_grant.permits:
                rate = self._limits.rate(permit.endpoint_id)
                state.pool.add(permit.endpoint_id, permit.member_id, rate)
            on_hand = state.pool.counts_by_member()
            state.queue.judge(grant.number, service_grant, on_hand, self._clock.now())

    @callback
    def take_demand(self) -> PermitDemand | None:
        """Return the demand to send; None if the leader knows it already."""
        now = self._clock.now()
        self.demand_changed.clear()
        number = self._demand_number + 1
        demand_by_service = self._demand(number, now)
        is_due = now >= self._demand_sent_at + DEMAND_REFRESH_INTERVAL_S
        if demand_by_service == self._last_demand and not (is_due and demand_by_service):
            return None
        self._last_demand = demand_by_service
        self._demand_sent_at = now
        self._demand_number = number
        if demand_by_service:
            self._asked_at = now
            if self._unanswered_since is None:
                self._unanswered_since = now
        return PermitDemand(number, demand_by_service)

    @callback
    def discard_permits(self, endpoint_id: EndpointId) -> None:
        """Discard the permits that were issued under a former limit of an endpoint."""
        for state in self._state_by_service.values():
            state.pool.discard(endpoint_id)

    def _demand(self, number: int, now: float) -> dict[ServiceId, ServiceDemand]:
        """Return what is wanted now, less what is on hand."""
        demand_by_service: dict[ServiceId, ServiceDemand] = {}
        for service_id, state in self._state_by_service.items():
            state.pool.prune()
            on_hand = state.pool.counts_by_member()
            started, waiting = state.queue.report(number, on_hand)
            expected = max(0, state.expected(now) - on_hand.get(None, 0))
            if started or waiting or expected or state.requested_at:
                demand_by_service[service_id] = ServiceDemand(
                    state.received, expected, started, waiting, state.queue.patience_s
                )
        return demand_by_service

    def _limited(self, endpoint_ids: Iterable[EndpointId]) -> list[EndpointId]:
        """Return those endpoints that are limited."""
        return [
            endpoint_id
            for endpoint_id in endpoint_ids
            if self._limits.rate(endpoint_id) is not None
        ]

    def _state(self, service_id: ServiceId) -> _ServiceState:
        """Return the state of a service."""
        state = self._state_by_service.get(service_id)
        if state is None:
            state = _ServiceState(PermitQueue(), PermitPool(service_id, self._clock))
            self._state_by_service[service_id] = state
        return state

    def _is_cut_off(self) -> bool:
        """Return whether no leader answers."""
        if not self._is_connected():
            return True
        now = self._clock.now()
        if self._unanswered_since is None or now > self._asked_at + CUT_OFF_MEMORY_S:
            return False
        return now > self._unanswered_since + GRANT_TIMEOUT_S

    def _earn_while_cut_off(self, state: _ServiceState, endpoint_id: EndpointId) -> None:
        """Add permits for the time that this gateway has been cut off from the leader."""
        rate = self._limits.rate(endpoint_id)
        if rate is None or not self._is_cut_off():
            return
        now = self._clock.now()
        credit = self._credit_by_id.get(endpoint_id)
        if credit is None:
            # A random start spreads the first requests of gateways that are cut off together.
            earned_since = now if self._unanswered_since is None else self._unanswered_since
            credit = _CutOffCredit(self._rng.random(), earned_since)
            self._credit_by_id[endpoint_id] = credit
        part = rate * CUT_OFF_SHARE / max(1, self._gateways())
        earned = credit.amount + (now - credit.updated_at) * part
        credit.amount = min(earned, max(1.0, part * CUT_OFF_BURST_S))
        credit.updated_at = now
        while credit.amount >= 1.0:
            credit.amount -= 1.0
            state.pool.add(endpoint_id, None, rate)


def _is_always_allowed(endpoint_id: EndpointId) -> bool:
    """Allow each endpoint, as long as none has named a limit."""
    return True


def _is_never_allowed(label: MemberId | None) -> bool:
    """Allow no permit, since others are before the request."""
    return False
