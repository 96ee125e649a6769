"""Claims: granted once, released, kept for their retention."""

from __future__ import annotations

from state_machine_support import ANSWER, refusal_code

from lagoonwing_control.const import (
    CLAIM_RETENTION_MS,
    MAX_STORED_ANSWER_BYTES,
)
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_wire.control_messages import (
    ClaimGranted,
    ClaimInProgress,
    ClaimMismatch,
    ClaimReplay,
    Done,
    StoredResponse,
)


def test_claim_is_granted_once(replica) -> None:
    """Other requests see the claim in progress, then its answer; the holder may repeat it."""
    assert replica.claim("r1") == ClaimGranted()
    assert replica.claim("r1") == ClaimGranted()
    assert replica.claim("r1", host="e2") == ClaimInProgress()
    assert replica.claim("r2") == ClaimInProgress()
    assert replica.claim("r2", fingerprint="other") == ClaimMismatch()
    assert refusal_code(replica.store("r2")) is ResultCode.UNKNOWN_ENTITY
    assert replica.store("r1") == Done()
    assert replica.store("r1") == Done()
    for each in (replica, replica.copy()):
        assert each.claim("r3") == ClaimReplay(ANSWER)
        assert refusal_code(each.release("r1")) is ResultCode.INVALID_CHANGE
    assert replica.machine.state.revision == 0


def test_released_claim_is_granted_to_another_request_only(replica) -> None:
    """A late claim of the request that released it is refused, also after a restore."""
    replica.claim("r1")
    assert replica.release("r2") == Done()
    assert replica.claim("r2") == ClaimInProgress()
    assert replica.release("r1") == Done()
    assert refusal_code(replica.copy().claim("r1")) is ResultCode.CLAIM_UNAVAILABLE
    assert replica.claim("r2") == ClaimGranted()
    assert replica.release("r1") == Done()
    assert replica.claim("r3") == ClaimInProgress()


def test_claim_that_arrives_after_its_release_is_refused(replica) -> None:
    """The caller was already told that the request did not run, so it must not run later."""
    assert replica.release("r1") == Done()
    assert refusal_code(replica.claim("r1")) is ResultCode.CLAIM_UNAVAILABLE


def test_claims_are_kept_for_their_retention(replica) -> None:
    """A claim is deleted only after its retention without an update."""
    replica.claim("r1")
    replica.now_ms += CLAIM_RETENTION_MS
    assert replica.store("r1") == Done()
    replica.now_ms += CLAIM_RETENTION_MS
    assert replica.claim("r2") == ClaimReplay(ANSWER)
    replica.now_ms += CLAIM_RETENTION_MS + 1
    assert replica.claim("r2") == ClaimGranted()
    assert replica.machine.state.claim_bytes == 0


def test_answer_too_large_to_store_leaves_the_claim_in_progress(replica) -> None:
    """The answer is not stored, and the request still can't run a second time."""
    replica.claim("r1")
    body = b"x" * (MAX_STORED_ANSWER_BYTES + 1)
    large = StoredResponse(200, (), body, Outcome.DONE, ResultCode.OK)
    assert refusal_code(replica.store("r1", large)) is ResultCode.BODY_TOO_LARGE
    assert replica.claim("r2") == ClaimInProgress()
