"""Plain calls, and the order of durable steps around those that may run only once.

The claim is looked up before anything can refuse the call, for a resend whose first try ran
must never be told `not_run`. Until the claim is decided a refusal says `unknown`: a resend
with the same key is safe at any time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from expression import Result

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import IdempotencyKey
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_entry._active_requests import NoSink
from lagoonwing_entry._request_runner import RequestRunner
from lagoonwing_entry.const import (
    DEADLINE_SLACK_S,
    LATE_OUTCOME_S,
    STATUS_BY_CODE,
    STORE_RETRIES,
    STORE_RETRY_S,
)
from lagoonwing_entry.faults import FaultHook, FaultPoint
from lagoonwing_entry.models import Finished, ServiceAnswer, ServiceCallBody
from lagoonwing_entry.ports import ControlPort
from lagoonwing_policy.models import RequestProfile
from lagoonwing_wire.control_messages import (
    ClaimDecision,
    ClaimGranted,
    ClaimInProgress,
    ClaimMismatch,
    ClaimReplay,
    StoredAnswer,
    TakeClaim,
)


class ServiceCaller:
    """Runs plain calls; calls that may run only once outlive their callers."""

    def __init__(
        self,
        runner: RequestRunner,
        control: ControlPort,
        faults: FaultHook,
        clock: Clock,
        timeout_s: float,
    ) -> None:
        self._runner = runner
        self._control = control
        self._faults = faults
        self._clock = clock
        self._timeout_s = timeout_s
        self._tasks: set[asyncio.Task[Any]] = set()

    @callback
    def close(self) -> None:
        """Cancel what still runs in the background."""
        for task in self._tasks:
            task.cancel()

    async def async_wait_idle(self) -> None:
        """Wait until every outcome that is being stored has been stored or given up."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def async_call(self, profile: RequestProfile, call: ServiceCallBody) -> Finished:
        """Run a plain call to its end."""
        if profile.idempotent:
            return await self._runner.async_run(profile, call, NoSink())
        if call.key is None:
            running = self._runner.async_run(profile, call, NoSink())
        else:
            running = self._async_claimed(profile, call, call.key)
        # The caller may go, and the deadline pass; the outcome of the only dispatch must still
        # be learnt and stored.
        task = self._start(running)
        try:
            async with asyncio.timeout_at(
                max(profile.deadline, self._clock.now()) + DEADLINE_SLACK_S
            ):
                finished: Finished = await asyncio.shield(task)
        except TimeoutError:
            return _unknown(ResultCode.DEADLINE_EXCEEDED, "the deadline has passed")
        return finished

    async def _async_claimed(
        self, profile: RequestProfile, call: ServiceCallBody, key: IdempotencyKey
    ) -> Finished:
        """Claim, then act on the decision."""
        self._faults.reach(FaultPoint.BEFORE_CLAIM)
        claim = TakeClaim(profile.member_id, key, profile.fingerprint, profile.request_id)
        match await self._control.async_claim(claim, self._timeout_s):
            case Result(tag="ok", ok=decision):
                self._log(claim, decision)
                return await self._async_decided(profile, call, claim, decision)
            case Result(error=refusal):
                self._log(claim, refusal)
                # The claim may have been accepted although its answer was lost.
                self._start(self._async_release(claim))
                return _unknown(ResultCode.CLAIM_UNAVAILABLE, refusal.detail)

    async def _async_decided(
        self,
        profile: RequestProfile,
        call: ServiceCallBody,
        claim: TakeClaim,
        decision: ClaimDecision,
    ) -> Finished:
        """Run, replay or refuse."""
        match decision:
            case ClaimGranted():
                self._faults.reach(FaultPoint.AFTER_CLAIM)
                return await self._async_run_claimed(profile, call, claim)
            case ClaimReplay(answer):
                return _replayed(answer)
            case ClaimInProgress():
                detail = "the first call with this key has no known end"
                return _unknown(ResultCode.IN_PROGRESS_ELSEWHERE, detail)
            case ClaimMismatch():
                detail = "the key was used with another call"
                refusal = Refusal(ResultCode.IDEMPOTENCY_KEY_REUSED, detail)
                return Finished(Outcome.NOT_RUN, refusal.code, refusal)

    async def _async_run_claimed(
        self, profile: RequestProfile, call: ServiceCallBody, claim: TakeClaim
    ) -> Finished:
        """Run the call under its claim and make its outcome durable before it is told."""
        finished = await self._runner.async_run(profile, call, NoSink(), LATE_OUTCOME_S)
        if finished.outcome is Outcome.NOT_RUN:
            await self._async_release(claim)
            return finished
        self._faults.reach(FaultPoint.BEFORE_STORE)
        if not await self._async_store_once(claim, _stored(finished)):
            # The answer is true although it can't be replayed yet.
            self._start(self._async_store(claim, _stored(finished)))
        self._faults.reach(FaultPoint.AFTER_STORE)
        return finished

    async def _async_store_once(self, claim: TakeClaim, answer: StoredAnswer) -> bool:
        """Store the outcome; return whether that was accepted."""
        stored = await self._control.async_store_outcome(
            claim.member_id, claim.key, claim.request_id, answer, self._timeout_s
        )
        return stored.is_ok()

    async def _async_store(self, claim: TakeClaim, answer: StoredAnswer) -> None:
        """Store the outcome, with retries."""
        await self._async_retry(lambda: self._async_store_once(claim, answer))

    async def _async_release(self, claim: TakeClaim) -> None:
        """Give the claim up, with retries."""

        async def async_release_once() -> bool:
            released = await self._control.async_release_claim(
                claim.member_id, claim.key, claim.request_id, self._timeout_s
            )
            return released.is_ok()

        await self._async_retry(async_release_once)

    async def _async_retry(self, async_once: Callable[[], Awaitable[bool]]) -> None:
        """Repeat a durable step a few times; without it resends are told `unknown`."""
        for _ in range(STORE_RETRIES):
            if await async_once():
                return
            await asyncio.sleep(STORE_RETRY_S)

    def _log(self, claim: TakeClaim, decision: ClaimDecision | Refusal) -> None:
        """Log the decision on a claim."""
        log_event(
            EventCode.CLAIM_DECIDED,
            request=claim.request_id,
            member=claim.member_id,
            decision=type(decision).__name__,
        )

    def _start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine that outlives its caller."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _unknown(code: ResultCode, detail: str) -> Finished:
    """Return the end of a call of which nothing can be said."""
    refusal = Refusal(code, detail)
    return Finished(Outcome.UNKNOWN, code, refusal)


def _stored(finished: Finished) -> StoredAnswer:
    """Return what is kept for replay."""
    answer = finished.answer
    if answer is None:
        status = STATUS_BY_CODE[ResultCode.OUTCOME_UNKNOWN]
        return StoredAnswer(status, (), b"", finished.outcome, finished.code)
    return StoredAnswer(answer.status, answer.headers, answer.body, finished.outcome, finished.code)


def _replayed(answer: StoredAnswer) -> Finished:
    """Return the first answer once more."""
    if answer.outcome is not Outcome.DONE:
        return _unknown(ResultCode.OUTCOME_UNKNOWN, "the first call ended without a known outcome")
    kept = ServiceAnswer(answer.status, answer.headers, answer.body)
    return Finished(Outcome.DONE, ResultCode.REPLAYED, answer=kept)
