"""Executes the commands of the scheduler."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import RequestId
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_entry._active_requests import ActiveRequest, TokenSink
from lagoonwing_entry._attempts import AttemptRunner
from lagoonwing_entry._directory import EndpointDirectory
from lagoonwing_entry._host_readiness import HostReadiness
from lagoonwing_entry._request_log import (
    log_admission_refused,
    log_attempt_failed,
    log_refused,
)
from lagoonwing_entry._suspects import SuspectReporter
from lagoonwing_entry.const import IDLE_TICK_INTERVAL_S
from lagoonwing_entry.diagnostics import EntryMetrics
from lagoonwing_entry.models import ModelCall, RequestResult, ServiceCallRequest
from lagoonwing_entry.ports import SchedulerPort
from lagoonwing_policy.models import (
    AttemptCancelled,
    AttemptFailed,
    AttemptResult,
    AttemptSucceeded,
    ClearSuspect,
    Dispatch,
    RefuseRequest,
    ReportSuspects,
    RequestProfile,
    SchedulerCommand,
    StartAttempt,
)


class RequestRunner:
    """Submits requests, runs their attempts and returns their results."""

    name = "request_runner"

    def __init__(
        self,
        scheduler: SchedulerPort,
        attempts: AttemptRunner,
        directory: EndpointDirectory,
        suspects: SuspectReporter,
        metrics: EntryMetrics,
        readiness: HostReadiness,
        clock: Clock,
        tick_s: float,
    ) -> None:
        self._scheduler = scheduler
        self._attempts = attempts
        self._directory = directory
        self._suspects = suspects
        self._metrics = metrics
        self._readiness = readiness
        self._clock = clock
        self._tick_s = tick_s
        self._active_by_id: dict[RequestId, ActiveRequest] = {}
        self._pending: deque[SchedulerCommand] = deque()
        self._executing = False
        self._tick_task: asyncio.Task[None] | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        # Set by the owner of the endpoint records; called before each dispatch.
        self.refresh_records: Callable[[], None] = lambda: None

    async def async_setup(self) -> None:
        """Start the scheduler ticks."""
        self._suspects.on_recorded = self._on_suspects_recorded
        self._tick_task = asyncio.get_running_loop().create_task(self._async_run_ticks())

    async def async_unload(self) -> None:
        """Stop the scheduler ticks and cancel the remaining requests."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        for active in list(self._active_by_id.values()):
            self._abandon(active)
        self._suspects.close()

    @property
    def active(self) -> tuple[ActiveRequest, ...]:
        """Requests that are queued or running."""
        return tuple(self._active_by_id.values())

    @property
    def active_count(self) -> int:
        """Number of requests that are queued or running."""
        return len(self._active_by_id)

    async def async_wait_idle(self) -> None:
        """Wait until no request is queued or running."""
        await self._idle.wait()

    async def async_run(
        self,
        profile: RequestProfile,
        work: ModelCall | ServiceCallRequest,
        sink: TokenSink,
        late_result_timeout_s: float = 0.0,
    ) -> RequestResult:
        """Run a request until it completes, is refused or reaches its deadline.

        Cancelling this coroutine ends the request and closes the connection to the endpoint.

        Args:
            profile: Description of the request for the scheduler.
            work: Call to dispatch.
            sink: Destination of the tokens.
            late_result_timeout_s: How long to wait for a dispatch after the deadline.
        """
        submitted = self._scheduler.submit(profile, self._clock.now())
        if submitted.is_error():
            refusal = submitted.error
            log_admission_refused(profile, refusal)
            return RequestResult(Outcome.NOT_RUN, refusal.code, refusal)
        finished: asyncio.Future[RequestResult] = asyncio.get_running_loop().create_future()
        active = ActiveRequest(profile, work, sink, finished)
        self._active_by_id[profile.request_id] = active
        self._idle.clear()
        self.run_scheduler()
        try:
            return await self._async_wait_finished(active, late_result_timeout_s)
        except TimeoutError:
            return self._expire(active)
        finally:
            self._abandon(active)

    async def _async_wait_finished(
        self, active: ActiveRequest, late_result_timeout_s: float
    ) -> RequestResult:
        """Wait for the result of a request.

        Raises:
            TimeoutError: The deadline and any additional wait for a dispatch have passed.
        """
        try:
            async with asyncio.timeout_at(active.profile.deadline):
                return await asyncio.shield(active.finished)
        except TimeoutError:
            if active.task is None or not late_result_timeout_s:
                raise
        async with asyncio.timeout(late_result_timeout_s):
            return await active.finished

    @callback
    def run_scheduler(self) -> None:
        """Run one scheduler tick and execute its commands."""
        self._execute(self._scheduler.tick(self._clock.now()))

    async def _async_run_ticks(self) -> None:
        """Run scheduler ticks until cancelled."""
        while True:
            # Without requests, ticks only have to expire grants.
            await asyncio.sleep(self._tick_s if self._active_by_id else IDLE_TICK_INTERVAL_S)
            try:
                self.run_scheduler()
            except Exception as error:
                # An error in one tick must not stop later ticks.
                log_event(EventCode.COMPONENT_FAILED, component=self.name, error=repr(error))

    @callback
    def _execute(self, commands: Iterable[SchedulerCommand]) -> None:
        """Execute commands in order, including the commands that they cause."""
        self._pending.extend(commands)
        if self._executing:
            return
        self._executing = True
        try:
            while self._pending:
                self._execute_one(self._pending.popleft())
        finally:
            self._executing = False

    @callback
    def _execute_one(self, command: SchedulerCommand) -> None:
        """Execute one command."""
        match command:
            case StartAttempt():
                self._start_attempt(command)
            case RefuseRequest(request_id, refusal):
                self._refuse(request_id, refusal)
            case ReportSuspects():
                self._suspects.report(command)
            case ClearSuspect(fingerprint):
                self._suspects.clear(fingerprint)

    @callback
    def _start_attempt(self, command: StartAttempt) -> None:
        """Start an attempt, unless it cannot or must not run."""
        active = self._active_by_id.get(command.request_id)
        if active is None:
            self._end_attempt(command, AttemptCancelled(0))
            return
        if active.may_have_run and not active.profile.idempotent:
            # The scheduler should never request this: a second dispatch could run the call twice.
            log_event(
                EventCode.ROUTE_REFUSED,
                request=command.request_id,
                reason="the call may already have run",
            )
            self._end_attempt(command, AttemptCancelled(0))
            refusal = Refusal(ResultCode.OUTCOME_UNKNOWN, "the call may have run")
            self._refuse(command.request_id, refusal)
            return
        lease_refusal = self._readiness.lease_refusal()
        if lease_refusal is not None:
            # The lease may have expired while the request was queued or the process was paused.
            self._end_attempt(command, AttemptCancelled(0))
            self._refuse(command.request_id, lease_refusal)
            return
        self.refresh_records()
        records = [self._directory.record_of(stage) for stage in command.route.stages]
        current = tuple(record for record in records if record is not None)
        if len(current) != len(records):
            missing = command.route.stages[records.index(None)]
            refusal = Refusal(ResultCode.ENDPOINT_LOST, f"{missing.endpoint_id} is no longer known")
            self._end_attempt(
                command, _failed_result(active, command, Dispatch.NO_BYTE_SENT, refusal)
            )
            return
        active.attempt = command.attempt
        active.records = current
        active.task = asyncio.get_running_loop().create_task(self._async_attempt(active, command))

    async def _async_attempt(self, active: ActiveRequest, command: StartAttempt) -> None:
        """Run one attempt."""
        try:
            result = await self._attempts.async_run(active, command)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log_event(EventCode.COMPONENT_FAILED, component=self.name, error=repr(error))
            refusal = Refusal(ResultCode.ANSWER_INCOMPLETE, "the attempt failed")
            result = _failed_result(active, command, Dispatch.MAY_HAVE_RUN, refusal)
        active.task = None
        active.records = ()
        self._apply_result(active, result)
        self._end_attempt(command, result)

    @callback
    def _apply_result(self, active: ActiveRequest, result: AttemptResult) -> None:
        """Update the request from the result of an attempt, and finish it unless it failed."""
        match result:
            case AttemptSucceeded():
                finished = RequestResult(
                    Outcome.DONE,
                    ResultCode.OK,
                    response=active.response,
                    finish_reason=active.finish_reason,
                )
                self._finish(active, finished)
            case AttemptCancelled():
                refusal = Refusal(ResultCode.CALLER_GONE, "the caller takes no more")
                self._finish(active, RequestResult(Outcome.UNKNOWN, refusal.code, refusal))
            case AttemptFailed():
                active.may_have_run |= result.dispatch is Dispatch.MAY_HAVE_RUN
                active.last_refusal = result.refusal
                self._metrics.attempt_failed(result)
                log_attempt_failed(active.profile, active.attempt, result)

    @callback
    def _end_attempt(self, command: StartAttempt, result: AttemptResult) -> None:
        """Report the end of an attempt to the scheduler."""
        self._execute(
            self._scheduler.attempt_ended(
                command.request_id, command.attempt, result, self._clock.now()
            )
        )

    @callback
    def _refuse(self, request_id: RequestId, refusal: Refusal) -> None:
        """Finish a request that the scheduler refused."""
        active = self._active_by_id.get(request_id)
        if active is None:
            return
        outcome = Outcome.UNKNOWN if active.may_have_run else Outcome.NOT_RUN
        log_refused(active.profile, outcome, refusal)
        self._finish(active, RequestResult(outcome, refusal.code, refusal))

    @callback
    def _finish(self, active: ActiveRequest, finished: RequestResult) -> None:
        """Set the result of a request."""
        self._forget(active)
        if not active.finished.done():
            active.finished.set_result(finished)

    @callback
    def _expire(self, active: ActiveRequest) -> RequestResult:
        """Return the result of a request whose deadline has passed."""
        dispatched = active.may_have_run or active.task is not None
        outcome = Outcome.UNKNOWN if dispatched else Outcome.NOT_RUN
        refusal = Refusal(ResultCode.DEADLINE_EXCEEDED, "the deadline has passed")
        return RequestResult(outcome, refusal.code, refusal)

    @callback
    def _abandon(self, active: ActiveRequest) -> None:
        """End a request whose caller disconnected or whose deadline has passed."""
        request_id = active.profile.request_id
        if self._active_by_id.get(request_id) is not active:
            return
        self._forget(active)
        now = self._clock.now()
        if active.task is None:
            self._scheduler.cancel(request_id, now)
            return
        active.task.cancel()
        cancelled = AttemptCancelled(len(active.token_texts))
        self._execute(self._scheduler.attempt_ended(request_id, active.attempt, cancelled, now))

    @callback
    def _forget(self, active: ActiveRequest) -> None:
        """Remove a request from the table."""
        self._active_by_id.pop(active.profile.request_id, None)
        if not self._active_by_id:
            self._idle.set()

    @callback
    def _on_suspects_recorded(self, command: ReportSuspects) -> None:
        """Release suspects after they have been recorded in the replicated state."""
        now = self._clock.now()
        self._execute(self._scheduler.suspects_recorded(command.fingerprints, now))


def _failed_result(
    active: ActiveRequest, command: StartAttempt, dispatch: Dispatch, refusal: Refusal
) -> AttemptFailed:
    """Return the result of an attempt that failed on this host."""
    return AttemptFailed(
        stage=command.route.stages[0],
        dispatch=dispatch,
        endpoint_crashed=False,
        bytes_reached_caller=active.sink.started,
        resumable_tokens=len(active.token_texts),
        refusal=refusal,
    )
