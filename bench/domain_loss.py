"""Simulation of routing and retries when a failure domain is lost, on a virtual clock."""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field

from bench.clusters import whole_cluster
from bench.stage_engines import make_profile
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import Attempt, EndpointId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy._protocols import EndpointUse, GiveUp, RetryAt
from lagoonwing_policy.models import (
    AttemptFailed,
    AttemptSucceeded,
    Dispatch,
    ModelWork,
    RequestProfile,
    Route,
)
from lagoonwing_policy.retries import BudgetedRetries, RetryPolicy, RetrySystem
from lagoonwing_policy.routing import FlowRouter, FlowRoutes, RoutePolicy, RouterSettings

LOST = Refusal(ResultCode.ENDPOINT_LOST, "connection refused")
LOST_DOMAIN = "domain-0"
# Time after the loss for which the records of lost endpoints remain listed.
RECORD_LIFE_S = 2.8
TOKENS = (40, 120)
STEP_S = 0.01


@dataclass(frozen=True, slots=True)
class DomainLoss:
    """Parameters of a run.

    Attributes:
        load: Offered load as a share of the total capacity.
    """

    seed: int
    routes: RoutePolicy = field(default_factory=FlowRoutes)
    retries: RetryPolicy = field(default_factory=BudgetedRetries)
    load: float = 0.6
    before_s: float = 10.0
    after_s: float = 10.0


@dataclass(frozen=True, slots=True)
class DomainLossResult:
    """Counts of a run; first tries, retries and refusals are counted after the loss."""

    attempts_on_rest_before: float
    attempts_on_rest_after: float
    first_tries: int
    retries: int
    refused: int


@dataclass(slots=True)
class _Request:
    """One request and its attempts."""

    profile: RequestProfile
    attempt: int = 0
    excluded: frozenset[EndpointId] = frozenset()


class _Run:
    """State of one run."""

    def __init__(self, loss: DomainLoss) -> None:
        self._loss = loss
        self._rng = random.Random(loss.seed)
        self._records = whole_cluster(loss.seed)
        self._record_by_id = {record.endpoint_id: record for record in self._records}
        self._router = FlowRouter(RouterSettings(loss.routes), random.Random(loss.seed))
        self._router.set_endpoints(self._records, 0.0)
        self._retries = RetrySystem(loss.retries, random.Random(loss.seed + 1))
        self._loads: dict[EndpointId, EndpointUse] = {}
        self._events: list[tuple[float, int, _Request, Route]] = []
        self._due: list[tuple[float, int, _Request]] = []
        self._queue: deque[_Request] = deque()
        self._count = 0
        self._is_lost = False
        self.now = 0.0
        self.first_tries = 0
        self.retried = 0
        self.refused = 0
        self.attempts_on_rest = 0

    def run(self, until: float) -> None:
        """Advance the clock to a time."""
        rate = sum(record.tokens_per_s for record in self._records) / (sum(TOKENS) / 2)
        while self.now < until:
            self.now += STEP_S
            arrivals = rate * self._loss.load * STEP_S
            arrivals = int(arrivals) + (self._rng.random() < arrivals % 1)
            for _ in range(arrivals):
                self._count += 1
                profile = make_profile(self._count, self._rng.randint(*TOKENS), self.now)
                self._queue.append(_Request(profile))
            self._complete_attempts()
            while self._due and self._due[0][0] <= self.now:
                self._queue.appendleft(heapq.heappop(self._due)[2])
            self._dispatch()

    def lose_domain(self) -> None:
        """Lose a failure domain: its running attempts fail, new ones are refused."""
        self._is_lost = True
        running = [event for event in self._events if self._is_lost_route(event[3])]
        self._events = [event for event in self._events if not self._is_lost_route(event[3])]
        heapq.heapify(self._events)
        for _, _, request, route in running:
            self._fail(request, route, Dispatch.MAY_HAVE_RUN)

    def expire_records(self) -> None:
        """Remove the records of the lost endpoints from the router."""
        remaining = [r for r in self._records if r.failure_domain != LOST_DOMAIN]
        self._router.set_endpoints(remaining, self.now)

    def _is_lost_route(self, route: Route) -> bool:
        """Return whether a route's endpoint is lost."""
        record = self._record_by_id[route.stages[0].endpoint_id]
        return self._is_lost and record.failure_domain == LOST_DOMAIN

    def _complete_attempts(self) -> None:
        """Complete the attempts that have ended by now."""
        while self._events and self._events[0][0] <= self.now:
            _, _, request, route = heapq.heappop(self._events)
            self._release(route)
            self._router.on_attempt_ended(request.profile, route, AttemptSucceeded(1), self.now)

    def _release(self, route: Route) -> None:
        """Release the slot of an attempt."""
        self._loads[route.stages[0].endpoint_id].running -= 1

    def _dispatch(self) -> None:
        """Start queued requests until no route has a free slot."""
        while self._queue:
            request = self._queue[0]
            chosen = self._router.choose(
                request.profile, self._loads, request.excluded, False, self.now
            )
            if chosen.is_error():
                return
            self._queue.popleft()
            self._start(request, chosen.ok)

    def _start(self, request: _Request, route: Route) -> None:
        """Start an attempt."""
        request.attempt += 1
        if request.attempt == 1:
            self.first_tries += 1
            self._retries.on_first_attempt(self.now)
        else:
            self.retried += 1
        endpoint_id = route.stages[0].endpoint_id
        self._loads.setdefault(endpoint_id, EndpointUse()).running += 1
        if self._is_lost_route(route):
            self._fail(request, route, Dispatch.NO_BYTE_SENT)
            return
        record = self._record_by_id[endpoint_id]
        if record.failure_domain != LOST_DOMAIN:
            self.attempts_on_rest += 1
        assert isinstance(request.profile.work, ModelWork)
        length = request.profile.work.max_tokens * record.slots / record.tokens_per_s
        heapq.heappush(self._events, (self.now + length, self._count, request, route))
        self._count += 1

    def _fail(self, request: _Request, route: Route, dispatch: Dispatch) -> None:
        """Fail an attempt."""
        self._release(route)
        failed = AttemptFailed(route.stages[0], dispatch, True, False, 0, LOST)
        self._router.on_attempt_ended(request.profile, route, failed, self.now)
        request.excluded |= {failed.stage.endpoint_id}
        match self._retries.decide(request.profile, Attempt(request.attempt), failed, self.now):
            case RetryAt(time=time):
                self._count += 1
                heapq.heappush(self._due, (time, self._count, request))
            case GiveUp():
                self.refused += 1


def run_domain_loss(loss: DomainLoss) -> DomainLossResult:
    """Run a simulation in which a third of the endpoints is lost."""
    run = _Run(loss)
    run.run(loss.before_s / 2)
    run.attempts_on_rest = 0
    run.run(loss.before_s)
    before = run.attempts_on_rest / (loss.before_s / 2)
    run.first_tries = run.retried = run.refused = run.attempts_on_rest = 0
    run.lose_domain()
    run.run(loss.before_s + RECORD_LIFE_S)
    run.expire_records()
    run.run(loss.before_s + loss.after_s)
    return DomainLossResult(
        before, run.attempts_on_rest / loss.after_s, run.first_tries, run.retried, run.refused
    )
