"""Streams over paths of several endpoints.

Events are relayed as they arrive. A stream whose path stalls or breaks is resumed on another path
after its last event, within the same response to the caller.
"""

from __future__ import annotations

from lagoonwing_catalog.models import Service
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_gateway._admission_request import AdmissionRequest, stream_admission
from lagoonwing_gateway._components import GatewayComponents
from lagoonwing_gateway._final_response import KeptFailure, respond_unserved
from lagoonwing_gateway._handover import HandoverTask
from lagoonwing_gateway._permit_wait import PermitWait
from lagoonwing_gateway._plain_service import PLAIN_REQUEST_SIZE, layered_engine
from lagoonwing_gateway._refusals import quarantine_refusal
from lagoonwing_gateway._request_log import log_attempt, log_unserved_stream
from lagoonwing_gateway._stream_attempt import StreamAttempt
from lagoonwing_gateway._stream_call import StreamCall, StreamProgress
from lagoonwing_gateway._stream_failover import PathClaim, StreamFailover
from lagoonwing_gateway._stream_relay import StreamRelay
from lagoonwing_gateway.const import (
    MAX_CONNECT_ATTEMPTS,
    PERMIT_WAIT_SHARE,
    REPAIR_DELAY_S,
)
from lagoonwing_gateway.models import (
    AttemptOutcome,
    CallerGone,
    Completed,
    Failed,
    GatewayRefusal,
    NotAdmitted,
    NotRun,
    RequestContext,
    ResendObstacle,
)
from lagoonwing_gateway.ports import Responder
from lagoonwing_placement import RequestSize, load_s


class StreamHandler:
    """Serves requests whose responses are streams of events."""

    def __init__(self, components: GatewayComponents) -> None:
        self._components = components

    async def async_serve(
        self, context: RequestContext, service: Service, responder: Responder
    ) -> GatewayRefusal | None:
        """Serve one stream; return the refusal to send, or None if it was answered."""
        failure = KeptFailure(self._components.response_budget)
        progress = StreamProgress(
            failure,
            last_event_id=context.request.last_event_id,
            send_count=context.request.earlier_sends,
        )
        call = StreamCall(context, service, _size(context, service), responder, progress)
        failover = StreamFailover(self._components, call)
        entry_ids = self._components.directory.entry_ids(service.service_id)
        self._components.limiter.record_request(service.service_id, entry_ids)
        try:
            return await self._async_run_attempts(call, failover)
        finally:
            failure.take()
            failover.discard_reservation()

    async def _async_run_attempts(
        self, call: StreamCall, failover: StreamFailover
    ) -> GatewayRefusal | None:
        """Run attempts until one completes; return the refusal to send, if any."""
        context, progress = call.context, call.progress
        last_outcome: AttemptOutcome = NotRun("no path has room", ())
        obstacle: ResendObstacle | None = None
        for _ in range(MAX_CONNECT_ATTEMPTS + context.route.max_attempts):
            claim = failover.take_reservation()
            if claim is None and await self._async_is_handover_due(call):
                break
            if claim is None:
                obstacle = failover.find_obstacle(last_outcome)
                if obstacle is not None:
                    break
                claim = await self._async_claim_path(call, failover)
            if claim is None:
                if call.responder.is_disconnected:
                    return None
                obstacle = ResendObstacle.NO_PATH
                break
            attempt = StreamAttempt(self._components, call, failover, claim)
            if call.responder.is_disconnected:
                attempt.give_up()
                return None
            if progress.send_count == 0 and self._components.crash_tracker.is_quarantined(context):
                attempt.give_up()
                return quarantine_refusal()
            last_outcome = await attempt.async_run()
            log_attempt(
                context, claim.path.segments[0].endpoint_id, progress.send_count, last_outcome
            )
            self._components.metrics.attempt_ended(type(last_outcome).__name__)
            match last_outcome:
                case Completed() | CallerGone():
                    return None
                case NotRun(blamed_ids=blamed_ids) | Failed(blamed_ids=blamed_ids):
                    # A started stream may come back to endpoints that were only full or silent;
                    # they are avoided or suspected for a while.
                    if not progress.started or not _may_recover(last_outcome):
                        progress.excluded.update(blamed_ids)
                    last_outcome = progress.failure.record(last_outcome)
        obstacle = obstacle or ResendObstacle.CONNECT_ATTEMPTS
        if await self._async_is_handover_due(call):
            return await self._async_hand_over(call, last_outcome, obstacle)
        return self._finish_unserved(call, last_outcome, obstacle)

    async def _async_is_handover_due(self, call: StreamCall) -> bool:
        """Return whether a stream must go on at another gateway."""
        return await self._components.handover.async_is_due(call.context, call.service.service_id)

    async def _async_hand_over(
        self, call: StreamCall, last_outcome: AttemptOutcome, obstacle: ResendObstacle
    ) -> GatewayRefusal | None:
        """Serve a stream, or the rest of it, through another gateway."""
        progress = call.progress
        task = HandoverTask(
            call.context,
            call.service.service_id,
            progress.send_count,
            progress.failure.may_have_run,
            progress.last_event_id,
        )
        if not task.may_be_sent:
            return self._finish_unserved(call, last_outcome, obstacle)
        components = self._components
        relay = StreamRelay(call, components.dialect, components.metrics, components.clock)
        outcome = await components.handover_relay.async_stream(task, call, relay)
        progress.send_count = task.send_count
        match outcome:
            case Completed() | CallerGone():
                return None
            case GatewayRefusal() if not progress.started:
                return outcome
            case GatewayRefusal(detail=detail):
                outcome = Failed(detail, ())
        return self._finish_unserved(call, outcome, ResendObstacle.NO_PEER)

    async def _async_claim_path(
        self, call: StreamCall, failover: StreamFailover
    ) -> PathClaim | None:
        """Return a path; wait for capacity, or for a permit, if there is none."""
        components = self._components
        queue = components.admission_queue
        request = stream_admission(
            queue.next_work_id(),
            call.context,
            call.service.service_id,
            call.size,
            components.clock.now(),
            is_started=call.progress.started,
        )
        repair_s = self._repair_s(call)
        if not call.progress.started and request.submitted + repair_s > request.latest_start:
            call.progress.not_admitted = queue.refusal_until(request, repair_s)
            return None
        entry_ids = components.directory.entry_ids(call.service.service_id)
        ready_in_s = components.notices.all_ready_in_s(entry_ids)
        if ready_in_s > 0:
            call.progress.not_admitted = queue.refusal_while_declined(request, ready_in_s)
            return None
        claim = queue.claim_now(request, failover.claim_path)
        if claim is not None:
            return claim
        if not call.progress.started and not failover.may_find_path():
            detail = "no path over the layers is left"
            call.progress.not_admitted = queue.refusal(request, ResultCode.NO_ENDPOINT, detail)
            return None
        return await self._async_wait_for_path(call, failover, request)

    async def _async_wait_for_path(
        self, call: StreamCall, failover: StreamFailover, request: AdmissionRequest
    ) -> PathClaim | None:
        """Wait for capacity, or for a permit if only limits hold the stream back."""
        components = self._components
        is_held_back = failover.is_held_back()
        if is_held_back and not call.progress.started:
            request.limit_wait(call.context.route.objective_s * PERMIT_WAIT_SHARE)
        wait = PermitWait(components.limiter, components.clock, request.latest_start)
        if is_held_back:
            wait.begin(
                call.service.service_id,
                call.context.member_id,
                components.directory.entry_ids(call.service.service_id),
                is_started=call.progress.started,
            )
        try:
            outcome = await components.admission_queue.async_claim(
                request,
                lambda: failover.claim_path(waiter=wait.waiter),
                call.responder,
                wait.is_hopeless if wait.has_begun else None,
            )
        finally:
            wait.end()
        call.progress.limit_wait_s = wait.expected_s
        match outcome:
            case PathClaim():
                return outcome
            case NotAdmitted():
                call.progress.not_admitted = outcome
        return None

    def _repair_s(self, call: StreamCall) -> float:
        """Return the time until all layers are held again; 0 if they are."""
        missing = self._components.directory.missing_layers(call.service, call.engine)
        if missing == 0:
            return 0.0
        return REPAIR_DELAY_S + load_s(call.engine, missing)

    def _finish_unserved(
        self, call: StreamCall, last_outcome: AttemptOutcome, obstacle: ResendObstacle
    ) -> GatewayRefusal | None:
        """Abort a started stream, or respond to a stream that was not served."""
        progress = call.progress
        if progress.send_count:
            log_unserved_stream(
                call.context,
                progress.endpoint_ids,
                progress.events,
                last_outcome,
                obstacle,
                is_started=progress.started,
            )
        if progress.started:
            call.responder.abort()
            return None
        return respond_unserved(
            call.context,
            progress.failure.take() or last_outcome,
            call.responder,
            was_sent=progress.send_count > 0,
            not_admitted=progress.not_admitted,
            limit_wait_s=progress.limit_wait_s,
            now=self._components.clock.now(),
            rng=self._components.rng,
        )


def _size(context: RequestContext, service: Service) -> RequestSize:
    """Return the size of a stream, a typical one if the caller doesn't name it."""
    engine = layered_engine(service)
    if engine is None:
        return PLAIN_REQUEST_SIZE
    return context.request.size or RequestSize(
        round(engine.mean_prompt_tokens), round(engine.mean_output_tokens)
    )


def _may_recover(outcome: NotRun | Failed) -> bool:
    """Return whether the blamed endpoints did not fail, but were full or silent."""
    return isinstance(outcome, NotRun) or outcome.is_silence
