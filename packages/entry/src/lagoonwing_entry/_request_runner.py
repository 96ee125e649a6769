"""Carries out what the scheduler commands."""

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
from lagoonwing_entry._host_state import HostStateTable
from lagoonwing_entry._request_log import (
    log_admission_refused,
    log_attempt_failed,
    log_refused,
)
from lagoonwing_entry._suspects import SuspectReporter
from lagoonwing_entry.const import IDLE_TICK_S
from lagoonwing_entry.diagnostics import EntryMetrics
from lagoonwing_entry.models import Finished, ModelCall, ServiceCallBody
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
    """Submits requests, runs their attempts and tells how they ended."""

    name = "request_runner"

    def __init__(
        self,
        scheduler: SchedulerPort,
        attempts: AttemptRunner,
        directory: EndpointDirectory,
        suspects: SuspectReporter,
        metrics: EntryMetrics,
        state: HostStateTable,
        clock: Clock,
        tick_s: float,
    ) -> None:
        self._scheduler = scheduler
        self._attempts = attempts
        self._directory = directory
        self._suspects = suspects
        self._metrics = metrics
        self._state = state
        self._clock = clock
        self._tick_s = tick_s
        self._active_by_id: dict[RequestId, ActiveRequest] = {}
        self._pending: deque[SchedulerCommand] = deque()
        self._carrying_out = False
        self._ticker: asyncio.Task[None] | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        # Set by whoever keeps the endpoint records; called before each dispatch.
        self.refresh_records: Callable[[], None] = lambda: None

    async def async_setup(self) -> None:
        """Start to tick."""
        self._suspects.on_recorded = self._on_suspects_recorded
        self._ticker = asyncio.get_running_loop().create_task(self._async_tick())

    async def async_unload(self) -> None:
        """Stop to tick and cancel what still runs."""
        if self._ticker is not None:
            self._ticker.cancel()
        for active in list(self._active_by_id.values()):
            self._abandon(active)
        self._suspects.close()

    @property
    def active(self) -> tuple[ActiveRequest, ...]:
        """Requests that wait or run."""
        return tuple(self._active_by_id.values())

    @property
    def active_count(self) -> int:
        """Number of requests that wait or run."""
        return len(self._active_by_id)

    async def async_wait_idle(self) -> None:
        """Wait until no request waits or runs."""
        await self._idle.wait()

    async def async_run(
        self,
        profile: RequestProfile,
        work: ModelCall | ServiceCallBody,
        sink: TokenSink,
        linger_s: float = 0.0,
    ) -> Finished:
        """Run a request to its end, its refusal or its deadline.

        Cancelling this call ends the request; the endpoint is told by closing the connection.

        Args:
            profile: What the scheduler needs to know.
            work: What is dispatched.
            sink: Where tokens go.
            linger_s: How long a dispatch is waited for past the deadline.
        """
        submitted = self._scheduler.submit(profile, self._clock.now())
        if submitted.is_error():
            refusal = submitted.error
            log_admission_refused(profile, refusal)
            return Finished(Outcome.NOT_RUN, refusal.code, refusal)
        finished: asyncio.Future[Finished] = asyncio.get_running_loop().create_future()
        active = ActiveRequest(profile, work, sink, finished)
        self._active_by_id[profile.request_id] = active
        self._idle.clear()
        self.pump()
        try:
            return await self._async_finished(active, linger_s)
        except TimeoutError:
            return self._expire(active)
        finally:
            self._abandon(active)

    async def _async_finished(self, active: ActiveRequest, linger_s: float) -> Finished:
        """Wait for the end of a request.

        Raises:
            TimeoutError: The deadline has passed, and a dispatch's additional time too.
        """
        try:
            async with asyncio.timeout_at(active.profile.deadline):
                return await asyncio.shield(active.finished)
        except TimeoutError:
            if active.task is None or not linger_s:
                raise
        async with asyncio.timeout(linger_s):
            return await active.finished

    @callback
    def pump(self) -> None:
        """Tick the scheduler and carry out its commands."""
        self._carry_out(self._scheduler.tick(self._clock.now()))

    async def _async_tick(self) -> None:
        """Tick for ever."""
        while True:
            # Without requests only lapsing grants are left to the ticks.
            await asyncio.sleep(self._tick_s if self._active_by_id else IDLE_TICK_S)
            try:
                self.pump()
            except Exception as error:
                # One bad decision must not end all the others.
                log_event(EventCode.COMPONENT_FAILED, component=self.name, error=repr(error))

    @callback
    def _carry_out(self, commands: Iterable[SchedulerCommand]) -> None:
        """Carry commands out in order, with those that follow from them."""
        self._pending.extend(commands)
        if self._carrying_out:
            return
        self._carrying_out = True
        try:
            while self._pending:
                self._carry_out_one(self._pending.popleft())
        finally:
            self._carrying_out = False

    @callback
    def _carry_out_one(self, command: SchedulerCommand) -> None:
        """Carry one command out."""
        match command:
            case StartAttempt():
                self._start(command)
            case RefuseRequest(request_id, refusal):
                self._refuse(request_id, refusal)
            case ReportSuspects():
                self._suspects.report(command)
            case ClearSuspect(fingerprint):
                self._suspects.clear(fingerprint)

    @callback
    def _start(self, command: StartAttempt) -> None:
        """Start an attempt, unless it can't or must not run."""
        active = self._active_by_id.get(command.request_id)
        if active is None:
            self._end(command, AttemptCancelled(0))
            return
        if active.may_have_run and not active.profile.idempotent:
            # The scheduler never asks for this; a second dispatch would be past mending.
            log_event(EventCode.ROUTE_REFUSED, request=command.request_id, reason="may have run")
            self._end(command, AttemptCancelled(0))
            refusal = Refusal(ResultCode.OUTCOME_UNKNOWN, "the call may have run")
            self._refuse(command.request_id, refusal)
            return
        lapsed = self._state.lease_refusal()
        if lapsed is not None:
            # The lease may have lapsed while the request waited, or while the process stood still.
            self._end(command, AttemptCancelled(0))
            self._refuse(command.request_id, lapsed)
            return
        self.refresh_records()
        records = [self._directory.record_of(stage) for stage in command.route.stages]
        known = tuple(record for record in records if record is not None)
        if len(known) != len(records):
            gone = command.route.stages[records.index(None)]
            refusal = Refusal(ResultCode.ENDPOINT_LOST, f"{gone.endpoint_id} is no longer known")
            self._end(command, _failed_before(active, command, refusal))
            return
        active.attempt = command.attempt
        active.records = known
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
            result = AttemptFailed(
                stage=command.route.stages[0],
                dispatch=Dispatch.MAY_HAVE_RUN,
                endpoint_died=False,
                bytes_reached_caller=active.sink.started,
                resumable_tokens=len(active.texts),
                refusal=refusal,
            )
        active.task = None
        active.records = ()
        self._note_result(active, result)
        self._end(command, result)

    @callback
    def _note_result(self, active: ActiveRequest, result: AttemptResult) -> None:
        """Draw from a result what the caller is told."""
        match result:
            case AttemptSucceeded():
                finished = Finished(
                    Outcome.DONE,
                    ResultCode.OK,
                    answer=active.answer,
                    finish_reason=active.finish_reason,
                )
                self._finish(active, finished)
            case AttemptCancelled():
                refusal = Refusal(ResultCode.CALLER_GONE, "the caller takes no more")
                self._finish(active, Finished(Outcome.UNKNOWN, refusal.code, refusal))
            case AttemptFailed():
                active.may_have_run |= result.dispatch is Dispatch.MAY_HAVE_RUN
                active.last_refusal = result.refusal
                self._metrics.attempt_failed(result)
                log_attempt_failed(active.profile, active.attempt, result)

    @callback
    def _end(self, command: StartAttempt, result: AttemptResult) -> None:
        """Tell the scheduler of an attempt's end."""
        self._carry_out(
            self._scheduler.attempt_ended(
                command.request_id, command.attempt, result, self._clock.now()
            )
        )

    @callback
    def _refuse(self, request_id: RequestId, refusal: Refusal) -> None:
        """End a request that the scheduler gives up."""
        active = self._active_by_id.get(request_id)
        if active is None:
            return
        outcome = Outcome.UNKNOWN if active.may_have_run else Outcome.NOT_RUN
        log_refused(active.profile, outcome, refusal)
        self._finish(active, Finished(outcome, refusal.code, refusal))

    @callback
    def _finish(self, active: ActiveRequest, finished: Finished) -> None:
        """Hand the end of a request to whoever waits for it."""
        self._forget(active)
        if not active.finished.done():
            active.finished.set_result(finished)

    @callback
    def _expire(self, active: ActiveRequest) -> Finished:
        """Return how a request ended whose deadline has passed."""
        dispatched = active.may_have_run or active.task is not None
        outcome = Outcome.UNKNOWN if dispatched else Outcome.NOT_RUN
        refusal = Refusal(ResultCode.DEADLINE_EXCEEDED, "the deadline has passed")
        return Finished(outcome, refusal.code, refusal)

    @callback
    def _abandon(self, active: ActiveRequest) -> None:
        """End a request whose caller is gone or whose deadline has passed."""
        request_id = active.profile.request_id
        if self._active_by_id.get(request_id) is not active:
            return
        self._forget(active)
        now = self._clock.now()
        if active.task is None:
            self._scheduler.cancel(request_id, now)
            return
        active.task.cancel()
        cancelled = AttemptCancelled(len(active.texts))
        self._carry_out(self._scheduler.attempt_ended(request_id, active.attempt, cancelled, now))

    @callback
    def _forget(self, active: ActiveRequest) -> None:
        """Drop a request from the table."""
        self._active_by_id.pop(active.profile.request_id, None)
        if not self._active_by_id:
            self._idle.set()

    @callback
    def _on_suspects_recorded(self, command: ReportSuspects) -> None:
        """Let suspects run again, now that every host knows of them."""
        now = self._clock.now()
        self._carry_out(self._scheduler.suspects_recorded(command.fingerprints, now))


def _failed_before(active: ActiveRequest, command: StartAttempt, refusal: Refusal) -> AttemptFailed:
    """Return the result of an attempt of which no byte was sent."""
    return AttemptFailed(
        stage=command.route.stages[0],
        dispatch=Dispatch.NO_BYTE_SENT,
        endpoint_died=False,
        bytes_reached_caller=active.sink.started,
        resumable_tokens=len(active.texts),
        refusal=refusal,
    )
