"""Requests that wait for capacity, and the events that let them start.

The order and the refusals are decided by `lagoonwing_admission`; this module runs the decisions
when capacity may have become free.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from lagoonwing_admission import (
    Admitted,
    Rejected,
    RejectReason,
    WaitingRoom,
    WaitingRoomSettings,
    WorkId,
)
from lagoonwing_catalog.messages import LoadSummary, ServicePressure
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import ServiceId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_gateway._admission_log import log_admission
from lagoonwing_gateway._admission_request import AdmissionRequest
from lagoonwing_gateway.const import (
    MAX_ADMISSION_CANDIDATES,
    RECHECK_INTERVAL_S,
    REPAIR_JITTER_S,
    RETRY_AFTER_JITTER_S,
)
from lagoonwing_gateway.diagnostics import GatewayMetrics
from lagoonwing_gateway.models import CallerGone, NotAdmitted
from lagoonwing_gateway.ports import Responder

ClaimT = TypeVar("ClaimT")

_NO_PRESSURE = ServicePressure(0.0, {})
_CODE_BY_REASON = {
    RejectReason.QUEUE_FULL: ResultCode.QUEUE_FULL,
    RejectReason.WAIT_TOO_LONG: ResultCode.QUEUE_FULL,
    RejectReason.DEADLINE_UNREACHABLE: ResultCode.DEADLINE_UNREACHABLE,
}


@dataclass(slots=True, eq=False)
class _Waiter(Generic[ClaimT]):
    """A waiting request and the future that gets its outcome.

    Attributes:
        try_claim: Claims capacity for the request; returns None if there is none.
        is_hopeless: Returns whether a limit of the endpoints keeps it from being served.
        is_started: Whether capacity has been claimed for it.
    """

    request: AdmissionRequest
    try_claim: Callable[[], ClaimT | None]
    is_hopeless: Callable[[], bool]
    future: asyncio.Future[ClaimT | NotAdmitted | CallerGone]
    is_started: bool = False

    @callback
    def resolve(self, outcome: ClaimT | NotAdmitted | CallerGone) -> None:
        """End the wait."""
        if not self.future.done():
            self.future.set_result(outcome)

    @callback
    def fail(self, error: Exception) -> None:
        """End the wait with an error, which is raised where the request waits."""
        if not self.future.done():
            self.future.set_exception(error)


class AdmissionQueue:
    """Waiting requests of one gateway, in one waiting room per service."""

    def __init__(
        self,
        settings: WaitingRoomSettings,
        clock: Clock,
        rng: random.Random,
        load_summary: Callable[[], LoadSummary],
        load_age: Callable[[], float],
        gateways: Callable[[], int],
        metrics: GatewayMetrics,
    ) -> None:
        """Create an empty queue.

        Args:
            settings: Order of the queues and their bounds.
            clock: Time source.
            rng: Random source.
            load_summary: Returns the demand at the other gateways.
            load_age: Returns the age of that summary in seconds.
            gateways: Returns the number of live gateways.
            metrics: Metrics of the gateway.
        """
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._load_summary = load_summary
        self._load_age = load_age
        self._gateways = gateways
        self._metrics = metrics
        self._numbers = itertools.count()
        self._room_by_service: dict[ServiceId, WaitingRoom[AdmissionRequest]] = {}
        self._waiter_by_id: dict[WorkId, _Waiter[Any]] = {}
        # Waiting requests that a limit of their endpoints may make hopeless.
        self._limited_by_id: dict[WorkId, _Waiter[Any]] = {}
        # Services of which a started request has not taken its capacity yet.
        self._starting_services: set[ServiceId] = set()
        self._seen_ranks: set[int] = set()
        self._is_run_scheduled = False
        self._timer: asyncio.TimerHandle | None = None

    def next_work_id(self) -> WorkId:
        """Return an id for a request; those of callers need not be unique."""
        return WorkId(str(next(self._numbers)))

    @callback
    def claim_now(
        self, request: AdmissionRequest, try_claim: Callable[[], ClaimT | None]
    ) -> ClaimT | None:
        """Claim capacity for a request that no waiting one precedes, or return None."""
        if request.service_id in self._starting_services:
            return None
        room = self._room(request.service_id)
        if room.has_work_before(request.rank):
            return None
        claim = try_claim()
        if claim is not None:
            room.started(request, self._clock.now())
        return claim

    async def async_claim(
        self,
        request: AdmissionRequest,
        try_claim: Callable[[], ClaimT | None],
        responder: Responder,
        is_hopeless: Callable[[], bool] | None = None,
    ) -> ClaimT | NotAdmitted | CallerGone:
        """Wait until capacity can be claimed for a request.

        The caller of this method must use the claim before it awaits anything else, so that the
        next waiting request sees the capacity taken.

        Args:
            request: The request.
            try_claim: Claims capacity for it; returns None if there is none.
            responder: Tells when its caller disconnects.
            is_hopeless: Returns whether a limit of the endpoints keeps it from being served; None
                if they have named none.
        """
        if responder.is_disconnected:
            # The callback for a disconnect is not called for one that has already happened.
            return CallerGone()
        rejected = self._submit(request)
        if rejected is not None:
            return rejected
        waiter = _Waiter(
            request,
            try_claim,
            is_hopeless or _is_never_hopeless,
            asyncio.get_running_loop().create_future(),
        )
        self._waiter_by_id[request.work_id] = waiter
        if is_hopeless is not None:
            self._limited_by_id[request.work_id] = waiter
        self._seen_ranks.add(request.rank)
        responder.set_on_disconnect(lambda: waiter.resolve(CallerGone()))
        self.wake()
        try:
            outcome = await waiter.future
        finally:
            responder.set_on_disconnect(_ignore_disconnect)
            del self._waiter_by_id[request.work_id]
            self._limited_by_id.pop(request.work_id, None)
            self._room(request.service_id).withdraw(request)
            if waiter.is_started:
                self._starting_services.discard(request.service_id)
            # The next run follows once the caller of this method has taken its capacity, if any. A
            # request that was in the way of others may also have left without starting.
            self.wake()
        self._record_outcome(request, outcome)
        return outcome

    @callback
    def wake(self) -> None:
        """Try the waiting requests soon, since capacity may have become free."""
        if self._waiter_by_id and not self._is_run_scheduled:
            self._is_run_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    @callback
    def end_waits(self, service_id: ServiceId, detail: str) -> None:
        """End the waits for a service whose endpoints can't be used here any more."""
        for waiter in list(self._waiter_by_id.values()):
            if waiter.request.service_id == service_id and not waiter.future.done():
                self._refuse(waiter.request, detail)

    def waiting_cost_by_service(self) -> dict[ServiceId, dict[int, float]]:
        """Return the cost of the waiting requests by rank, for services with any."""
        return {
            service_id: room.waiting_cost_by_rank()
            for service_id, room in self._room_by_service.items()
            if len(room)
        }

    def waiting_count_by_rank(self) -> dict[int, int]:
        """Return the number of waiting requests by rank, 0 for a rank of which none waits now."""
        counts = dict.fromkeys(self._seen_ranks, 0)
        for waiter in self._waiter_by_id.values():
            counts[waiter.request.rank] += 1
        return counts

    def refusal(self, request: AdmissionRequest, code: ResultCode, detail: str) -> NotAdmitted:
        """Return the refusal of a request with the time at which there will be capacity."""
        now = self._clock.now()
        room = self._room(request.service_id)
        longest_s = request.longest_retry_after_s(now)
        retry_after_s = room.retry_after_s(request, longest_s, now, self._gateways())
        return NotAdmitted(code, detail, retry_after_s)

    def refusal_until(self, request: AdmissionRequest, ready_s: float) -> NotAdmitted:
        """Return the refusal of a request whose service can't run it for some time."""
        jittered_s = ready_s + self._rng.random() * REPAIR_JITTER_S
        longest_s = request.longest_retry_after_s(self._clock.now())
        self._metrics.not_admitted("layers_missing")
        return NotAdmitted(
            ResultCode.NO_ENDPOINT,
            "no endpoint holds some of the layers",
            min(jittered_s, longest_s),
        )

    def refusal_while_declined(self, request: AdmissionRequest, ready_in_s: float) -> NotAdmitted:
        """Return the refusal of a request while all endpoints leave or want a pause.

        Args:
            request: The request.
            ready_in_s: Time until the first of them takes requests; infinite if all leave.
        """
        self._metrics.not_admitted("endpoints_decline")
        if math.isinf(ready_in_s):
            return self.refusal(request, ResultCode.NO_ENDPOINT, "all endpoints leave")
        detail = "all endpoints that could run it want a pause"
        # The caller can't be served earlier, however long it is going to wait.
        retry_after_s = ready_in_s + self._rng.random() * RETRY_AFTER_JITTER_S
        return NotAdmitted(ResultCode.ENDPOINTS_PAUSED, detail, retry_after_s)

    @callback
    def _submit(self, request: AdmissionRequest) -> NotAdmitted | None:
        """Let a request wait, or return its refusal."""
        now = self._clock.now()
        room = self._room(request.service_id)
        pressure = self._load_summary().pressure_by_service.get(request.service_id, _NO_PRESSURE)
        rate = room.started_cost_per_s(now) + pressure.started_cost_per_s
        remote_ahead = sum(
            cost for rank, cost in pressure.waiting_cost_by_rank.items() if rank <= request.rank
        )
        match room.submit(request, now, remote_ahead, rate or None):
            case Admitted():
                return None
            case Rejected(reason=reason, expected_wait_s=expected_wait_s):
                log_admission(
                    request,
                    "refused",
                    0.0,
                    queued=len(room),
                    age_s=self._load_age(),
                    expected_wait_s=expected_wait_s,
                    rate=rate,
                )
                self._metrics.not_admitted(reason.value)
                detail = "the expected wait for capacity is longer than the caller waits"
                return self.refusal(request, _CODE_BY_REASON[reason], detail)

    @callback
    def _record_outcome(
        self, request: AdmissionRequest, outcome: object | NotAdmitted | CallerGone
    ) -> None:
        """Log how a wait ended."""
        waited_s = self._clock.now() - request.submitted
        match outcome:
            case CallerGone():
                decision = "caller_gone"
            case NotAdmitted():
                decision = "expired"
                self._metrics.not_admitted(decision)
            case _:
                decision = "started"
        self._metrics.waited(waited_s)
        log_admission(
            request,
            decision,
            waited_s,
            queued=len(self._room(request.service_id)),
            age_s=self._load_age(),
        )

    @callback
    def _run(self) -> None:
        """Start or refuse waiting requests of all services."""
        self._is_run_scheduled = False
        now = self._clock.now()
        for service_id, room in list(self._room_by_service.items()):
            if len(room):
                self._run_room(service_id, room, now)
        self._set_timer(now)

    @callback
    def _run_room(
        self, service_id: ServiceId, room: WaitingRoom[AdmissionRequest], now: float
    ) -> None:
        """Refuse what has waited too long, and start the first request that finds capacity."""
        for request in room.expired(now):
            self._refuse(request, "no capacity became free in time")
        for waiter in self._hopeless(room):
            self._refuse(waiter.request, "no permit becomes free in time")
        if service_id in self._starting_services:
            return
        for request in room.candidates(now, MAX_ADMISSION_CANDIDATES):
            waiter = self._waiter_by_id[request.work_id]
            if waiter.future.done():
                continue
            try:
                claim = waiter.try_claim()
            except Exception as error:
                self._fail(waiter, error)
                continue
            if claim is not None:
                room.started(request, now)
                waiter.is_started = True
                self._starting_services.add(service_id)
                waiter.resolve(claim)
                return

    @callback
    def _refuse(self, request: AdmissionRequest, detail: str) -> None:
        """Refuse a waiting request."""
        self._room(request.service_id).withdraw(request)
        waiter = self._waiter_by_id.get(request.work_id)
        if waiter is not None:
            waiter.resolve(self.refusal(request, ResultCode.NO_ENDPOINT, detail))

    @callback
    def _fail(self, waiter: _Waiter[Any], error: Exception) -> None:
        """End a wait by an error of its own check, so that the other requests are still tried."""
        self._room(waiter.request.service_id).withdraw(waiter.request)
        waiter.fail(error)

    def _hopeless(self, room: WaitingRoom[AdmissionRequest]) -> Iterator[_Waiter[Any]]:
        """Yield the waiting requests that a limit of the endpoints keeps from being served."""
        for waiter in list(self._limited_by_id.values()):
            if self._room(waiter.request.service_id) is not room:
                continue
            try:
                is_hopeless = waiter.is_hopeless()
            except Exception as error:
                self._fail(waiter, error)
                continue
            if is_hopeless:
                yield waiter

    @callback
    def _set_timer(self, now: float) -> None:
        """Schedule the next run: estimated queues drain with time, and requests expire."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        expiries = (room.next_expiry() for room in self._room_by_service.values() if len(room))
        due = min((at for at in expiries if at is not None), default=None)
        if due is not None:
            delay_s = max(0.0, min(due - now, RECHECK_INTERVAL_S))
            self._timer = asyncio.get_running_loop().call_later(delay_s, self.wake)

    def _room(self, service_id: ServiceId) -> WaitingRoom[AdmissionRequest]:
        """Return the waiting room of a service."""
        room = self._room_by_service.get(service_id)
        if room is None:
            room = WaitingRoom(self._settings, self._rng)
            self._room_by_service[service_id] = room
        return room


def _is_never_hopeless() -> bool:
    """Return False, for requests that no limit of an endpoint concerns."""
    return False


def _ignore_disconnect() -> None:
    """Ignore a disconnect after the wait has ended."""
