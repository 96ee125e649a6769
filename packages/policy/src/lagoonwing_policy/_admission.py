"""Admission control: queues requests or refuses them immediately."""

from __future__ import annotations

from typing import assert_never

from expression import Error, Ok, Result

from lagoonwing_admission import AdmissionCheck, Rejected, RejectReason, jittered_retry_after
from lagoonwing_admission.models import EarlyRefusal
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy._pools import Pool
from lagoonwing_policy._protocols import Quarantines, QuarantineVerdict
from lagoonwing_policy._requests import RequestEntity, pool_key
from lagoonwing_policy._tables import SchedulerTables
from lagoonwing_policy.const import NO_ROUTE_GRACE_S
from lagoonwing_policy.cost import CostEstimate
from lagoonwing_policy.models import RequestProfile


class AdmissionSystem:
    """Checks each request against its member, the queue bounds, its caps and its deadline."""

    def __init__(self, tables: SchedulerTables, quarantines: Quarantines) -> None:
        self._tables = tables
        self._quarantines = quarantines
        self._check: AdmissionCheck[RequestEntity] = AdmissionCheck(
            tables.settings.admission, tables.bounds, tables.demand.queued_of, _tokens_of
        )

    def submit(self, profile: RequestProfile, now: float) -> Result[None, Refusal]:
        """Queue a request, or return the refusal."""
        pool = self._tables.pools.find(pool_key(profile))
        refusal = self._check_eligibility(profile, pool, now)
        if refusal is not None or pool is None:
            return Error(self._log(profile, refusal or _no_endpoint()))
        estimate = self._tables.costs.estimate(profile)
        entity = _make_entity(profile, pool, estimate, now)
        member_id = profile.member_id
        self._tables.demand.arrived(member_id, estimate.tokens, now)
        pool.queue.set_weight(member_id, self._tables.weights.weight(member_id, now))
        refusal = self._check_load(entity, pool, now)
        if refusal is not None:
            return Error(self._log(profile, refusal))
        self._queue(entity, pool)
        log_event(
            EventCode.ADMISSION_DECIDED,
            request=profile.request_id,
            member=member_id,
            decision="queued",
            priority=entity.priority.value,
            cost=round(entity.cost),
            queued=self._tables.bounds.requests,
        )
        return Ok(None)

    def _check_eligibility(
        self, profile: RequestProfile, pool: Pool | None, now: float
    ) -> Refusal | None:
        """Return the refusal if the request can't run regardless of load."""
        if self._tables.requests.get(profile.request_id) is not None:
            return Refusal(ResultCode.MALFORMED_REQUEST, "the request id is in use")
        if self._tables.limits.get(profile.member_id) is None:
            return Refusal(ResultCode.NO_AGREEMENT, "the member has no agreement in force")
        if self._quarantines.verdict(profile.fingerprint) is QuarantineVerdict.REFUSED:
            return Refusal(ResultCode.QUARANTINED, "this request crashed endpoints")
        if pool is None:
            return _no_endpoint()
        if pool.no_route is not None and now > pool.no_route_since + NO_ROUTE_GRACE_S:
            return pool.no_route
        return None

    def _check_load(self, entity: RequestEntity, pool: Pool, now: float) -> Refusal | None:
        """Return the refusal if the request can't be queued under the current load."""
        refuses_early = isinstance(self._tables.settings.admission, EarlyRefusal)
        if refuses_early:
            entity.latest_start = entity.profile.deadline - self._service_time(entity, pool)
        verdict = self._check.check(entity, pool.queue, pool.meter.rate(pool.slots), now)
        rejected = verdict if isinstance(verdict, Rejected) else None
        if rejected is not None and rejected.reason is RejectReason.QUEUE_FULL:
            return self._load_refusal(rejected, entity, now)
        cap_wait = self._excessive_cap_wait(entity, now) if refuses_early else None
        if cap_wait is not None:
            return self._refusal(ResultCode.CAP_REACHED, "the member's cap is reached", cap_wait)
        return None if rejected is None else self._load_refusal(rejected, entity, now)

    def _excessive_cap_wait(self, entity: RequestEntity, now: float) -> float | None:
        """Return the wait for the member's caps if it is too long to queue the request."""
        member_id = entity.profile.member_id
        requests, tokens = self._tables.demand.queued_of(member_id)
        return self._tables.limits.excessive_wait(
            member_id, requests + 1, tokens + entity.tokens_reserved, now
        )

    def _load_refusal(self, rejected: Rejected, entity: RequestEntity, now: float) -> Refusal:
        """Return the refusal of a request that the admission check rejected."""
        wait = rejected.expected_wait_s
        match rejected.reason:
            case RejectReason.QUEUE_FULL:
                return self._refusal(ResultCode.QUEUE_FULL, "the queue is full", wait)
            case RejectReason.DEADLINE_UNREACHABLE:
                excess = now + wait - entity.latest_start
                detail = "the expected wait passes the deadline"
                return self._refusal(ResultCode.DEADLINE_UNREACHABLE, detail, excess)
            case RejectReason.WAIT_TOO_LONG:
                return self._refusal(ResultCode.QUEUE_FULL, "the expected wait is too long", wait)
            case _:
                assert_never(rejected.reason)

    def _service_time(self, entity: RequestEntity, pool: Pool) -> float:
        """Return the estimated run time in seconds, 0 without measurements."""
        rate = pool.meter.slot_rate()
        return entity.cost / rate if rate else 0.0

    def _queue(self, entity: RequestEntity, pool: Pool) -> None:
        """Add a request to its queue and update the counters."""
        tokens = entity.tokens_reserved
        pool.queue.push(entity)
        self._tables.requests.add(entity)
        self._tables.bounds.queued(tokens)
        self._tables.demand.queued(entity.profile.member_id, tokens)
        self._tables.pools.mark_ready(pool)

    def _refusal(self, code: ResultCode, detail: str, expected_s: float) -> Refusal:
        """Return a refusal with a jittered retry-after time."""
        return Refusal(code, detail, jittered_retry_after(self._tables.rng, expected_s))

    def _log(self, profile: RequestProfile, refusal: Refusal) -> Refusal:
        """Log a refusal and return it."""
        log_event(
            EventCode.ADMISSION_DECIDED,
            request=profile.request_id,
            member=profile.member_id,
            decision="refused",
            code=int(refusal.code),
            reason=refusal.detail,
            queued=self._tables.bounds.requests,
        )
        return refusal


def _tokens_of(entity: RequestEntity) -> float:
    """Return the size of a request for the bounds of the queue."""
    return entity.tokens_reserved


def _no_endpoint() -> Refusal:
    """Return the refusal for work that no endpoint has served since this host started."""
    return Refusal(ResultCode.NO_ENDPOINT, "no endpoint serves this")


def _make_entity(
    profile: RequestProfile, pool: Pool, estimate: CostEstimate, now: float
) -> RequestEntity:
    """Create the entity of a new request."""
    output_charged = min(estimate.output_tokens, pool.classifier.short_bound)
    return RequestEntity(
        profile,
        pool=pool.key,
        priority=pool.classifier.classify(estimate.cost),
        cost=estimate.cost,
        start_charge=estimate.cost - estimate.output_tokens + output_charged,
        output_charged=output_charged,
        output_reserved=estimate.output_tokens,
        tokens_reserved=estimate.tokens,
        output_expected=estimate.output_tokens,
        enqueued=now,
        latest_start=profile.deadline,
    )
