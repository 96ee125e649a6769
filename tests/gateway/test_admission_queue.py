"""The gateway's queue for capacity: what wakes it, who starts, who is refused and when."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import pytest

from lagoonwing_admission import WaitingRoomSettings
from lagoonwing_admission.models import FirstComeFirstServed
from lagoonwing_catalog.messages import LoadSummary, ServicePressure
from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import AttemptId, MemberId, RouteId, ServiceId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_gateway._admission_queue import AdmissionQueue
from lagoonwing_gateway._admission_request import AdmissionRequest
from lagoonwing_gateway.const import (
    MAX_RETRY_AFTER_SHARE,
    RECHECK_INTERVAL_S,
    REPAIR_JITTER_S,
)
from lagoonwing_gateway.diagnostics import GatewayMetrics
from lagoonwing_gateway.models import CallerGone, NotAdmitted

SERVICE = ServiceId("models")
COST = 800.0
WAIT_LIMIT_S = 1.5
DEADLINE_S = 20.0


class FakeResponder:
    """Caller that may disconnect."""

    def __init__(self) -> None:
        self.is_disconnected = False
        self._on_disconnect: Callable[[], object] = lambda: None

    def set_on_disconnect(self, on_disconnect: Callable[[], object]) -> None:
        """Set the callback for when the caller disconnects."""
        self._on_disconnect = on_disconnect

    def disconnect(self) -> None:
        """Close the connection of the caller."""
        self.is_disconnected = True
        self._on_disconnect()


class SuspendableClock(LoopClock):
    """Clock of a process that may be suspended for a while.

    Attributes:
        suspended_s: Time of all suspensions so far.
    """

    suspended_s = 0.0

    def now(self) -> float:
        """Return the time in seconds."""
        return super().now() + self.suspended_s


@dataclass
class Slots:
    """Capacity of a service as slots; a request takes its slot after it has been told to start."""

    free: int
    started: list[str] = field(default_factory=list)

    def try_claim(self, name: str) -> str | None:
        """Claim a slot; it is taken by `take`, as a path is taken by its first attempt."""
        return name if self.free > 0 else None

    def take(self, name: str) -> None:
        """Take a claimed slot."""
        assert self.free > 0, "two requests were started for one slot"
        self.free -= 1
        self.started.append(name)


class QueueUnderTest:
    """A queue with fake capacity and callers."""

    def __init__(self, free: int, settings: WaitingRoomSettings | None = None) -> None:
        self.slots = Slots(free)
        self.summary = LoadSummary({})
        self.clock = SuspendableClock()
        self.queue = AdmissionQueue(
            settings or WaitingRoomSettings(),
            self.clock,
            random.Random(1),
            lambda: self.summary,
            lambda: 0.1,
            lambda: 1,
            GatewayMetrics(),
        )
        self.outcome_by_name: dict[str, str | NotAdmitted | CallerGone] = {}
        self.error_by_name: dict[str, Exception] = {}
        self.ended_at_by_name: dict[str, float] = {}
        self.responder_by_name: dict[str, FakeResponder] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def submit(
        self,
        name: str,
        *,
        service: ServiceId = SERVICE,
        rank: int = 1,
        member: str = "m",
        returned_s: float = 0.0,
        wait_limit_s: float = WAIT_LIMIT_S,
        is_hopeless: Callable[[], bool] | None = None,
        try_claim: Callable[[], str | None] | None = None,
    ) -> None:
        """Let a request of a caller arrive, whose first attempt was `returned_s` ago."""
        claim = try_claim or (lambda: self.slots.try_claim(name))
        now = self.clock.now()
        request = AdmissionRequest(
            self.queue.next_work_id(),
            AttemptId(name),
            RouteId("r"),
            service,
            MemberId(member),
            rank,
            COST,
            submitted=now,
            enqueued=now - returned_s,
            due=now - returned_s + 0.5,
            latest_start=now + wait_limit_s,
            deadline=now + DEADLINE_S,
        )
        self.responder_by_name[name] = FakeResponder()
        self._tasks.append(
            asyncio.create_task(self._async_serve(name, request, claim, is_hopeless))
        )

    async def _async_serve(
        self,
        name: str,
        request: AdmissionRequest,
        try_claim: Callable[[], str | None],
        is_hopeless: Callable[[], bool] | None,
    ) -> None:
        """Run one request like a handler does."""
        claim: str | NotAdmitted | CallerGone | None = self.queue.claim_now(request, try_claim)
        if claim is None:
            try:
                claim = await self.queue.async_claim(
                    request,
                    try_claim,
                    self.responder_by_name[name],  # type: ignore[arg-type]
                    is_hopeless,
                )
            except RuntimeError as error:
                self.error_by_name[name] = error
                return
        if isinstance(claim, str):
            self.slots.take(name)
        self.outcome_by_name[name] = claim
        self.ended_at_by_name[name] = self.clock.now()

    def release(self, count: int = 1) -> None:
        """Free slots, as requests that end do."""
        self.slots.free += count
        self.queue.wake()

    async def async_settle(self) -> None:
        """Let all that is due now happen; no time passes."""
        for _ in range(50):
            await asyncio.sleep(0)

    def cancel(self) -> None:
        """End all requests."""
        for task in self._tasks:
            task.cancel()


@pytest.fixture
def full() -> Iterator[QueueUnderTest]:
    """Return a queue whose service has no capacity."""
    queue = QueueUnderTest(free=0)
    yield queue
    queue.cancel()


@pytest.mark.looptime
async def test_freed_capacity_starts_the_next_request_at_once(full: QueueUnderTest) -> None:
    """A queue that polls leaves capacity idle between two looks."""
    full.submit("a")
    await asyncio.sleep(0.33 * RECHECK_INTERVAL_S)
    full.release()
    released_at = full.clock.now()
    await full.async_settle()
    assert full.slots.started == ["a"]
    assert full.ended_at_by_name["a"] == released_at


@pytest.mark.looptime
async def test_one_slot_starts_one_request(full: QueueUnderTest) -> None:
    """A second request must see the slot that the first one takes: both would overrun it."""
    for name in "abc":
        full.submit(name)
    await full.async_settle()
    full.release(2)
    await full.async_settle()
    assert len(full.slots.started) == 2
    assert full.slots.free == 0


@pytest.mark.looptime
async def test_arrival_does_not_claim_what_a_started_request_is_about_to_take(
    full: QueueUnderTest,
) -> None:
    """A request that arrives between a start and its use of the claim must not overrun the slot."""
    full.submit("waiting")
    await full.async_settle()
    full.release()
    # Runs after the queue has started the waiting request, and before that has taken its slot.
    full.submit("new")
    await full.async_settle()
    assert full.slots.started == ["waiting"]
    assert full.slots.free == 0


@pytest.mark.looptime
async def test_start_in_one_service_repeats_none_in_another(full: QueueUnderTest) -> None:
    """The next run of the queue must not start a second request before a first one took its slot.

    The start in the first service schedules that run, which then precedes the start in the second.
    """
    full.submit("a")
    for name in ("b", "c"):
        full.submit(name, service=ServiceId("other"))
    await full.async_settle()
    full.release(2)
    await full.async_settle()
    assert full.slots.started == ["a", "b"]
    assert full.queue.waiting_cost_by_service() == {ServiceId("other"): {1: COST}}


@pytest.mark.looptime
async def test_surge_starts_the_most_urgent_first(full: QueueUnderTest) -> None:
    """In a surge the less urgent must not take capacity because they arrived earlier."""
    for name, rank in (("draft", 2), ("query", 1), ("decline", 0)):
        full.submit(name, rank=rank)
    await full.async_settle()
    for _ in range(3):
        full.release()
        await full.async_settle()
    assert full.slots.started == ["decline", "query", "draft"]


@pytest.mark.looptime
async def test_new_request_does_not_pass_waiting_ones(full: QueueUnderTest) -> None:
    """Capacity that is free at the moment of an arrival belongs to those that wait for it."""
    full.submit("first")
    await full.async_settle()
    full.slots.free = 1
    full.submit("second")
    await full.async_settle()
    assert full.slots.started == ["first"]


@pytest.mark.looptime
async def test_urgent_arrival_does_not_pass_others_where_ranks_are_ignored() -> None:
    """With first come, first served, urgent arrivals would otherwise take all that becomes free."""
    first_come = QueueUnderTest(free=0, settings=WaitingRoomSettings(FirstComeFirstServed()))
    first_come.submit("first", rank=2)
    await first_come.async_settle()
    first_come.slots.free = 1
    first_come.submit("urgent", rank=0)
    await first_come.async_settle()
    assert first_come.slots.started == ["first"]
    first_come.cancel()


@pytest.mark.looptime
async def test_returned_caller_precedes_later_ones(full: QueueUnderTest) -> None:
    """A caller that obeyed Retry-After is lost if it is refused again while others start."""
    full.submit("new")
    full.submit("returned", returned_s=3.0)
    await full.async_settle()
    full.release()
    await full.async_settle()
    assert full.slots.started == ["returned"]


@pytest.mark.looptime
async def test_disconnected_caller_leaves_its_place(full: QueueUnderTest) -> None:
    """Work of a caller that is gone must not take the capacity of the next one."""
    full.submit("gone")
    full.submit("next")
    await full.async_settle()
    full.responder_by_name["gone"].disconnect()
    full.release()
    await full.async_settle()
    assert full.slots.started == ["next"]
    assert isinstance(full.outcome_by_name["gone"], CallerGone)


@pytest.mark.looptime
async def test_next_request_starts_once_a_disconnected_one_has_left(full: QueueUnderTest) -> None:
    """Capacity must not stay idle if a run of the queue finds only a caller that has just left."""
    full.submit("gone")
    full.submit("next")
    await full.async_settle()
    full.release()
    full.responder_by_name["gone"].disconnect()
    await full.async_settle()
    assert full.slots.started == ["next"]


@pytest.mark.looptime
async def test_caller_that_left_before_its_wait_does_not_wait(full: QueueUnderTest) -> None:
    """A caller that leaves between two attempts would keep its place up to the latest start."""
    full.submit("gone")
    full.responder_by_name["gone"].disconnect()
    await full.async_settle()
    assert isinstance(full.outcome_by_name["gone"], CallerGone)
    assert full.queue.waiting_cost_by_service() == {}


@pytest.mark.looptime
async def test_failing_claim_ends_only_its_own_request(full: QueueUnderTest) -> None:
    """An error in the claim of the first request must not keep those behind it from starting."""

    def fail() -> str | None:
        raise RuntimeError("broken path")

    # Not tried on arrival, since another request of its rank waits.
    full.submit("waiting", member="a")
    await full.async_settle()
    full.submit("broken", member="b", returned_s=1.0, try_claim=fail)
    full.submit("next", member="c")
    await full.async_settle()
    full.release(2)
    await full.async_settle()
    assert full.slots.started == ["waiting", "next"]
    assert isinstance(full.error_by_name["broken"], RuntimeError)


@pytest.mark.looptime
async def test_failing_check_ends_only_its_own_request(full: QueueUnderTest) -> None:
    """An error of one request must not keep the others waiting beyond their latest start."""

    def fail() -> bool:
        raise RuntimeError("broken limit")

    full.submit("broken", is_hopeless=fail)
    full.submit("next", service=ServiceId("other"))
    await full.async_settle()
    full.release()
    await full.async_settle()
    assert full.slots.started == ["next"]
    assert isinstance(full.error_by_name["broken"], RuntimeError)


@pytest.mark.looptime
async def test_request_is_refused_when_its_caller_would_be_gone(full: QueueUnderTest) -> None:
    """Waiting up to the deadline loses the request: its caller disconnects long before."""
    full.submit("late")
    started_at = full.clock.now()
    await asyncio.sleep(WAIT_LIMIT_S + RECHECK_INTERVAL_S)
    outcome = full.outcome_by_name["late"]
    assert isinstance(outcome, NotAdmitted)
    assert outcome.code is ResultCode.NO_ENDPOINT
    assert full.ended_at_by_name["late"] - started_at <= WAIT_LIMIT_S + 0.01
    assert 0.0 < outcome.retry_after_s <= (DEADLINE_S - WAIT_LIMIT_S) * MAX_RETRY_AFTER_SHARE


@pytest.mark.looptime
async def test_hopeless_request_is_refused_at_once(full: QueueUnderTest) -> None:
    """What can't be served because of a limit must not wait until its time is over."""
    verdicts = iter([False, True, True, True])
    full.submit("limited", is_hopeless=lambda: next(verdicts))
    await full.async_settle()
    full.queue.wake()
    await full.async_settle()
    assert isinstance(full.outcome_by_name["limited"], NotAdmitted)


@pytest.mark.looptime
async def test_demand_at_other_gateways_refuses_on_arrival(full: QueueUnderTest) -> None:
    """With little work at each of many gateways, only the sum shows that a wait is in vain."""
    pressure = ServicePressure(started_cost_per_s=COST, waiting_cost_by_rank={1: 10 * COST})
    full.summary = LoadSummary({}, pressure_by_service={SERVICE: pressure})
    started_at = full.clock.now()
    full.submit("hopeless", rank=1)
    full.submit("urgent", rank=0)
    await full.async_settle()
    outcome = full.outcome_by_name["hopeless"]
    assert isinstance(outcome, NotAdmitted)
    assert outcome.code is ResultCode.DEADLINE_UNREACHABLE
    assert full.ended_at_by_name["hopeless"] == started_at
    # What waits elsewhere is less urgent and does not go first.
    assert "urgent" not in full.outcome_by_name


@pytest.mark.looptime
async def test_gateway_without_registry_goes_on(full: QueueUnderTest) -> None:
    """A gateway that is cut off knows nothing of the others and must still serve its callers."""
    full.summary = LoadSummary({})
    full.submit("a")
    await full.async_settle()
    full.slots.free = 1
    await asyncio.sleep(1.5 * RECHECK_INTERVAL_S)
    assert full.slots.started == ["a"]


@pytest.mark.looptime
async def test_process_that_was_suspended_refuses_the_expired_first(full: QueueUnderTest) -> None:
    """After a suspension, those whose callers are gone must not take the free capacity."""
    full.submit("gone")
    full.submit("patient", wait_limit_s=10.0)
    await full.async_settle()
    full.clock.suspended_s += 3.0
    full.release()
    await full.async_settle()
    assert isinstance(full.outcome_by_name["gone"], NotAdmitted)
    assert full.slots.started == ["patient"]


@pytest.mark.looptime
async def test_what_waits_is_reported(full: QueueUnderTest) -> None:
    """The other gateways decide by what waits here; a cost that is left over holds them back."""
    full.submit("waiting", rank=2)
    await full.async_settle()
    assert full.queue.waiting_cost_by_service() == {SERVICE: {2: COST}}
    full.release()
    await full.async_settle()
    assert full.queue.waiting_cost_by_service() == {}


@pytest.mark.looptime
async def test_return_after_a_repair_is_within_what_callers_honour(full: QueueUnderTest) -> None:
    """A caller that is told to return before the layers are loaded is refused twice, and lost."""
    full.submit("a")
    await full.async_settle()
    request = next(iter(full.queue._waiter_by_id.values())).request
    short = full.queue.refusal_until(request, 2.0)
    assert 2.0 <= short.retry_after_s <= 2.0 + REPAIR_JITTER_S
    long = full.queue.refusal_until(request, 60.0)
    assert long.retry_after_s == pytest.approx(DEADLINE_S * MAX_RETRY_AFTER_SHARE)
