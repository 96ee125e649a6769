"""Chooses the endpoint of a call, with the permit that it needs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import EndpointRecord, Service
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_gateway._admission_request import AdmissionRequest, call_admission
from lagoonwing_gateway._components import GatewayComponents
from lagoonwing_gateway._permit_pool import Permit
from lagoonwing_gateway._permit_queue import Waiter
from lagoonwing_gateway._permit_wait import PermitWait
from lagoonwing_gateway._unreported_work import CallTarget
from lagoonwing_gateway.const import (
    CALL_OVERLOAD_FACTOR,
    CROSS_DOMAIN_CALL_COST,
    PERMIT_WAIT_SHARE,
)
from lagoonwing_gateway.models import CallerGone, NotAdmitted, RequestContext
from lagoonwing_gateway.ports import Responder
from lagoonwing_http import ClientConnection

_NO_LOAD = EndpointLoad(0, 0, 0)


@dataclass(frozen=True, slots=True)
class EndpointClaim:
    """The endpoint of the next attempt of a call.

    Attributes:
        permit: Permit of the endpoint, if that is limited.
        connection: Connection to it, if one is open.
    """

    record: EndpointRecord
    permit: Permit | None = None
    connection: ClientConnection | None = None


@dataclass(frozen=True, slots=True)
class LimitReached:
    """No endpoint can be claimed before the call would have waited too long.

    Attributes:
        expected_wait_s: Expected wait for the limits of the endpoints.
    """

    expected_wait_s: float


class CallEndpoints:
    """Endpoints of calls: the least loaded one that may get another request."""

    def __init__(self, components: GatewayComponents) -> None:
        self._components = components

    @callback
    def record_call(self, service: Service) -> None:
        """Record a call to a service."""
        entry_ids = self._components.directory.entry_ids(service.service_id)
        self._components.limiter.record_request(service.service_id, entry_ids)

    @callback
    def claim(
        self,
        context: RequestContext,
        service: Service,
        excluded: Iterable[EndpointId],
        waiter: Waiter | None = None,
    ) -> EndpointClaim | None:
        """Return the least loaded endpoint that may get the call, or None."""
        limiter = self._components.limiter
        service_id, member_id = service.service_id, context.member_id
        may_enter = limiter.entry_check(service_id, member_id, waiter)
        record = self._least_loaded(service, excluded, may_enter)
        if record is None:
            return None
        permit = limiter.take(record.endpoint_id, service_id, member_id, waiter)
        return EndpointClaim(record, permit)

    @callback
    def give_up(self, claim: EndpointClaim) -> None:
        """Return what was claimed for an attempt that was not sent."""
        self._components.limiter.give_back(claim.permit)
        if claim.connection is not None:
            claim.connection.close()

    async def async_claim(
        self,
        context: RequestContext,
        service: Service,
        excluded: Iterable[EndpointId],
        responder: Responder,
    ) -> EndpointClaim | LimitReached | NotAdmitted | CallerGone:
        """Return an endpoint; wait for capacity, or for a permit, if there is none."""
        components = self._components
        queue = components.admission_queue
        request = call_admission(
            queue.next_work_id(),
            context,
            service.service_id,
            components.clock.now(),
        )
        entry_ids = components.directory.entry_ids(service.service_id)
        ready_in_s = components.notices.all_ready_in_s(entry_ids)
        if ready_in_s > 0:
            return queue.refusal_while_declined(request, ready_in_s)
        claim = queue.claim_now(request, lambda: self.claim(context, service, excluded))
        if claim is not None:
            return claim
        if not components.directory.call_endpoints(service.service_id, excluded):
            return queue.refusal(request, ResultCode.NO_ENDPOINT, "no endpoint can take the call")
        return await self._async_wait(request, context, service, excluded, responder)

    async def _async_wait(
        self,
        request: AdmissionRequest,
        context: RequestContext,
        service: Service,
        excluded: Iterable[EndpointId],
        responder: Responder,
    ) -> EndpointClaim | LimitReached | NotAdmitted | CallerGone:
        """Wait for capacity, or for a permit if only limits hold the call back."""
        components = self._components
        is_held_back = self._is_held_back(service, excluded)
        if is_held_back:
            request.limit_wait(context.route.objective_s * PERMIT_WAIT_SHARE)
        wait = PermitWait(components.limiter, components.clock, request.latest_start)
        if is_held_back:
            entry_ids = components.directory.entry_ids(service.service_id)
            wait.begin(service.service_id, context.member_id, entry_ids, is_started=False)
        try:
            outcome = await components.admission_queue.async_claim(
                request,
                lambda: self.claim(context, service, excluded, wait.waiter),
                responder,
                wait.is_hopeless if wait.has_begun else None,
            )
        finally:
            wait.end()
        if isinstance(outcome, NotAdmitted) and wait.expected_s is not None:
            return LimitReached(wait.expected_s)
        return outcome

    def _is_held_back(self, service: Service, excluded: Iterable[EndpointId]) -> bool:
        """Return whether only the limits of endpoints keep a call from being sent."""
        if not self._components.limiter.is_active:
            return False
        return self._least_loaded(service, excluded, lambda endpoint_id: True) is not None

    def _least_loaded(
        self,
        service: Service,
        excluded: Iterable[EndpointId],
        may_enter: Callable[[EndpointId], bool],
    ) -> EndpointRecord | None:
        """Return the least loaded endpoint that is allowed, or None if all are full."""
        components = self._components
        remote_by_id = components.follower.load_summary().load_by_id
        own_by_id = components.load_tracker.local_loads()
        records: list[EndpointRecord] = []
        targets: list[CallTarget] = []
        for record in components.directory.call_endpoints(service.service_id, excluded):
            own = own_by_id.get(record.endpoint_id, _NO_LOAD).sequences
            remote = remote_by_id.get(record.endpoint_id, _NO_LOAD).sequences
            is_free = own + remote < CALL_OVERLOAD_FACTOR * record.slots
            if is_free and may_enter(record.endpoint_id):
                records.append(record)
                targets.append(self._target(record, own, remote))
        costs = components.unreported_work.call_costs(service.service_id, targets)
        # Ties must not be broken alike by all gateways.
        ranked = [(cost, components.rng.random()) for cost in costs]
        return records[ranked.index(min(ranked))] if ranked else None

    def _target(self, record: EndpointRecord, own: int, remote: int) -> CallTarget:
        """Return what the choice of an endpoint rests on."""
        slowdown = self._components.slowdown.factor(record.endpoint_id)
        slots = max(1, record.slots)
        base_cost = 1.0 / slots
        if record.failure_domain != self._components.failure_domain:
            base_cost += CROSS_DOMAIN_CALL_COST
        return CallTarget(record.endpoint_id, own, remote, slots / slowdown, base_cost * slowdown)
