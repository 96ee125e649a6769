"""Calls with a single response.

Each call goes to the endpoint with the least load. A repeatable call that fails or times out is
retried on another endpoint within the shared retry budget.
"""

from __future__ import annotations

from collections.abc import Iterable

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import EndpointRecord, RequestKind, Service
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._components import GatewayComponents
from lagoonwing_gateway._disconnect import async_run_until_disconnect
from lagoonwing_gateway._endpoint_client import (
    RESPONSE_ERRORS,
    OpenExchange,
    failure_evidence,
)
from lagoonwing_gateway._final_response import respond_unserved
from lagoonwing_gateway._request_log import log_attempt
from lagoonwing_gateway.const import (
    CALL_OVERLOAD_FACTOR,
    CALL_RETRY_TIMEOUT_SHARE,
    CROSS_DOMAIN_CALL_COST,
    DEADLINE_MARGIN_S,
    MAX_CONNECT_ATTEMPTS,
    MIN_CALL_RETRY_TIMEOUT_S,
    MIN_TIME_TO_SEND_S,
    MISDIRECTED_STATUS,
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
    NotRun,
    RequestContext,
)
from lagoonwing_gateway.ports import Responder
from lagoonwing_http import AnswerBrokenError, ConnectError

_NO_LOAD = EndpointLoad(0, 0, 0)
# Lowest status after which another endpoint may succeed.
_FIRST_FAILURE_STATUS = 500


class CallHandler:
    """Serves requests whose responses are forwarded as a whole."""

    def __init__(self, components: GatewayComponents) -> None:
        self._failure_domain = components.failure_domain
        self._follower = components.follower
        self._directory = components.directory
        self._suspicions = components.suspicions
        self._slowdown = components.slowdown
        self._load_tracker = components.load_tracker
        self._budget = components.budget
        self._crash_tracker = components.crash_tracker
        self._watchdog = components.watchdog
        self._endpoint_client = components.endpoint_client
        self._clock = components.clock
        self._rng = components.rng
        self._metrics = components.metrics

    async def async_serve(
        self, context: RequestContext, service: Service, responder: Responder
    ) -> GatewayRefusal | None:
        """Serve one call; return the refusal to send, or None if the call was answered."""
        excluded: set[EndpointId] = set()
        last_outcome: AttemptOutcome = NotRun("no endpoint has room", ())
        send_count = 0
        connect_attempts = 0
        while connect_attempts < MAX_CONNECT_ATTEMPTS + context.route.max_attempts:
            record = self._choose_endpoint(service, excluded)
            if record is None or context.deadline - self._clock.now() < MIN_TIME_TO_SEND_S:
                break
            if send_count and not self._may_send_again(context, service, last_outcome):
                break
            connect_attempts += 1
            open_exchange = await self._async_open(
                context, service, record, is_first=send_count == 0
            )
            if open_exchange is None:
                excluded.add(record.endpoint_id)
                continue
            send_count += 1
            last_outcome = await self._async_attempt(
                context, record, open_exchange, responder, send_count
            )
            log_attempt(context, record.endpoint_id, send_count, last_outcome)
            self._metrics.attempt_ended(type(last_outcome).__name__)
            match last_outcome:
                case Completed() | CallerGone():
                    return None
                case NotRun() | Failed():
                    excluded.add(record.endpoint_id)
            if send_count >= context.route.max_attempts:
                break
        return respond_unserved(
            context,
            last_outcome,
            responder,
            was_sent=send_count > 0,
            no_capacity_detail="no endpoint can take the call",
            now=self._clock.now(),
            rng=self._rng,
        )

    def _choose_endpoint(
        self, service: Service, excluded: Iterable[EndpointId]
    ) -> EndpointRecord | None:
        """Return the least loaded endpoint, or None if all are full."""
        loads = self._load_tracker.loads(self._follower.load_summary().load_by_id)

        def cost(record: EndpointRecord) -> float:
            load = loads.get(record.endpoint_id, _NO_LOAD)
            utilisation = load.sequences / max(1, record.slots)
            if record.failure_domain != self._failure_domain:
                utilisation += CROSS_DOMAIN_CALL_COST
            return (utilisation + 1 / record.slots) * self._slowdown.factor(record.endpoint_id)

        def has_capacity(record: EndpointRecord) -> bool:
            load = loads.get(record.endpoint_id, _NO_LOAD)
            return load.sequences < CALL_OVERLOAD_FACTOR * record.slots

        records = self._directory.call_endpoints(service.service_id, excluded)
        self._rng.shuffle(records)
        return min(filter(has_capacity, records), key=cost, default=None)

    def _may_send_again(
        self, context: RequestContext, service: Service, last_outcome: AttemptOutcome
    ) -> bool:
        """Return whether a call may be sent to another endpoint."""
        if context.route.kind is RequestKind.UNSAFE and not isinstance(last_outcome, NotRun):
            return False
        return self._budget.try_acquire(service.service_id, self._follower.gateways)

    async def _async_open(
        self, context: RequestContext, service: Service, record: EndpointRecord, is_first: bool
    ) -> OpenExchange | None:
        """Send a call to an endpoint; return None if it can't be reached."""
        budget_s = context.deadline - self._clock.now()
        outgoing = EndpointRequest(
            context.request, record, context.member, budget_s, context.route.priority
        )
        # A pooled connection may be closed while the request is written, which leaves unknown
        # whether the request was executed.
        fresh = context.route.kind is RequestKind.UNSAFE
        try:
            open_exchange = await self._endpoint_client.async_send(outgoing, fresh)
        except ConnectError as error:
            self._suspicions.record_failure(record.endpoint_id, str(error), failure_evidence(error))
            return None
        if is_first:
            self._budget.record_first_send(service.service_id)
        return open_exchange

    async def _async_attempt(
        self,
        context: RequestContext,
        record: EndpointRecord,
        open_exchange: OpenExchange,
        responder: Responder,
        send_number: int,
    ) -> AttemptOutcome:
        """Wait for the response of one endpoint and forward it if it is valid."""
        endpoint_id = record.endpoint_id
        self._load_tracker.begin_call(endpoint_id)
        pending_response = self._endpoint_client.async_complete_response(
            open_exchange, self._response_deadline(context, send_number)
        )
        try:
            response = await async_run_until_disconnect(pending_response, responder)
        except RESPONSE_ERRORS as error:
            reason = str(error) or "no answer in time"
            self._suspicions.record_soft_failure(endpoint_id, reason, failure_evidence(error))
            if isinstance(error, AnswerBrokenError):
                evidence = await self._watchdog.async_find_failure(record)
                if evidence is FailureEvidence.REFUSED:
                    self._crash_tracker.record_crash(context)
            return Failed(reason, (endpoint_id,))
        finally:
            open_exchange.close()
            self._load_tracker.end_call(endpoint_id)
        if isinstance(response, CallerGone):
            return response
        elapsed = self._clock.now() - open_exchange.sent_at
        self._slowdown.observe(endpoint_id, elapsed, context.route.objective_s / 2)
        return self._judge(record, response, responder)

    def _judge(
        self, record: EndpointRecord, response: CompleteResponse, responder: Responder
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
        if info.status >= _FIRST_FAILURE_STATUS:
            self._suspicions.record_soft_failure(
                record.endpoint_id, f"status {info.status}", FailureEvidence.RESPONSE
            )
            return Failed(f"the endpoint answered {info.status}", blamed_ids, response)
        self._suspicions.record_progress(blamed_ids)
        responder.send_response(info.status, response.headers, response.body)
        return Completed()

    def _response_deadline(self, context: RequestContext, send_number: int) -> float:
        """Return the time until which to wait for an endpoint's response."""
        deadline = context.deadline - DEADLINE_MARGIN_S
        if context.route.kind is RequestKind.UNSAFE or send_number >= context.route.max_attempts:
            return deadline
        retry_timeout_s = max(
            MIN_CALL_RETRY_TIMEOUT_S, context.route.objective_s * CALL_RETRY_TIMEOUT_SHARE
        )
        return min(deadline, self._clock.now() + retry_timeout_s)
