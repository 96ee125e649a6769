"""Replicated state in memory, shared by the entry hosts of a test."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from entry_const import MEMBER_KEY
from expression import Error, Ok, Result

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import AgreementId, Fingerprint, MemberId, Revision
from lagoonwing_core.models import Agreement, EntityState, Member, Quarantine, QuarantineState
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire.control_messages import (
    ClaimDecision,
    ClaimGranted,
    ClaimInProgress,
    ClaimMismatch,
    ClaimReplay,
    StoredResponse,
    TakeClaim,
)


@dataclass
class SharedControlState:
    """In-memory claims and quarantines, shared by all hosts of a cluster."""

    claim_by_key: dict[tuple[str, str], TakeClaim] = field(default_factory=dict)
    answer_by_key: dict[tuple[str, str], StoredResponse] = field(default_factory=dict)
    lose_claim_replies: bool = False
    refuse_stores: bool = False
    suspects: list[tuple[Fingerprint, ...]] = field(default_factory=list)
    quarantine_by_fingerprint: dict[Fingerprint, Quarantine] = field(default_factory=dict)
    listeners: list[Callable[[], None]] = field(default_factory=list)

    def record_crash(self, fingerprints: Any, endpoint_id: Any, incarnation: Any) -> None:
        """Record suspects; a fingerprint is quarantined after it has crashed two endpoints."""
        self.suspects.append(fingerprints)
        for fingerprint in fingerprints:
            existing = self.quarantine_by_fingerprint.get(fingerprint)
            deaths = {*(existing.deaths if existing else ()), (endpoint_id, incarnation)}
            self.quarantine_by_fingerprint[fingerprint] = Quarantine(
                fingerprint=fingerprint,
                state=QuarantineState.SUSPECT if len(deaths) < 2 else QuarantineState.QUARANTINED,
                deaths=tuple(deaths),
                revision=Revision(2),
            )
        self._notify_listeners()

    def clear(self, fingerprint: Any) -> None:
        """Remove a suspect that completed in isolation."""
        self.quarantine_by_fingerprint.pop(fingerprint, None)
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        """Notify all hosts of a change."""
        for listener in list(self.listeners):
            listener()

    def claim(self, claim: TakeClaim) -> ClaimDecision:
        """Decide on a claim."""
        key = (claim.member_id, claim.key)
        existing = self.claim_by_key.get(key)
        if existing is None:
            self.claim_by_key[key] = claim
            return ClaimGranted()
        if existing.fingerprint != claim.fingerprint:
            return ClaimMismatch()
        if key in self.answer_by_key:
            return ClaimReplay(self.answer_by_key[key])
        return ClaimInProgress()


@dataclass
class InMemoryView:
    """In-memory copy of the replicated state."""

    revision: Revision = Revision(1)
    member_by_id: dict[Any, Any] = field(default_factory=dict)
    member_by_key_hash: dict[str, Any] = field(default_factory=dict)
    agreement_by_member: dict[Any, Any] = field(default_factory=dict)
    configuration_by_key: dict[Any, Any] = field(default_factory=dict)
    stop_by_id: dict[Any, Any] = field(default_factory=dict)
    quarantine_by_fingerprint: dict[Any, Any] = field(default_factory=dict)


class InMemoryFollower:
    """Follower of an in-memory replicated state."""

    def __init__(self, shared_state: SharedControlState) -> None:
        self.shared_state = shared_state
        self.view = InMemoryView(quarantine_by_fingerprint=shared_state.quarantine_by_fingerprint)
        self.lease_valid = True
        self.stop_reports: list[tuple[str, int]] = []
        self.add_member("m", MEMBER_KEY)

    def add_member(self, name: str, key: str) -> None:
        """Add a member with an agreement that sets no limits."""
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        revision = Revision(1)
        member = Member(
            member_id=MemberId(name),
            name=name,
            key_hashes=(key_hash,),
            state=EntityState.ACTIVE,
            revision=revision,
        )
        self.view.member_by_id[member.member_id] = member
        self.view.member_by_key_hash[key_hash] = member
        self.view.agreement_by_member[member.member_id] = Agreement(
            agreement_id=AgreementId(f"a-{name}"),
            member_id=member.member_id,
            weight=1.0,
            max_concurrency=None,
            max_requests_per_s=None,
            max_tokens_per_s=None,
            state=EntityState.ACTIVE,
            revision=revision,
        )

    def may_take_work(self) -> bool:
        """Return whether the lease is valid."""
        return self.lease_valid

    def add_listener(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Add a listener."""
        self.shared_state.listeners.append(listener)
        return lambda: self.shared_state.listeners.remove(listener)

    async def async_claim(self, claim: TakeClaim, timeout: float) -> Result[ClaimDecision, Refusal]:
        """Decide on a claim."""
        decision = self.shared_state.claim(claim)
        if self.shared_state.lose_claim_replies:
            return Error(Refusal(ResultCode.NO_QUORUM, "the reply was lost"))
        return Ok(decision)

    async def async_store_outcome(
        self, member_id: Any, key: Any, request_id: Any, answer: StoredResponse, timeout: float
    ) -> Result[None, Refusal]:
        """Store an outcome."""
        if self.shared_state.refuse_stores:
            return Error(Refusal(ResultCode.NO_QUORUM, "no quorum"))
        assert self.shared_state.claim_by_key[(member_id, key)].request_id == request_id
        self.shared_state.answer_by_key[(member_id, key)] = answer
        return Ok(None)

    async def async_release_claim(
        self, member_id: Any, key: Any, request_id: Any, timeout: float
    ) -> Result[None, Refusal]:
        """Release a claim."""
        existing = self.shared_state.claim_by_key.get((member_id, key))
        if existing is not None and existing.request_id == request_id:
            del self.shared_state.claim_by_key[(member_id, key)]
        return Ok(None)

    async def async_request_allotments(
        self, demands: Any, timeout: float
    ) -> Result[tuple[Any, ...], Refusal]:
        """Grant no allotments."""
        return Ok(())

    async def async_report_suspects(
        self, fingerprints: Any, endpoint_id: Any, incarnation: Any, timeout: float
    ) -> Result[None, Refusal]:
        """Record suspects."""
        self.shared_state.record_crash(fingerprints, endpoint_id, incarnation)
        return Ok(None)

    async def async_clear_suspect(self, fingerprint: Any, timeout: float) -> Result[None, Refusal]:
        """Clear a suspect."""
        self.shared_state.clear(fingerprint)
        return Ok(None)

    def set_endpoints(self, endpoints: Any) -> None:
        """Ignore the endpoints; planned stops are checked in the tests of control."""

    def report_stop(self, stop_id: Any, in_flight: int) -> None:
        """Record a stop report."""
        self.stop_reports.append((stop_id, in_flight))
