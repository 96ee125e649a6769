"""Scheduler of one entry host: admits, queues, starts and retries requests."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import replace

from expression import Error, Ok, Result

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import Attempt, EndpointId, Fingerprint, MemberId, RequestId
from lagoonwing_core.models import (
    Agreement,
    ConfigurationEntry,
    EndpointRecord,
    EntityState,
    Member,
    PlannedStop,
    Quarantine,
)
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy._requests import RequestEntity, RequestState
from lagoonwing_policy._router_protocol import (
    GiveUp,
    NoFreeSlot,
    Quarantines,
    Retries,
    RetryAt,
    Router,
    Standing,
)
from lagoonwing_policy._settings import SchedulerSettings
from lagoonwing_policy._simple_systems import FirstFitRouter, SimpleQuarantines, SimpleRetries
from lagoonwing_policy._slots import SlotTable
from lagoonwing_policy.models import (
    AllotmentGrant,
    AttemptCancelled,
    AttemptFailed,
    AttemptResult,
    AttemptSucceeded,
    Dispatch,
    EndpointLoad,
    MemberDemand,
    RefuseRequest,
    RequestProfile,
    Route,
    RouteStage,
    SchedulerCommand,
    StartAttempt,
)


class Scheduler:
    """Decides when and where each request of this entry host runs."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._router: Router = FirstFitRouter()
        self._retries: Retries = SimpleRetries()
        self._quarantines: Quarantines = SimpleQuarantines()
        self._slots = SlotTable()
        self._request_by_id: dict[RequestId, RequestEntity] = {}
        self._queue: deque[RequestId] = deque()
        self._due_retries: list[tuple[float, RequestId]] = []
        self._agreement_by_member: dict[MemberId, Agreement] = {}
        self._unrecorded: set[Fingerprint] = set()

    def set_endpoints(self, records: Iterable[EndpointRecord], now: float) -> None:
        """Replace the endpoint table.

        Args:
            records: Endpoints that may get new work.
            now: Time in seconds.
        """
        self._router.set_endpoints(records, now)

    def set_agreements(
        self,
        agreements: Iterable[Agreement],
        members: Iterable[Member],
        quarantines: Iterable[Quarantine],
        stops: Iterable[PlannedStop],
        configuration: Iterable[ConfigurationEntry],
        now: float,
    ) -> None:
        """Replace what the durable state holds."""
        active = {m.member_id for m in members if m.state is EntityState.ACTIVE}
        self._agreement_by_member = {
            agreement.member_id: agreement
            for agreement in agreements
            if agreement.state is EntityState.ACTIVE and agreement.member_id in active
        }
        self._quarantines.set_quarantines(quarantines)
        self._router.set_stops(stops)

    def set_allotments(self, grants: Iterable[AllotmentGrant], now: float) -> None:
        """Take grants; each replaces the one before of its member and dimension."""

    def submit(self, profile: RequestProfile, now: float) -> Result[None, Refusal]:
        """Queue a request, or refuse it before any work was done.

        Args:
            profile: What is known of the request.
            now: Time in seconds.

        Returns:
            Nothing, or the refusal to answer with `not_run`.
        """
        if profile.member_id not in self._agreement_by_member:
            return Error(Refusal(ResultCode.NO_AGREEMENT, "the member has no agreement in force"))
        if self._quarantines.standing(profile.fingerprint) is Standing.REFUSED:
            return Error(Refusal(ResultCode.QUARANTINED, "this request crashed endpoints"))
        if len(self._queue) >= self._settings.max_queued_requests:
            return Error(Refusal(ResultCode.QUEUE_FULL, "the queue is full", 1.0))
        self._request_by_id[profile.request_id] = RequestEntity(profile)
        self._queue.append(profile.request_id)
        return Ok(None)

    def tick(self, now: float) -> list[SchedulerCommand]:
        """Run every system once.

        Args:
            now: Time in seconds.

        Returns:
            Commands for the shell, in the order in which to carry them out.
        """
        while self._due_retries and self._due_retries[0][0] <= now:
            _, request_id = heapq.heappop(self._due_retries)
            self._requeue(request_id)
        return self._dispatch(now)

    def tokens_relayed(self, request_id: RequestId, count: int, now: float) -> None:
        """Count tokens that went to the caller."""
        entity = self._request_by_id.get(request_id)
        if entity is not None:
            entity.tokens += count

    def first_token(self, request_id: RequestId, now: float) -> None:
        """Note the first token of a request."""

    def attempt_ended(
        self, request_id: RequestId, attempt: Attempt, result: AttemptResult, now: float
    ) -> list[SchedulerCommand]:
        """Take the end of an attempt; ends of attempts that were replaced are ignored.

        Args:
            request_id: The request.
            attempt: Number of the attempt that ended.
            result: How it ended.
            now: Time in seconds.

        Returns:
            Commands for the shell.
        """
        entity = self._request_by_id.get(request_id)
        if entity is None or entity.attempt != attempt or entity.route is None:
            return []
        route = entity.route
        commands: list[SchedulerCommand] = []
        match result:
            case AttemptSucceeded():
                del self._request_by_id[request_id]
                clear = self._quarantines.on_succeeded(entity.profile.fingerprint, route.exclusive)
                commands.extend([clear] if clear else [])
            case AttemptCancelled():
                del self._request_by_id[request_id]
            case AttemptFailed():
                commands.extend(self._fail(entity, result, now))
        entity.route = None
        self._slots.release(request_id, route)
        return commands + self._dispatch(now)

    def suspects_recorded(
        self, fingerprints: Sequence[Fingerprint], now: float
    ) -> list[SchedulerCommand]:
        """Let suspects run again, now that every entry host knows of them."""
        self._unrecorded.difference_update(fingerprints)
        for request_id, entity in self._request_by_id.items():
            if entity.state is not RequestState.AWAITING_SUSPECT_RECORD:
                continue
            if entity.profile.fingerprint not in self._unrecorded:
                self._requeue(request_id)
        return self._dispatch(now)

    def replace_stage(
        self, request_id: RequestId, failed: RouteStage, now: float
    ) -> Result[RouteStage, Refusal]:
        """Replace one stage of a running attempt.

        Args:
            request_id: The request.
            failed: Stage that died.
            now: Time in seconds.

        Returns:
            The stage that takes over its layers, or a refusal.
        """
        entity = self._request_by_id.get(request_id)
        if entity is None or entity.route is None or failed not in entity.route.stages:
            return Error(Refusal(ResultCode.NOT_FOUND, "the request runs no such stage"))
        route = entity.route
        chosen = self._router.replace_stage(
            entity.profile, route, failed, self._slots.use_by_id, now
        )
        if chosen.is_error():
            return chosen
        self._slots.release_stage(request_id, route, failed)
        self._slots.acquire_stage(request_id, route, chosen.ok)
        stages = tuple(chosen.ok if stage == failed else stage for stage in route.stages)
        entity.route = replace(route, stages=stages)
        return chosen

    def cancel(self, request_id: RequestId, now: float) -> None:
        """Forget a request that does not run; a running one ends by `attempt_ended`."""
        entity = self._request_by_id.get(request_id)
        if entity is None or entity.state is RequestState.RUNNING:
            return
        del self._request_by_id[request_id]

    def demand(self, now: float) -> list[MemberDemand]:
        """Return what this entry host would like of each member's caps."""
        return []

    def report_load(self, load: EndpointLoad) -> None:
        """Take a load report, which is late and so no more than a hint."""
        self._router.report_load(load)

    def report_prefix(self, endpoint_id: EndpointId, prefix_hash: str, held: bool) -> None:
        """Take a cache event, which is late and so no more than a hint."""
        self._router.report_prefix(endpoint_id, prefix_hash, held)

    def in_flight(self, endpoint_id: EndpointId) -> int:
        """Return the number of attempts in flight on an endpoint."""
        return self._slots.in_flight(endpoint_id)

    def _requeue(self, request_id: RequestId) -> None:
        """Put a request that waited for its retry back at the head of the queue."""
        entity = self._request_by_id.get(request_id)
        if entity is None:
            return
        entity.state = RequestState.QUEUED
        self._queue.appendleft(request_id)

    def _dispatch(self, now: float) -> list[SchedulerCommand]:
        """Start what can start, in the order of arrival."""
        commands: list[SchedulerCommand] = []
        waiting: deque[RequestId] = deque()
        for request_id in self._queue:
            entity = self._request_by_id.get(request_id)
            if entity is None:
                continue
            command = self._start_or_refuse(entity, now)
            if command is None:
                waiting.append(request_id)
            else:
                commands.append(command)
        self._queue = waiting
        return commands

    def _start_or_refuse(self, entity: RequestEntity, now: float) -> SchedulerCommand | None:
        """Return the command for a queued request, or nothing if it goes on waiting."""
        profile = entity.profile
        if profile.deadline <= now:
            refusal = Refusal(ResultCode.DEADLINE_UNREACHABLE, "the deadline passed in the queue")
            return self._refuse(entity, refusal)
        exclusive = self._quarantines.standing(profile.fingerprint) is Standing.EXCLUSIVE
        chosen = self._router.choose(
            profile, self._slots.use_by_id, entity.excluded, exclusive, now
        )
        if chosen.is_ok():
            return self._start(entity, replace(chosen.ok, priority=entity.priority), now)
        match chosen.error:
            case NoFreeSlot():
                return None
            case Refusal() as refusal:
                return self._refuse(entity, refusal)

    def _start(self, entity: RequestEntity, route: Route, now: float) -> StartAttempt:
        """Count the attempt and return its command."""
        if entity.attempt == 0:
            self._retries.on_first_try(now)
        entity.attempt = Attempt(entity.attempt + 1)
        entity.state = RequestState.RUNNING
        entity.route = route
        self._slots.acquire(entity.profile.request_id, route)
        return StartAttempt(entity.profile.request_id, entity.attempt, route)

    def _refuse(self, entity: RequestEntity, refusal: Refusal) -> RefuseRequest:
        """Forget a request and return the command that answers it."""
        del self._request_by_id[entity.profile.request_id]
        return RefuseRequest(entity.profile.request_id, refusal)

    def _fail(
        self, entity: RequestEntity, failed: AttemptFailed, now: float
    ) -> list[SchedulerCommand]:
        """Decide what follows a failed attempt."""
        commands: list[SchedulerCommand] = []
        if failed.endpoint_died:
            commands.extend(self._report_death(failed.stage))
        entity.excluded = entity.excluded | {failed.stage.endpoint_id}
        may_have_run = failed.dispatch is Dispatch.MAY_HAVE_RUN
        if may_have_run and not entity.profile.idempotent:
            return [*commands, self._refuse(entity, failed.refusal)]
        match self._retries.decide(entity.profile, entity.attempt, failed, now):
            case GiveUp(refusal):
                commands.append(self._refuse(entity, refusal))
            case RetryAt(time):
                self._schedule_retry(entity, time)
        return commands

    def _schedule_retry(self, entity: RequestEntity, time: float) -> None:
        """Queue the next attempt at `time`, or once its suspicion is recorded."""
        if entity.profile.fingerprint in self._unrecorded:
            entity.state = RequestState.AWAITING_SUSPECT_RECORD
            return
        entity.state = RequestState.RETRY_DUE_LATER
        heapq.heappush(self._due_retries, (time, entity.profile.request_id))

    def _report_death(self, stage: RouteStage) -> list[SchedulerCommand]:
        """Hold what ran on a dead endpoint until it is recorded as suspect."""
        running = tuple(
            self._request_by_id[request_id].profile.fingerprint
            for request_id in self._slots.running_on(stage.endpoint_id)
            if request_id in self._request_by_id
        )
        report = self._quarantines.on_endpoint_died(stage, running)
        if report is None:
            return []
        self._unrecorded.update(report.fingerprints)
        return [report]
