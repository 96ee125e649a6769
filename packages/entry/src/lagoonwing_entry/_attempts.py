"""Runs attempts according to the kind of work and route."""

from __future__ import annotations

from contextlib import aclosing

from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import Attempt
from lagoonwing_core.models import EndpointKind
from lagoonwing_entry._active_requests import ActiveRequest
from lagoonwing_entry._directory import EndpointDirectory
from lagoonwing_entry._pipeline import PipelineAttempt
from lagoonwing_entry._suspects import SuspectReporter
from lagoonwing_entry.adapter import EndpointAdapter
from lagoonwing_entry.const import ATTEMPT_STRIDE
from lagoonwing_entry.diagnostics import EntryMetrics
from lagoonwing_entry.errors import CallerGoneError, DispatchError
from lagoonwing_entry.models import (
    CompletionDispatch,
    DispatchId,
    DispatchTarget,
    ModelCall,
    ServiceCallRequest,
    TokenBatch,
)
from lagoonwing_entry.ports import SchedulerPort
from lagoonwing_policy.models import (
    AttemptCancelled,
    AttemptFailed,
    AttemptResult,
    AttemptSucceeded,
    RouteStage,
    StartAttempt,
)


class AttemptRunner:
    """Runs attempts against endpoints."""

    def __init__(
        self,
        adapter: EndpointAdapter,
        scheduler: SchedulerPort,
        directory: EndpointDirectory,
        suspects: SuspectReporter,
        metrics: EntryMetrics,
        clock: Clock,
    ) -> None:
        self._adapter = adapter
        self._scheduler = scheduler
        self._directory = directory
        self._suspects = suspects
        self._metrics = metrics
        self._clock = clock

    async def async_run(self, active: ActiveRequest, command: StartAttempt) -> AttemptResult:
        """Run one attempt and return its result."""
        match active.work:
            case ServiceCallRequest():
                return await self._async_service(active, active.work, command)
            case ModelCall():
                if active.records[0].kind is EndpointKind.STAGE:
                    return await self._async_pipeline(active, active.work, command)
                return await self._async_completion(active, active.work, command)

    async def _async_service(
        self, active: ActiveRequest, call: ServiceCallRequest, command: StartAttempt
    ) -> AttemptResult:
        """Run a service call."""
        target = DispatchTarget(active.records[0])
        # Only with a new connection does a connection failure prove that nothing was sent.
        fresh = not active.profile.idempotent
        dispatch_id = _dispatch_id(command)
        try:
            active.response = await self._adapter.async_call_service(
                target, dispatch_id, call, fresh
            )
        except DispatchError as error:
            return failed_attempt(active, command.route.stages[0], error)
        return AttemptSucceeded(0)

    async def _async_completion(
        self, active: ActiveRequest, call: ModelCall, command: StartAttempt
    ) -> AttemptResult:
        """Run a completion on a whole-model endpoint."""
        completion = CompletionDispatch(
            dispatch_id=_dispatch_id(command),
            priority=command.route.priority,
            call=call,
            first_token=len(active.token_texts),
            preceding_text="".join(active.token_texts),
        )
        batches = self._adapter.tokens(DispatchTarget(active.records[0]), completion)
        try:
            async with aclosing(batches):
                async for batch in batches:
                    await self.async_relay(active, batch)
        except DispatchError as error:
            return failed_attempt(active, command.route.stages[0], error)
        except CallerGoneError:
            return AttemptCancelled(len(active.token_texts))
        return AttemptSucceeded(len(active.token_texts))

    async def _async_pipeline(
        self, active: ActiveRequest, call: ModelCall, command: StartAttempt
    ) -> AttemptResult:
        """Run a completion on a pipeline of stages."""
        pipeline = PipelineAttempt(
            self._adapter, self._scheduler, self._directory, self._suspects, self._clock
        )
        try:
            await pipeline.async_run(active, call, command, self.async_relay)
        except DispatchError as error:
            return failed_attempt(active, pipeline.failed_stage, error)
        except CallerGoneError:
            return AttemptCancelled(len(active.token_texts))
        return AttemptSucceeded(len(active.token_texts))

    async def async_relay(self, active: ActiveRequest, batch: TokenBatch) -> None:
        """Relay tokens to the caller and count them.

        Raises:
            CallerGoneError: The caller disconnected or stopped reading.
        """
        if batch.finish_reason is not None:
            active.finish_reason = batch.finish_reason
        if not batch.tokens:
            return
        now = self._clock.now()
        request_id = active.profile.request_id
        if not active.token_texts:
            self._scheduler.first_token(request_id, now)
        active.token_texts.extend(token.text for token in batch.tokens)
        self._metrics.relayed_tokens += len(batch.tokens)
        self._scheduler.tokens_relayed(request_id, len(batch.tokens), now)
        await active.sink.async_write(batch)


def failed_attempt(active: ActiveRequest, stage: RouteStage, error: DispatchError) -> AttemptFailed:
    """Return the result of a failed attempt."""
    failure = error.failure
    return AttemptFailed(
        stage=stage,
        dispatch=failure.dispatch,
        endpoint_crashed=failure.endpoint_crashed,
        bytes_reached_caller=active.sink.started,
        resumable_tokens=len(active.token_texts),
        refusal=failure.refusal,
        retry_after=failure.retry_after,
    )


def _dispatch_id(command: StartAttempt) -> DispatchId:
    """Return the id that the endpoint must echo."""
    return DispatchId(command.request_id, Attempt(command.attempt * ATTEMPT_STRIDE))
