"""Idempotency claims, which permit at most one dispatch per idempotency key."""

from __future__ import annotations

import msgspec

from lagoonwing_control._state import ClaimKey, State
from lagoonwing_control.const import (
    CLAIM_RETENTION_MS,
    MAX_CLAIM_BYTES,
    MAX_CLAIMS,
    MAX_ID_LENGTH,
    MAX_STORED_ANSWER_BYTES,
)
from lagoonwing_control.models import Claim, ClaimRecord
from lagoonwing_core.ids import Fingerprint, HostId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire.control_messages import (
    ClaimDecision,
    ClaimGranted,
    ClaimInProgress,
    ClaimMismatch,
    ClaimReplay,
    Done,
    Refused,
    ReleaseClaim,
    StoreOutcome,
)


def take_claim(state: State, command: Claim) -> ClaimDecision | Refused:
    """Grant a claim, or return the state of the claim that holds the key."""
    claim = command.claim
    key = (claim.member_id, claim.key)
    record = state.claim_by_key.get(key)
    if record is not None and not record.released:
        return _answer_held_claim(record, command)
    if record is not None and record.request_id == claim.request_id:
        return Refused(ResultCode.CLAIM_UNAVAILABLE, "the claim of this request was released")
    if max(len(claim.key), len(claim.request_id)) > 2 * MAX_ID_LENGTH:
        return Refused(ResultCode.INVALID_CHANGE, "the idempotency key is too long")
    if record is None and not _has_capacity(state):
        return Refused(ResultCode.CLAIM_UNAVAILABLE, "the table of claims is full")
    granted = ClaimRecord(
        member_id=claim.member_id,
        key=claim.key,
        fingerprint=claim.fingerprint,
        request_id=claim.request_id,
        host_id=command.host_id,
        touched_ms=state.clock_ms,
    )
    _store(state, key, granted)
    return ClaimGranted()


def store_outcome(state: State, command: StoreOutcome) -> Done | Refused:
    """Store the answer to the request that holds a claim."""
    key = (command.member_id, command.key)
    record = state.claim_by_key.get(key)
    if record is None or record.released or record.request_id != command.request_id:
        return Refused(ResultCode.UNKNOWN_ENTITY, "the request does not hold this claim")
    if record.answer is not None:
        return Done()
    size = len(command.answer.body)
    if size > MAX_STORED_ANSWER_BYTES or state.claim_bytes + size > MAX_CLAIM_BYTES:
        return Refused(ResultCode.BODY_TOO_LARGE, "the answer is too large to keep")
    state.claim_bytes += size
    answered = msgspec.structs.replace(record, answer=command.answer, touched_ms=state.clock_ms)
    _store(state, key, answered)
    return Done()


def release_claim(state: State, host_id: HostId, command: ReleaseClaim) -> Done | Refused:
    """Release a claim whose request did not run.

    The release is recorded even without a claim, so that a claim of the same request that arrives
    later is refused.
    """
    key = (command.member_id, command.key)
    record = state.claim_by_key.get(key)
    if record is not None and record.request_id != command.request_id:
        return Done()
    if record is not None and record.answer is not None:
        return Refused(ResultCode.INVALID_CHANGE, "the request has an answer")
    if record is None and not _has_capacity(state):
        return Refused(ResultCode.CLAIM_UNAVAILABLE, "the table of claims is full")
    released = ClaimRecord(
        member_id=command.member_id,
        key=command.key,
        fingerprint=record.fingerprint if record is not None else Fingerprint(""),
        request_id=command.request_id,
        host_id=host_id,
        touched_ms=state.clock_ms,
        released=True,
    )
    _store(state, key, released)
    return Done()


def expire_claims(state: State) -> None:
    """Delete claims past their retention."""
    expiry_ms = state.clock_ms - CLAIM_RETENTION_MS
    while state.claim_by_key:
        key, record = next(iter(state.claim_by_key.items()))
        if record.touched_ms >= expiry_ms:
            return
        del state.claim_by_key[key]
        if record.answer is not None:
            state.claim_bytes -= len(record.answer.body)


def _answer_held_claim(record: ClaimRecord, command: Claim) -> ClaimDecision:
    """Answer a claim on a key that another claim already holds."""
    claim = command.claim
    if record.fingerprint != claim.fingerprint:
        return ClaimMismatch()
    if record.answer is not None:
        return ClaimReplay(record.answer)
    if record.request_id == claim.request_id and record.host_id == command.host_id:
        return ClaimGranted()
    return ClaimInProgress()


def _has_capacity(state: State) -> bool:
    """Return whether a new claim fits; claims are never evicted before their retention ends."""
    return len(state.claim_by_key) < MAX_CLAIMS and state.claim_bytes < MAX_CLAIM_BYTES


def _store(state: State, key: ClaimKey, record: ClaimRecord) -> None:
    """Store a claim as the most recently updated."""
    state.claim_by_key[key] = record
    state.claim_by_key.move_to_end(key)
