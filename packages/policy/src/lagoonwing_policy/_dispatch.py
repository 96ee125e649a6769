"""Starts queued requests while slots are free and caps allow it."""

from __future__ import annotations

from dataclasses import replace

from lagoonwing_admission import StartConstraints
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import Attempt, EndpointId, RequestId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy._accounts import AccountingSystem
from lagoonwing_policy._exclusive import ExclusiveReservation
from lagoonwing_policy._pools import Pool
from lagoonwing_policy._protocols import (
    NoFreeSlot,
    Quarantines,
    QuarantineVerdict,
    Retries,
    Router,
)
from lagoonwing_policy._requests import RequestEntity, RequestState
from lagoonwing_policy._tables import SchedulerTables
from lagoonwing_policy.allotments import StartAllowed, StartBlocked
from lagoonwing_policy.const import MAX_BYPASS_EXCLUSIVE, MAX_BYPASS_TRIES
from lagoonwing_policy.models import (
    Priority,
    RefuseRequest,
    Route,
    SchedulerCommand,
    StartAttempt,
)


class DispatchSystem:
    """Takes requests from the queues; the cost per start does not depend on queue length.

    A pool in which nothing can start is skipped until a slot, a cap or a route changes.
    """

    def __init__(
        self,
        tables: SchedulerTables,
        router: Router,
        retries: Retries,
        quarantines: Quarantines,
        accounts: AccountingSystem,
    ) -> None:
        self._tables = tables
        self._router = router
        self._retries = retries
        self._quarantines = quarantines
        self._accounts = accounts
        self._reservation = ExclusiveReservation()

    def run(self, now: float) -> list[SchedulerCommand]:
        """Start requests in every pool that is marked ready."""
        commands: list[SchedulerCommand] = []
        for pool in self._tables.pools.drain_ready():
            commands.extend(self._run_bypass(pool, now))
            commands.extend(self._run_queue(pool, now))
        return commands

    def enqueue_bypass(self, entity: RequestEntity) -> None:
        """Add a retry to the bypass queue, which is served before the fair queue."""
        pool = self._tables.pools.get(entity.pool)
        entity.state = RequestState.BYPASS
        pool.bypass[entity.profile.request_id] = entity
        self._tables.requests.track_deadline(entity)
        self._tables.pools.mark_ready(pool)

    def remove_from_queue(self, entity: RequestEntity) -> None:
        """Remove a waiting request from its queue."""
        pool = self._tables.pools.get(entity.pool)
        match entity.state:
            case RequestState.QUEUED:
                pool.queue.discard(entity)
                self._record_dequeued(entity)
            case RequestState.BYPASS:
                del pool.bypass[entity.profile.request_id]
            case _:
                pass
        if self._reservation.release(entity.profile.request_id):
            self._tables.pools.reopen(pool)

    def refuse(self, entity: RequestEntity, refusal: Refusal) -> RefuseRequest:
        """Remove a waiting request and return the command that refuses it."""
        self._tables.refusals_left -= 1
        self.remove_from_queue(entity)
        self._tables.requests.remove(entity)
        self._accounts.finish(entity, entity.tokens)
        profile = entity.profile
        log_event(
            EventCode.ROUTE_REFUSED,
            request=profile.request_id,
            member=profile.member_id,
            attempt=entity.attempt,
            code=int(refusal.code),
            reason=refusal.detail,
        )
        return RefuseRequest(profile.request_id, refusal)

    def _record_dequeued(self, entity: RequestEntity) -> None:
        """Update the queue counters for a request that left the queue."""
        self._tables.bounds.dequeued(entity.tokens_reserved)
        self._tables.demand.dequeued(entity.profile.member_id, entity.tokens_reserved)

    def _run_queue(self, pool: Pool, now: float) -> list[SchedulerCommand]:
        """Start requests from the fair queue until the pool or the queue blocks."""
        commands: list[SchedulerCommand] = []
        while not pool.blocked:
            if self._tables.refusals_left <= 0:
                # Refusals beyond the limit per tick continue in the next tick.
                self._tables.pools.mark_ready(pool)
                break
            entity = pool.queue.head(self._start_constraints(pool, now), now)
            if entity is None:
                break
            command = self._try_head(pool, entity, now)
            if command is not None:
                commands.append(command)
        return commands

    def _start_constraints(self, pool: Pool, now: float) -> StartConstraints:
        """Return which kinds of work the pool can start now."""
        limit = self._tables.slots.long_work.pool_limit(pool.slots)
        allows_long = not pool.long_blocked and pool.long_running < limit
        allows_backlogged = pool.headroom.allows_backlogged(pool.running, now)
        return StartConstraints(long=allows_long, backlogged=allows_backlogged)

    def _try_head(self, pool: Pool, entity: RequestEntity, now: float) -> SchedulerCommand | None:
        """Start the head of the queue, refuse it, or block its member at a cap."""
        profile = entity.profile
        if self._tables.limits.get(profile.member_id) is None:
            return self.refuse(entity, _no_agreement())
        if now > entity.latest_start:
            return self.refuse(entity, _deadline_unreachable())
        verdict = self._tables.limits.check_start(profile.member_id, entity.tokens_reserved, now)
        match verdict:
            case StartBlocked(until):
                self._tables.cap_blocks.block(profile.member_id, pool, until)
                return None
            case StartAllowed():
                return self._try_route(pool, entity, now)

    def _try_route(self, pool: Pool, entity: RequestEntity, now: float) -> SchedulerCommand | None:
        """Start the head of the queue if a route is available."""
        match self._quarantines.verdict(entity.profile.fingerprint):
            case QuarantineVerdict.REFUSED:
                return self.refuse(entity, _quarantined())
            case QuarantineVerdict.EXCLUSIVE:
                return self._move_to_bypass(pool, entity, now)
            case QuarantineVerdict.ALLOWED:
                pass
        excluded = self._excluded(entity)
        chosen = self._router.choose(
            entity.profile, self._tables.slots.use_by_id, excluded, False, now
        )
        if chosen.is_ok():
            self._take(pool, entity, now)
            return self._start(pool, entity, chosen.ok, now)
        match chosen.error:
            case NoFreeSlot():
                self._handle_no_slot(pool, entity, now)
            case Refusal() as refusal:
                self._handle_no_route(pool, refusal, now)
        return None

    def _handle_no_slot(self, pool: Pool, entity: RequestEntity, now: float) -> None:
        """Block the pool for the class of work that found no free slot."""
        pool.long_blocked = True
        if entity.priority is not Priority.LONG:
            pool.blocked = True
            pool.headroom.on_no_free_slot(pool.running, now)

    def _move_to_bypass(
        self, pool: Pool, entity: RequestEntity, now: float
    ) -> SchedulerCommand | None:
        """Move a request that must run alone to the bypass queue, or refuse it if that is full."""
        if len(pool.bypass) >= MAX_BYPASS_EXCLUSIVE:
            return self.refuse(entity, _quarantined())
        self._take(pool, entity, now)
        self._accounts.record_first_start(entity)
        pool.bypass[entity.profile.request_id] = entity
        entity.state = RequestState.BYPASS
        return None

    def _take(self, pool: Pool, entity: RequestEntity, now: float) -> None:
        """Take a request from the queue and charge its member."""
        pool.queue.take(entity)
        self._record_dequeued(entity)
        pool.meter.started(entity.cost, bool(len(pool.queue)), now)

    def _run_bypass(self, pool: Pool, now: float) -> list[SchedulerCommand]:
        """Try a bounded number of bypass requests; the others are tried in the next pass."""
        commands: list[SchedulerCommand] = []
        for request_id in list(pool.bypass)[:MAX_BYPASS_TRIES]:
            if pool.blocked:
                break
            command = self._try_bypass(pool, pool.bypass[request_id], now)
            if command is None:
                pool.bypass.move_to_end(request_id)
            else:
                commands.append(command)
        return commands

    def _try_bypass(self, pool: Pool, entity: RequestEntity, now: float) -> SchedulerCommand | None:
        """Start a bypass request, refuse it, or return None if it has to keep waiting."""
        profile = entity.profile
        verdict = self._quarantines.verdict(profile.fingerprint)
        if verdict is QuarantineVerdict.REFUSED:
            return self.refuse(entity, _quarantined())
        if now > profile.deadline:
            return self.refuse(entity, _deadline_unreachable())
        if not self._tables.limits.may_start_retry(profile.member_id, now):
            return None
        exclusive = verdict is QuarantineVerdict.EXCLUSIVE
        route = self._choose_bypass_route(pool, entity, exclusive, now)
        if route is None:
            return None
        del pool.bypass[profile.request_id]
        self._reservation.release(profile.request_id)
        return self._start(pool, entity, route, now)

    def _choose_bypass_route(
        self, pool: Pool, entity: RequestEntity, exclusive: bool, now: float
    ) -> Route | None:
        """Return a route for a bypass request, or None."""
        use = self._tables.slots.use_by_id
        excluded = self._excluded(entity)
        chosen = self._router.choose(entity.profile, use, excluded, exclusive, now)
        if chosen.is_ok():
            return chosen.ok
        if isinstance(chosen.error, Refusal):
            if not entity.excluded:
                self._handle_no_route(pool, chosen.error, now)
            # Without another route, allow the endpoints on which the request failed before.
            entity.excluded = frozenset()
        elif exclusive and self._reservation.is_free():
            found = self._router.exclusive_route(entity.profile, now)
            if found.is_ok():
                self._reservation.acquire(entity.profile.request_id, found.ok)
        elif (
            entity.excluded
            and self._router.choose(entity.profile, {}, excluded, False, now).is_error()
        ):
            # No other endpoint could serve the request even if all were idle.
            entity.excluded = frozenset()
        return None

    def _excluded(self, entity: RequestEntity) -> frozenset[EndpointId]:
        """Return the endpoints that a request must not use."""
        excluded = entity.excluded
        if entity.priority is Priority.LONG:
            excluded |= self._tables.slots.long_work.full
        return excluded | self._reservation.blocked_for(entity.profile.request_id)

    def _handle_no_route(self, pool: Pool, refusal: Refusal, now: float) -> None:
        """Block a pool until its endpoints change, and remember since when it has no route."""
        pool.blocked = True
        if pool.no_route is None:
            pool.no_route = refusal
            pool.no_route_since = now

    def _start(self, pool: Pool, entity: RequestEntity, route: Route, now: float) -> StartAttempt:
        """Register a new attempt and return its start command."""
        if not entity.counts_against_caps:
            self._accounts.record_first_start(entity)
        if entity.attempt == 0:
            self._retries.on_first_attempt(now)
        request_id: RequestId = entity.profile.request_id
        entity.attempt = Attempt(entity.attempt + 1)
        entity.state = RequestState.RUNNING
        entity.started = now
        entity.route = replace(route, priority=entity.priority)
        self._tables.requests.untrack_deadline(entity)
        self._tables.slots.acquire(request_id, entity.route)
        pool.running += 1
        pool.long_running += entity.priority is Priority.LONG
        pool.no_route = None
        log_event(
            EventCode.ROUTE_CHOSEN,
            request=request_id,
            member=entity.profile.member_id,
            attempt=entity.attempt,
            priority=entity.priority.value,
            cost=round(entity.cost),
            waited_ms=round((now - entity.enqueued) * 1000),
            candidates=route.candidates,
            endpoints=",".join(stage.endpoint_id for stage in route.stages),
            reason=route.reason.value,
        )
        return StartAttempt(request_id, entity.attempt, entity.route)


def _no_agreement() -> Refusal:
    """Return the refusal for a member whose agreement ended while the request was queued."""
    return Refusal(ResultCode.NO_AGREEMENT, "the member has no agreement in force")


def _deadline_unreachable() -> Refusal:
    """Return the refusal for a request that can no longer complete by its deadline."""
    return Refusal(ResultCode.DEADLINE_UNREACHABLE, "no slot came free early enough")


def _quarantined() -> Refusal:
    """Return the refusal for a request that crashed endpoints."""
    return Refusal(ResultCode.QUARANTINED, "this request crashed endpoints")
