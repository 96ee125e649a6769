"""Requests that crash endpoints, known by what they have in common."""

from __future__ import annotations

from collections import OrderedDict, deque

from lagoonwing_catalog import CrashLedger, crash_id_of
from lagoonwing_catalog.messages import CrashExtract
from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import AttemptId, CrashId, Fingerprint
from lagoonwing_gateway._crash_verdict import CrashVerdict
from lagoonwing_gateway._traits import is_part, part_traits, request_traits
from lagoonwing_gateway.const import (
    CRASH_REFRESH_INTERVAL_S,
    MASS_LOSS_ENDPOINTS,
    MAX_CRASHED_REQUESTS,
    MAX_SERVED_TRAITS,
    RECENT_SERVICE_S,
)
from lagoonwing_gateway.models import RequestContext

# Losses that are kept to recognize a mass loss; older ones lie outside any window of interest.
_MAX_LOSSES = 16 * MASS_LOSS_ENDPOINTS


class CrashTracker:
    """Refuses requests with a trait under which endpoints crashed, at whichever gateway."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ledger = CrashLedger()
        self._served_at_by_trait: OrderedDict[Fingerprint, float] = OrderedDict()
        self._first_crash_by_attempt: OrderedDict[AttemptId, CrashId] = OrderedDict()
        self._losses: deque[tuple[CrashId, float]] = deque(maxlen=_MAX_LOSSES)
        self._sent_version = 0
        self._sent_at = 0.0

    def counts(self) -> dict[Fingerprint, int]:
        """Return the number of known crashes by trait."""
        return {trait: self._ledger.crash_count(trait) for trait in self._ledger.traits()}

    @property
    def trait_count(self) -> int:
        """Number of traits with known crashes."""
        return len(self._ledger)

    @callback
    def record_loss(self, endpoint: EndpointRecord) -> CrashId:
        """Record that an endpoint was lost, for any reason; return the id of the crash."""
        crash_id = crash_id_of(endpoint)
        if all(known_id != crash_id for known_id, _ in self._losses):
            self._losses.append((crash_id, self._clock.now()))
        return crash_id

    @callback
    def record_crash(self, context: RequestContext, endpoint: EndpointRecord) -> None:
        """Record that an endpoint crashed while it began to run a request."""
        now = self._clock.now()
        crash_id = self.record_loss(endpoint)
        first_crash_id = self._first_crash_id(context, crash_id)
        for trait in request_traits(context):
            served_at = self._served_at_by_trait.get(trait)
            if served_at is not None and now < served_at + RECENT_SERVICE_S:
                continue
            self._ledger.record_crash(trait, first_crash_id if is_part(trait) else crash_id, now)
            if served_at is not None:
                self._ledger.record_served(trait, served_at)
        log_event(
            EventCode.CRASH_RECORDED,
            request=context.request.attempt_id,
            endpoint=endpoint.endpoint_id,
            traits=len(part_traits(context)) + 1,
            known_traits=len(self._ledger),
        )

    @callback
    def record_served(self, context: RequestContext) -> None:
        """Record that a request was served."""
        now = self._clock.now()
        # Requests with prompt parts are hardly alike; they would push the parts out of the table.
        for trait in part_traits(context) or request_traits(context):
            self._served_at_by_trait[trait] = now
            self._served_at_by_trait.move_to_end(trait)
        if len(self._ledger):
            for trait in request_traits(context):
                self._ledger.record_served(trait, now)
        while len(self._served_at_by_trait) > MAX_SERVED_TRAITS:
            self._served_at_by_trait.popitem(last=False)

    @callback
    def merge(self, extract: CrashExtract) -> None:
        """Merge what other gateways know."""
        self._ledger.merge(extract.entries, self._clock.now())
        for entry in extract.entries:
            served_at = self._served_at_by_trait.get(entry.trait)
            if served_at is not None:
                self._ledger.record_served(entry.trait, served_at)

    @callback
    def take_extract(self, *, is_new_receiver: bool) -> CrashExtract | None:
        """Return an extract to send; None if the receiver knows it already."""
        now = self._clock.now()
        self._ledger.expire(now)
        is_due = now >= self._sent_at + CRASH_REFRESH_INTERVAL_S and len(self._ledger) > 0
        if self._ledger.version == self._sent_version and not is_due and not is_new_receiver:
            return None
        self._sent_version = self._ledger.version
        self._sent_at = now
        return CrashExtract(self._ledger.extract(now))

    def is_quarantined(self, context: RequestContext) -> bool:
        """Return whether a request has a trait under which too many endpoints crashed."""
        traits = request_traits(context) if len(self._ledger) else ()
        verdict = self._verdict(traits)
        if verdict is None:
            return False
        culprit = next((trait for trait in traits if verdict.is_culprit(trait, traits)), None)
        if culprit is None:
            return False
        log_event(
            EventCode.REQUEST_QUARANTINED,
            request=context.request.attempt_id,
            trait=culprit,
            crashes=len(self._ledger.unserved_crashes(culprit)),
            known_traits=len(self._ledger),
        )
        return True

    def may_send_again(self, context: RequestContext) -> bool:
        """Return whether a request may be sent to another endpoint after it failed at one."""
        traits = request_traits(context) if len(self._ledger) else ()
        verdict = self._verdict(traits)
        return verdict is None or not any(
            verdict.is_suspect(trait, traits) or verdict.is_culprit(trait, traits)
            for trait in traits
        )

    def _first_crash_id(self, context: RequestContext, crash_id: CrashId) -> CrashId:
        """Return the id of the first crash under a request, which may be this one."""
        attempt_id = context.request.attempt_id
        if attempt_id is None:
            return crash_id
        first_crash_id = self._first_crash_by_attempt.setdefault(attempt_id, crash_id)
        while len(self._first_crash_by_attempt) > MAX_CRASHED_REQUESTS:
            self._first_crash_by_attempt.popitem(last=False)
        return first_crash_id

    def _verdict(self, traits: tuple[Fingerprint, ...]) -> CrashVerdict | None:
        """Return the state of the ledger, or None if nothing is known of any trait."""
        if not any(trait in self._ledger for trait in traits):
            return None
        return CrashVerdict(self._ledger, self._find_losses, self._clock.now())

    def _find_losses(self) -> dict[CrashId, float]:
        """Return when endpoints were lost, for any reason."""
        return {**self._ledger.crash_times(), **dict(self._losses)}
