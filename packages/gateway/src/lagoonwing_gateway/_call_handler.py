"""Calls with a single response.

Each call goes to the endpoint with the least load. A repeatable call that fails or times out is
retried on another endpoint within the shared retry budget.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

from lagoonwing_catalog.models import EndpointRecord, RequestKind, Service
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._call_endpoints import CallEndpoints, EndpointClaim, LimitReached
from lagoonwing_gateway._components import GatewayComponents
from lagoonwing_gateway._disconnect import async_run_until_disconnect
from lagoonwing_gateway._endpoint_client import (
    RESPONSE_ERRORS,
    OpenExchange,
    failure_evidence,
)
from lagoonwing_gateway._final_response import KeptFailure, respond_unserved
from lagoonwing_gateway._handover import HandoverTask
from lagoonwing_gateway._request_log import log_attempt
from lagoonwing_gateway.const import (
    CALL_RETRY_TIMEOUT_SHARE,
    DEADLINE_MARGIN_S,
    FIRST_FAILURE_STATUS,
    MAX_CONNECT_ATTEMPTS,
    MIN_CALL_RETRY_TIMEOUT_S,
    MIN_TIME_TO_SEND_S,
    MISDIRECTED_STATUS,
    SILENCE_RECHECK_INTERVAL_S,
)
from lagoonwing_gateway.models import (
    AttemptOutcome,
    CallerGone,
    Completed,
    CompleteResponse,
    EndpointRequest,
    Failed,
    FailureEvidence,
    GatewayRefusal,
    NotAdmitted,
    NotRun,
    RequestContext,
    RequestFailure,
)
from lagoonwing_gateway.ports import Responder
from lagoonwing_http import AnswerBrokenError, AnswerTooLargeError, ClientConnection, ConnectError

_LATE = Failed("no answer in time", ())


@dataclass(slots=True)
class _Call:
    """A call and its attempts.

    Attributes:
        failure: What an endpoint that may have run the call answered, if anything.
        send_count: Number of times that the call was sent to an endpoint.
        excluded: Endpoints that must not be used again for the call.
        failures: Endpoints that failed the call.
        reservation: The next attempt, which is certain to be made.
        limit_wait_s: Expected wait for a permit, if that kept the call from being sent.
        not_admitted: Why there was no capacity, if that kept the call from being sent.
    """

    context: RequestContext
    service: Service
    responder: Responder
    failure: KeptFailure
    send_count: int = 0
    excluded: set[EndpointId] = field(default_factory=set)
    failures: list[RequestFailure] = field(default_factory=list)
    reservation: EndpointClaim | None = None
    limit_wait_s: float | None = None
    not_admitted: NotAdmitted | None = None

    def take_reservation(self) -> EndpointClaim | None:
        """Return the reservation, if any; it may be used once."""
        reservation, self.reservation = self.reservation, None
        return reservation


class CallHandler:
    """Serves requests whose responses are forwarded as a whole."""

    def __init__(self, components: GatewayComponents) -> None:
        self._follower = components.follower
        self._endpoints = CallEndpoints(components)
        self._directory = components.directory
        self._suspicions = components.suspicions
        self._slowdown = components.slowdown
        self._load_tracker = components.load_tracker
        self._unreported_work = components.unreported_work
        self._budget = components.budget
        self._crash_tracker = components.crash_tracker
        self._watchdog = components.watchdog
        self._handover = components.handover
        self._handover_relay = components.handover_relay
        self._endpoint_client = components.endpoint_client
        self._response_budget = components.response_budget
        self._clock = components.clock
        self._rng = components.rng
        self._metrics = components.metrics

    async def async_serve(
        self, context: RequestContext, service: Service, responder: Responder
    ) -> GatewayRefusal | None:
        """Serve one call; return the refusal to send, or None if the call was answered."""
        call = _Call(
            context,
            service,
            responder,
            KeptFailure(self._response_budget),
            context.request.earlier_sends,
        )
        self._endpoints.record_call(service)
        try:
            last_outcome = await self._async_run(call)
        finally:
            failure = call.failure.take()
            unused = call.take_reservation()
            if unused is not None:
                self._endpoints.give_up(unused)
        match last_outcome:
            case Completed() | CallerGone():
                return None
            case GatewayRefusal():
                return last_outcome
        return respond_unserved(
            context,
            failure or last_outcome,
            responder,
            was_sent=call.send_count > 0,
            not_admitted=call.not_admitted,
            limit_wait_s=call.limit_wait_s,
            now=self._clock.now(),
            rng=self._rng,
        )

    async def _async_run(self, call: _Call) -> AttemptOutcome | GatewayRefusal:
        """Run attempts here, then at another gateway if no endpoint answers this one."""
        last_outcome = await self._async_run_attempts(call)
        if isinstance(last_outcome, Completed | CallerGone):
            return last_outcome
        if not await self._handover.async_is_due(call.context, call.service.service_id):
            return last_outcome
        task = HandoverTask(
            call.context,
            call.service.service_id,
            call.send_count,
            call.failure.may_have_run,
            call.context.request.last_event_id,
        )
        if not task.may_be_sent:
            return last_outcome
        return await self._handover_relay.async_call(task, call.responder)

    async def _async_run_attempts(self, call: _Call) -> AttemptOutcome:
        """Run attempts until one completes; return the outcome of the last one."""
        context = call.context
        last_outcome: AttemptOutcome = NotRun("no endpoint has room", ())
        connect_attempts = 0
        while connect_attempts < MAX_CONNECT_ATTEMPTS + context.route.max_attempts:
            if call.responder.is_disconnected:
                return CallerGone()
            if await self._handover.async_is_due(context, call.service.service_id):
                break
            claim = await self._async_next_claim(call, last_outcome)
            if claim is None:
                break
            connect_attempts += 1
            record = claim.record
            # The endpoint's capacity is taken before anything is awaited.
            self._load_tracker.begin_call(record.endpoint_id)
            self._unreported_work.record_call(call.service.service_id)
            try:
                open_exchange = await self._async_open(call, claim)
                if open_exchange is None:
                    self._endpoints.give_up(claim)
                    call.excluded.add(record.endpoint_id)
                    continue
                call.send_count += 1
                last_outcome = await self._async_attempt(call, record, open_exchange)
            finally:
                self._load_tracker.end_call(record.endpoint_id)
            log_attempt(context, record.endpoint_id, call.send_count, last_outcome)
            self._metrics.attempt_ended(type(last_outcome).__name__)
            match last_outcome:
                case Completed() | CallerGone():
                    return last_outcome
                case NotRun() | Failed():
                    last_outcome = call.failure.record(last_outcome)
                    call.excluded.add(record.endpoint_id)
            if call.send_count >= context.route.max_attempts:
                break
        return last_outcome

    async def _async_next_claim(
        self, call: _Call, last_outcome: AttemptOutcome
    ) -> EndpointClaim | None:
        """Return the endpoint to try next, or None if the call may not be sent."""
        reservation = call.take_reservation()
        if reservation is not None:
            return reservation
        claim = await self._endpoints.async_claim(
            call.context, call.service, call.excluded, call.responder
        )
        match claim:
            case CallerGone():
                return None
            case NotAdmitted():
                call.not_admitted = claim
                return None
            case LimitReached(expected_wait_s=expected_wait_s):
                call.limit_wait_s = expected_wait_s
                return None
            case EndpointClaim() if self._may_send(call, last_outcome):
                return claim
            case EndpointClaim():
                self._endpoints.give_up(claim)
                return None

    def _may_send(self, call: _Call, last_outcome: AttemptOutcome) -> bool:
        """Return whether a call may be sent now; if it was sent before, take one retry."""
        if call.responder.is_disconnected:
            return False
        if call.context.deadline - self._clock.now() < MIN_TIME_TO_SEND_S:
            return False
        return call.send_count == 0 or self._may_send_again(call, last_outcome)

    async def _async_try_reserve(self, call: _Call, silent: EndpointRecord) -> bool:
        """Reserve an attempt at another endpoint; return whether there is one."""
        if not self._may_reserve(call):
            return False
        excluded = {*call.excluded, silent.endpoint_id}
        claim = self._endpoints.claim(call.context, call.service, excluded)
        if claim is None:
            return False
        connection: ClientConnection | None = None
        try:
            connection = await self._async_connect_if_allowed(call, claim.record)
        finally:
            # A disconnect of the caller cancels the connection attempt.
            if connection is None:
                self._endpoints.give_up(claim)
        if connection is None:
            return False
        call.reservation = replace(claim, connection=connection)
        return True

    async def _async_connect_if_allowed(
        self, call: _Call, record: EndpointRecord
    ) -> ClientConnection | None:
        """Connect to an endpoint and take one retry, or return None."""
        if not self._suspicions.is_usable(record.endpoint_id):
            return None
        connection = await self._async_connect(call, record)
        if connection is None:
            return None
        if self._may_reserve(call) and self._may_send_again(call, _LATE):
            return connection
        connection.close()
        return None

    async def _async_may_hand_over(self, call: _Call) -> bool:
        """Return whether a call that waits here is certain to be taken by another gateway."""
        service_id = call.service.service_id
        if not self._handover.is_due(call.context, service_id) or not self._may_reserve(call):
            return False
        return await self._handover.async_is_confirmed(service_id)

    def _may_reserve(self, call: _Call) -> bool:
        """Return whether attempts and time are left for another attempt."""
        if call.context.route.kind is RequestKind.UNSAFE:
            return False
        if call.send_count >= call.context.route.max_attempts:
            return False
        return call.context.deadline - self._clock.now() >= MIN_TIME_TO_SEND_S

    def _may_send_again(self, call: _Call, last_outcome: AttemptOutcome) -> bool:
        """Return whether a call may be sent to another endpoint; if so, take one retry."""
        is_unsafe = call.context.route.kind is RequestKind.UNSAFE
        if is_unsafe and not isinstance(last_outcome, NotRun):
            return False
        if self._crash_tracker.is_quarantined(call.context):
            return False
        return self._budget.try_acquire(call.service.service_id, self._follower.gateways)

    async def _async_open(self, call: _Call, claim: EndpointClaim) -> OpenExchange | None:
        """Send a call to an endpoint; return None if it can't be reached."""
        context, record = call.context, claim.record
        budget_s = context.deadline - self._clock.now()
        outgoing = EndpointRequest(
            context.request,
            record,
            context.member,
            budget_s,
            context.rank,
            last_event_id=context.request.last_event_id,
        )
        connection = claim.connection or await self._async_connect(call, record)
        if connection is None:
            return None
        try:
            open_exchange = self._endpoint_client.send(outgoing, connection)
        except ConnectError:
            return None
        if call.send_count == 0:
            self._budget.record_first_send(call.service.service_id)
        return open_exchange

    async def _async_connect(self, call: _Call, record: EndpointRecord) -> ClientConnection | None:
        """Connect to an endpoint; return None if it can't be reached."""
        # A pooled connection may be closed while the request is written, which leaves unknown
        # whether the request was executed.
        fresh = call.context.route.kind is RequestKind.UNSAFE
        try:
            return await self._endpoint_client.async_connect(record, fresh)
        except ConnectError as error:
            self._suspicions.record_failure(record.endpoint_id, str(error), failure_evidence(error))
            return None

    async def _async_attempt(
        self, call: _Call, record: EndpointRecord, open_exchange: OpenExchange
    ) -> AttemptOutcome:
        """Wait for the response of one endpoint and forward it if it is valid."""
        endpoint_id = record.endpoint_id
        try:
            response = await async_run_until_disconnect(
                self._async_response(call, record, open_exchange), call.responder
            )
        except RESPONSE_ERRORS as error:
            # Whatever keeps the error must not keep the frames that hold the request.
            error.with_traceback(None)
            return await self._async_record_failure(call, record, error)
        finally:
            open_exchange.close()
        if isinstance(response, CallerGone):
            return response
        elapsed = self._clock.now() - open_exchange.sent_at
        self._slowdown.observe(endpoint_id, elapsed, call.context.route.objective_s / 2)
        outcome = self._judge(call, record, response)
        if isinstance(outcome, Completed):
            self._crash_tracker.record_served(call.context)
            self._suspicions.record_served_elsewhere(call.failures)
        return outcome

    async def _async_response(
        self, call: _Call, record: EndpointRecord, open_exchange: OpenExchange
    ) -> CompleteResponse:
        """Wait for a response; give up an endpoint that is late only for a certain attempt.

        Raises:
            AnswerBrokenError: The connection closed before the response was complete.
            TimeoutError: The deadline has passed, or another attempt is to follow.
        """
        response = asyncio.ensure_future(
            self._endpoint_client.async_complete_response(
                open_exchange, call.context.deadline - DEADLINE_MARGIN_S
            )
        )
        patience_s = self._patience_s(call.context)
        try:
            while True:
                await asyncio.wait((response,), timeout=patience_s)
                if response.done():
                    break
                if await self._async_may_hand_over(call) and not response.done():
                    raise TimeoutError
                if await self._async_try_reserve(call, record) and not response.done():
                    raise TimeoutError
                patience_s = SILENCE_RECHECK_INTERVAL_S
            return response.result()
        finally:
            response.cancel()
            # Its exception refers to this frame, which would refer to it in turn.
            del response

    async def _async_record_failure(
        self, call: _Call, record: EndpointRecord, error: BaseException
    ) -> Failed:
        """Record an attempt that gave no whole response, and whether its endpoint crashed."""
        reason = str(error) or "no answer in time"
        if isinstance(error, AnswerTooLargeError):
            self._suspicions.record_soft_failure(
                record.endpoint_id, reason, FailureEvidence.RESPONSE
            )
        else:
            self._record_failure(call, record, reason, failure_evidence(error))
        if isinstance(error, AnswerBrokenError):
            evidence = await self._watchdog.async_probe(record)
            if evidence is FailureEvidence.REFUSED and self._directory.has_crashed(record):
                self._crash_tracker.record_crash(call.context, record)
        return Failed(reason, (record.endpoint_id,))

    def _record_failure(
        self, call: _Call, record: EndpointRecord, reason: str, evidence: FailureEvidence
    ) -> None:
        """Record that an endpoint failed a call."""
        self._suspicions.record_failed_request(record.endpoint_id, reason, evidence)
        call.failures.append(RequestFailure(record.endpoint_id, reason, evidence))

    def _judge(
        self, call: _Call, record: EndpointRecord, response: CompleteResponse
    ) -> AttemptOutcome:
        """Forward a valid response; return the outcome."""
        info = response.info
        blamed_ids = (record.endpoint_id,)
        if info.not_executed or info.status == MISDIRECTED_STATUS:
            self._suspicions.avoid_briefly(record.endpoint_id)
            return NotRun(f"the endpoint refused it with {info.status}", blamed_ids)
        if info.is_success and (not info.is_signed or info.is_encoded):
            self._suspicions.record_failure(
                record.endpoint_id,
                "response is unsigned or re-encoded",
                FailureEvidence.RESPONSE,
            )
            return Failed("the answer is not the endpoint's own", blamed_ids)
        if info.status >= FIRST_FAILURE_STATUS:
            reason = f"the endpoint answered {info.status}"
            if info.pause_s is None:
                self._record_failure(call, record, reason, FailureEvidence.RESPONSE)
            return Failed(reason, blamed_ids, response)
        self._suspicions.record_progress(blamed_ids)
        self._suspicions.record_served(blamed_ids)
        call.responder.send_response(info.status, response.headers, response.body)
        return Completed()

    def _patience_s(self, context: RequestContext) -> float:
        """Return how long an endpoint may take before another one is looked for."""
        objective_share_s = context.route.objective_s * CALL_RETRY_TIMEOUT_SHARE
        return max(MIN_CALL_RETRY_TIMEOUT_S, objective_share_s)
