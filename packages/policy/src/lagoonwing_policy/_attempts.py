"""Handles the end of attempts: completion, retry, refusal or crash report."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import replace

from expression import Error, Result

from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import Attempt, Fingerprint, RequestId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy._accounts import AccountingSystem
from lagoonwing_policy._dispatch import DispatchSystem
from lagoonwing_policy._protocols import GiveUp, Quarantines, Retries, RetryAt, Router
from lagoonwing_policy._requests import RequestEntity, RequestState
from lagoonwing_policy._tables import SchedulerTables
from lagoonwing_policy.models import (
    AttemptCancelled,
    AttemptFailed,
    AttemptResult,
    AttemptSucceeded,
    Dispatch,
    Priority,
    Route,
    RouteStage,
    SchedulerCommand,
)


class AttemptSystem:
    """Releases slots, settles charges and schedules retries."""

    def __init__(
        self,
        tables: SchedulerTables,
        router: Router,
        retries: Retries,
        quarantines: Quarantines,
        accounts: AccountingSystem,
        dispatch: DispatchSystem,
    ) -> None:
        self._tables = tables
        self._router = router
        self._retries = retries
        self._quarantines = quarantines
        self._accounts = accounts
        self._dispatch = dispatch
        self._scheduled_retries: list[tuple[float, RequestId]] = []
        self._unrecorded: set[Fingerprint] = set()
        self._awaiting_suspect_record: dict[RequestId, RequestEntity] = {}

    def run(self, now: float) -> None:
        """Enqueue the retries that are due."""
        while self._scheduled_retries and self._scheduled_retries[0][0] <= now:
            _, request_id = heapq.heappop(self._scheduled_retries)
            entity = self._tables.requests.get(request_id)
            if entity is not None and entity.state is RequestState.RETRY_SCHEDULED:
                self._dispatch.enqueue_bypass(entity)

    def end(
        self, request_id: RequestId, attempt: Attempt, result: AttemptResult, now: float
    ) -> list[SchedulerCommand]:
        """Process the end of an attempt; results of superseded attempts are ignored."""
        entity = self._tables.requests.get(request_id)
        if entity is None or entity.attempt != attempt or entity.route is None:
            return []
        route = entity.route
        commands: list[SchedulerCommand] = []
        if isinstance(result, AttemptFailed) and _may_have_caused_crash(result):
            commands.extend(self._report_crash(result.stage, now))
        self._release(entity, route)
        self._router.on_attempt_ended(entity.profile, route, result, now)
        match result:
            case AttemptSucceeded(tokens):
                commands.extend(self._succeed(entity, route, max(tokens, entity.tokens), now))
            case AttemptCancelled(tokens):
                self._tables.requests.remove(entity)
                self._accounts.finish(entity, max(tokens, entity.tokens))
            case AttemptFailed():
                commands.extend(self._fail(entity, result, now))
        return commands

    def suspects_recorded(self, fingerprints: Sequence[Fingerprint]) -> None:
        """Enqueue the requests whose suspects are now in the replicated state."""
        self._unrecorded.difference_update(fingerprints)
        for request_id, entity in list(self._awaiting_suspect_record.items()):
            if entity.profile.fingerprint in self._unrecorded:
                continue
            del self._awaiting_suspect_record[request_id]
            # The request may have been refused at its deadline in the meantime.
            if self._tables.requests.get(request_id) is entity:
                self._dispatch.enqueue_bypass(entity)

    def replace_stage(
        self, request_id: RequestId, failed: RouteStage, now: float
    ) -> Result[RouteStage, Refusal]:
        """Replace one stage of a running attempt and move its slot to the new stage."""
        entity = self._tables.requests.get(request_id)
        if entity is None or entity.route is None or failed not in entity.route.stages:
            return Error(Refusal(ResultCode.NOT_FOUND, "the request runs no such stage"))
        route = entity.route
        slots = self._tables.slots
        chosen = self._router.replace_stage(entity.profile, route, failed, slots.use_by_id, now)
        if chosen.is_error():
            return chosen
        slots.release_stage(request_id, route, failed)
        slots.acquire_stage(request_id, route, chosen.ok)
        stages = tuple(chosen.ok if stage == failed else stage for stage in route.stages)
        entity.route = replace(route, stages=stages)
        return chosen

    def cancel(self, request_id: RequestId) -> None:
        """Remove a request that is not running; a running one ends with its attempt."""
        entity = self._tables.requests.get(request_id)
        if entity is None or entity.state is RequestState.RUNNING:
            return
        self._dispatch.remove_from_queue(entity)
        self._awaiting_suspect_record.pop(request_id, None)
        self._tables.requests.remove(entity)
        self._accounts.finish(entity, entity.tokens)

    def _release(self, entity: RequestEntity, route: Route) -> None:
        """Release the slots of an attempt."""
        entity.route = None
        self._tables.slots.release(entity.profile.request_id, route)
        pool = self._tables.pools.get(entity.pool)
        pool.running -= 1
        pool.long_running -= route.priority is Priority.LONG
        self._tables.pools.reopen(pool)
        for stage in route.stages:
            self._tables.pools.reopen_endpoint(stage.endpoint_id)

    def _succeed(
        self, entity: RequestEntity, route: Route, tokens: int, now: float
    ) -> list[SchedulerCommand]:
        """Settle a completed request."""
        self._tables.requests.remove(entity)
        self._accounts.finish(entity, tokens)
        self._accounts.learn(entity, tokens, now)
        clear = self._quarantines.on_succeeded(entity.profile.fingerprint, route.exclusive)
        return [clear] if clear else []

    def _fail(
        self, entity: RequestEntity, failed: AttemptFailed, now: float
    ) -> list[SchedulerCommand]:
        """Retry or refuse a request after a failed attempt."""
        # Marks the request as waiting, so that a refusal below removes it correctly.
        entity.state = RequestState.RETRY_SCHEDULED
        entity.excluded = entity.excluded | {failed.stage.endpoint_id}
        log_event(
            EventCode.ATTEMPT_FAILED,
            request=entity.profile.request_id,
            attempt=entity.attempt,
            endpoint=failed.stage.endpoint_id,
            dispatch=failed.dispatch.value,
            code=int(failed.refusal.code),
        )
        may_have_run = failed.dispatch is Dispatch.MAY_HAVE_RUN
        if may_have_run and not entity.profile.idempotent:
            return [self._dispatch.refuse(entity, failed.refusal)]
        match self._retries.decide(entity.profile, entity.attempt, failed, now):
            case GiveUp(refusal):
                return [self._dispatch.refuse(entity, refusal)]
            case RetryAt(time):
                self._schedule_retry(entity, time)
        return []

    def _schedule_retry(self, entity: RequestEntity, time: float) -> None:
        """Schedule the next attempt at `time`, or once the suspect has been recorded."""
        request_id = entity.profile.request_id
        # An earlier attempt may have done part of the work, so only the deadline itself, not
        # the estimated latest start, ends the wait.
        entity.latest_start = entity.profile.deadline
        if entity.profile.fingerprint in self._unrecorded:
            entity.state = RequestState.AWAITING_SUSPECT_RECORD
            self._awaiting_suspect_record[request_id] = entity
            self._tables.requests.track_deadline(entity)
            return
        heapq.heappush(self._scheduled_retries, (time, request_id))

    def _report_crash(self, stage: RouteStage, now: float) -> list[SchedulerCommand]:
        """Report the requests on a crashed endpoint and hold their retries until recorded."""
        running = tuple(
            entity.profile.fingerprint
            for request_id in self._tables.slots.running_on(stage.endpoint_id)
            if (entity := self._tables.requests.get(request_id)) is not None
        )
        reports = self._quarantines.on_endpoint_crashed(stage, running, now)
        for report in reports:
            self._unrecorded.update(report.fingerprints)
        return list(reports)


def _may_have_caused_crash(failed: AttemptFailed) -> bool:
    """Return whether the endpoint crashed while the request may have been running.

    An endpoint that refuses connections crashed earlier, for another reason.
    """
    return failed.endpoint_crashed and failed.dispatch is Dispatch.MAY_HAVE_RUN
