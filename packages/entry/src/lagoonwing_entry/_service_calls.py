"""Service calls, and the durable steps that make non-idempotent calls run at most once.

The claim is requested before any check that can refuse the call, because a resend must never
receive `not_run` if the first call ran. Until the claim is decided, a refusal reports `unknown`;
a resend with the same key is safe at any time.
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
from lagoonwing_entry._active_requests import NullSink
from lagoonwing_entry._request_runner import RequestRunner
from lagoonwing_entry.const import (
    DEADLINE_GRACE_S,
    LATE_RESULT_TIMEOUT_S,
    MAX_STORE_ATTEMPTS,
    STATUS_BY_CODE,
    STORE_RETRY_DELAY_S,
)
from lagoonwing_entry.faults import FaultHook, FaultPoint
from lagoonwing_entry.models import RequestResult, ServiceCallRequest, ServiceResponse
from lagoonwing_entry.ports import ControlPort
from lagoonwing_policy.models import RequestProfile
from lagoonwing_wire.control_messages import (
    ClaimDecision,
    ClaimGranted,
    ClaimInProgress,
    ClaimMismatch,
    ClaimReplay,
    StoredResponse,
    TakeClaim,
)


class ServiceCaller:
    """Runs service calls; non-idempotent calls continue after their caller disconnects."""

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
        """Cancel the background tasks."""
        for task in self._tasks:
            task.cancel()

    async def async_wait_idle(self) -> None:
        """Wait until all background calls and pending outcome writes have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def async_call(self, profile: RequestProfile, call: ServiceCallRequest) -> RequestResult:
        """Run a service call to completion or its deadline."""
        if profile.idempotent:
            return await self._runner.async_run(profile, call, NullSink())
        if call.key is None:
            coroutine = self._runner.async_run(profile, call, NullSink())
        else:
            coroutine = self._async_call_with_claim(profile, call, call.key)
        # The single dispatch must continue so that its outcome is stored, even if the caller
        # disconnects or the deadline passes.
        task = self._start_task(coroutine)
        try:
            async with asyncio.timeout_at(
                max(profile.deadline, self._clock.now()) + DEADLINE_GRACE_S
            ):
                finished: RequestResult = await asyncio.shield(task)
        except TimeoutError:
            return _unknown_result(ResultCode.DEADLINE_EXCEEDED, "the deadline has passed")
        return finished

    async def _async_call_with_claim(
        self, profile: RequestProfile, call: ServiceCallRequest, key: IdempotencyKey
    ) -> RequestResult:
        """Request a claim and act on the decision."""
        self._faults.on_fault_point(FaultPoint.BEFORE_CLAIM)
        claim = TakeClaim(profile.member_id, key, profile.fingerprint, profile.request_id)
        match await self._control.async_claim(claim, self._timeout_s):
            case Result(tag="ok", ok=decision):
                self._log(claim, decision)
                return await self._async_apply_decision(profile, call, claim, decision)
            case Result(error=refusal):
                self._log(claim, refusal)
                # The claim may have been granted although the reply was lost.
                self._start_task(self._async_release(claim))
                return _unknown_result(ResultCode.CLAIM_UNAVAILABLE, refusal.detail)

    async def _async_apply_decision(
        self,
        profile: RequestProfile,
        call: ServiceCallRequest,
        claim: TakeClaim,
        decision: ClaimDecision,
    ) -> RequestResult:
        """Run the call, replay its response or refuse it, as decided."""
        match decision:
            case ClaimGranted():
                self._faults.on_fault_point(FaultPoint.AFTER_CLAIM)
                return await self._async_run_claimed(profile, call, claim)
            case ClaimReplay(answer):
                return _replayed_result(answer)
            case ClaimInProgress():
                detail = "the first call with this key has no known end"
                return _unknown_result(ResultCode.IN_PROGRESS_ELSEWHERE, detail)
            case ClaimMismatch():
                detail = "the key was used with another call"
                refusal = Refusal(ResultCode.IDEMPOTENCY_KEY_REUSED, detail)
                return RequestResult(Outcome.NOT_RUN, refusal.code, refusal)

    async def _async_run_claimed(
        self, profile: RequestProfile, call: ServiceCallRequest, claim: TakeClaim
    ) -> RequestResult:
        """Run the call under its claim and store the outcome before it is returned."""
        finished = await self._runner.async_run(profile, call, NullSink(), LATE_RESULT_TIMEOUT_S)
        if finished.outcome is Outcome.NOT_RUN:
            await self._async_release(claim)
            return finished
        self._faults.on_fault_point(FaultPoint.BEFORE_STORE)
        if not await self._async_store_once(claim, _stored_answer(finished)):
            # The result is valid although it cannot be replayed yet.
            self._start_task(self._async_store(claim, _stored_answer(finished)))
        self._faults.on_fault_point(FaultPoint.AFTER_STORE)
        return finished

    async def _async_store_once(self, claim: TakeClaim, answer: StoredResponse) -> bool:
        """Store the outcome once; return whether that was accepted."""
        stored = await self._control.async_store_outcome(
            claim.member_id, claim.key, claim.request_id, answer, self._timeout_s
        )
        return stored.is_ok()

    async def _async_store(self, claim: TakeClaim, answer: StoredResponse) -> None:
        """Store the outcome, with retries."""
        await self._async_retry(lambda: self._async_store_once(claim, answer))

    async def _async_release(self, claim: TakeClaim) -> None:
        """Release the claim, with retries."""

        async def async_release_once() -> bool:
            released = await self._control.async_release_claim(
                claim.member_id, claim.key, claim.request_id, self._timeout_s
            )
            return released.is_ok()

        await self._async_retry(async_release_once)

    async def _async_retry(self, async_once: Callable[[], Awaitable[bool]]) -> None:
        """Retry a durable step; if every try fails, resends receive `unknown`."""
        for _ in range(MAX_STORE_ATTEMPTS):
            if await async_once():
                return
            await asyncio.sleep(STORE_RETRY_DELAY_S)

    def _log(self, claim: TakeClaim, decision: ClaimDecision | Refusal) -> None:
        """Log the decision on a claim."""
        log_event(
            EventCode.CLAIM_DECIDED,
            request=claim.request_id,
            member=claim.member_id,
            decision=type(decision).__name__,
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine in the background, independent of its caller."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _unknown_result(code: ResultCode, detail: str) -> RequestResult:
    """Return the result of a call whose outcome is unknown."""
    refusal = Refusal(code, detail)
    return RequestResult(Outcome.UNKNOWN, code, refusal)


def _stored_answer(finished: RequestResult) -> StoredResponse:
    """Return the response to store for replay."""
    response = finished.response
    if response is None:
        status = STATUS_BY_CODE[ResultCode.OUTCOME_UNKNOWN]
        return StoredResponse(status, (), b"", finished.outcome, finished.code)
    return StoredResponse(
        response.status, response.headers, response.body, finished.outcome, finished.code
    )


def _replayed_result(answer: StoredResponse) -> RequestResult:
    """Return the stored response of the first call."""
    if answer.outcome is not Outcome.DONE:
        return _unknown_result(
            ResultCode.OUTCOME_UNKNOWN, "the first call ended without a known outcome"
        )
    response = ServiceResponse(answer.status, answer.headers, answer.body)
    return RequestResult(Outcome.DONE, ResultCode.REPLAYED, response=response)
