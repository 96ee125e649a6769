"""Control state machine: revisions, change ids, claims, quarantines and snapshots."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonwing_control import ControlStateMachine, _change_ids
from lagoonwing_control._state_machine import decode_results, encode_batch
from lagoonwing_control.const import (
    CHANGE_ID_RETENTION_MS,
    CLAIM_RETENTION_MS,
    MAX_CHANGE_ID_AHEAD_MS,
    MAX_STORED_ANSWER_BYTES,
)
from lagoonwing_control.models import (
    Batch,
    ChangeAccepted,
    Claim,
    EntityKind,
    FencingTaken,
    MarkStopSafe,
    OperatorChange,
    OrderStop,
    PutAgreement,
    PutMember,
    RegisterEntry,
    Retire,
    SetConfiguration,
    TakeFencing,
)
from lagoonwing_core.ids import (
    AgreementId,
    ChangeId,
    EndpointId,
    Fingerprint,
    HostId,
    IdempotencyKey,
    Incarnation,
    LogIndex,
    MemberId,
    RequestId,
    Revision,
    StopId,
)
from lagoonwing_core.models import QuarantineState, StopState, StopTarget
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_wire.control_messages import (
    ClaimGranted,
    ClaimInProgress,
    ClaimMismatch,
    ClaimReplay,
    ClearSuspect,
    Done,
    Refused,
    ReleaseClaim,
    ReportSuspects,
    StoredResponse,
    StoreOutcome,
    TakeClaim,
)

START_MS = 1_700_000_000_000
ANSWER = StoredResponse(
    200, (("content-type", "text/plain"),), b"done", Outcome.DONE, ResultCode.OK
)


class Replica:
    """A state machine with its log index and the proposer's clock."""

    def __init__(self) -> None:
        self.machine = ControlStateMachine()
        self.index = 0
        self.now_ms = START_MS

    def apply(self, *commands):
        """Apply one batch and return its results, or the only result of a single command."""
        self.index += 1
        payload = encode_batch(Batch(self.now_ms, commands))
        results = decode_results(self.machine.apply(LogIndex(self.index), payload))
        return results[0] if len(commands) == 1 else results

    def set(self, key: str, value: str, expected: int, change_id: str | None = None):
        """Set a configuration key."""
        change_id = change_id or f"{self.now_ms}-{self.index}"
        change = SetConfiguration(key, value)
        return self.apply(OperatorChange("ana", ChangeId(change_id), Revision(expected), change))

    def change(self, change, expected: int = 0):
        """Submit a change under a new change id."""
        change_id = ChangeId(f"{self.now_ms}-{self.index}")
        return self.apply(OperatorChange("ana", change_id, Revision(expected), change))

    def claim(self, request: str, host: str = "e1", fingerprint: str = "f", key: str = "k"):
        """Take a claim."""
        message = TakeClaim(
            MemberId("m"), IdempotencyKey(key), Fingerprint(fingerprint), RequestId(request)
        )
        return self.apply(Claim(HostId(host), message))

    def store(self, request: str, answer: StoredResponse = ANSWER):
        """Store an outcome."""
        message = StoreOutcome(MemberId("m"), IdempotencyKey("k"), RequestId(request), answer)
        return self.apply(message)

    def release(self, request: str):
        """Release a claim."""
        return self.apply(ReleaseClaim(MemberId("m"), IdempotencyKey("k"), RequestId(request)))

    def copy(self) -> Replica:
        """Return another replica restored from a snapshot of this one."""
        other = Replica()
        other.machine.restore(self.machine.snapshot())
        other.index = self.index
        other.now_ms = self.now_ms
        return other


@pytest.fixture
def replica() -> Replica:
    """A replica with empty state."""
    return Replica()


def code(result) -> ResultCode:
    """Assert that a result is a refusal and return its code."""
    assert isinstance(result, Refused), result
    return result.code


def test_second_change_at_the_same_revision_conflicts(replica) -> None:
    """Of two changes with the same expected revision, the second one conflicts."""
    assert replica.set("a", "1", 0).revision == 1
    assert replica.set("a", "2", 1, f"{START_MS}-ana") == ChangeAccepted(
        Revision(2), replica.machine.state.entity(EntityKind.CONFIGURATION, "a")
    )
    assert code(replica.set("a", "3", 1, f"{START_MS}-bo")) is ResultCode.REVISION_CONFLICT
    assert code(replica.set("a", "3", 0)) is ResultCode.ALREADY_EXISTS
    assert code(replica.set("b", "3", 9)) is ResultCode.UNKNOWN_ENTITY
    assert replica.machine.state.revision == 2


def test_resent_change_gets_its_first_result_at_any_replica(replica) -> None:
    """Holds after later changes, after a restore, and if the first result was a refusal."""
    change_id = f"{START_MS}-x"
    first = replica.set("a", "1", 0, change_id)
    refused = replica.set("a", "1", 7, f"{START_MS}-y")
    replica.set("a", "2", 1)
    for each in (replica, replica.copy(), replica.copy().copy()):
        again = each.set("a", "1", 0, change_id)
        assert (again.revision, again.entity, again.replayed) == (1, first.entity, True)
        assert each.set("a", "1", 7, f"{START_MS}-y") == refused
        assert code(each.set("a", "9", 0, change_id)) is ResultCode.CHANGE_ID_REUSED
        assert each.machine.state.revision == 2


def test_change_id_past_retention_is_refused_as_expired(replica) -> None:
    """An id past its retention is never treated as new, whether it was used or not."""
    change_id = f"{START_MS}-x"
    replica.set("a", "1", 0, change_id)
    replica.now_ms = START_MS + CHANGE_ID_RETENTION_MS
    assert replica.set("a", "1", 0, change_id).replayed
    replica.now_ms += 1
    assert code(replica.set("a", "1", 0, change_id)) is ResultCode.CHANGE_ID_EXPIRED
    assert code(replica.set("b", "1", 0, change_id)) is ResultCode.CHANGE_ID_EXPIRED
    replica.now_ms = START_MS
    assert code(replica.set("b", "1", 0, change_id)) is ResultCode.CHANGE_ID_EXPIRED
    assert code(replica.copy().set("b", "1", 0, change_id)) is ResultCode.CHANGE_ID_EXPIRED


def test_count_limit_of_change_ids_survives_a_restore(replica, monkeypatch) -> None:
    """A change id deleted because of the count limit stays refused after a restore."""
    monkeypatch.setattr(_change_ids, "MAX_CHANGE_IDS", 2)
    for number in range(5):
        replica.set(f"k{number}", "1", 0, f"{START_MS + number}-x")
    monkeypatch.setattr(_change_ids, "MAX_CHANGE_IDS", 100)
    other = replica.copy()
    assert code(other.set("new", "1", 0, f"{START_MS}-x")) is ResultCode.CHANGE_ID_EXPIRED


def test_change_ids_beyond_the_count_limit_are_refused_as_expired(replica, monkeypatch) -> None:
    """Deleting ids by count raises the age limit, so that a deleted id is never treated as new."""
    monkeypatch.setattr(_change_ids, "MAX_CHANGE_IDS", 3)
    for number in range(6):
        replica.set(f"k{number}", "1", 0, f"{START_MS + number}-x")
    replica.set("k9", "1", 0, f"{START_MS + 9}-x")
    assert code(replica.set("k0", "1", 0, f"{START_MS}-x")) is ResultCode.CHANGE_ID_EXPIRED
    assert code(replica.set("new", "1", 0, f"{START_MS + 1}-y")) is ResultCode.CHANGE_ID_EXPIRED
    assert replica.set("k5", "1", 0, f"{START_MS + 5}-x").replayed


@pytest.mark.parametrize("change_id", ["", "x", "-x", "12", f"{START_MS}-", f"{START_MS}-a b"])
def test_malformed_change_id_is_refused(replica, change_id: str) -> None:
    """Without a timestamp, an id could not be distinguished from an expired one."""
    change = OperatorChange("ana", ChangeId(change_id), Revision(0), SetConfiguration("a", "1"))
    assert code(replica.apply(change)) is ResultCode.INVALID_CHANGE


def test_change_id_from_the_future_is_refused(replica) -> None:
    """An id with a future timestamp would outlive the retention."""
    ahead = f"{START_MS + MAX_CHANGE_ID_AHEAD_MS + 1}-x"
    assert code(replica.set("a", "1", 0, ahead)) is ResultCode.INVALID_CHANGE


KEY_HASH = "a" * 64


@pytest.mark.parametrize(
    "change",
    [
        PutMember(MemberId(""), "x", ()),
        PutMember(MemberId("m2"), "x" * 999, ()),
        PutMember(MemberId("m2"), "x", ("short",)),
        PutMember(MemberId("m2"), "x", (KEY_HASH,)),
        PutAgreement(AgreementId("b"), MemberId("nobody"), 1.0, None, None, None),
        PutAgreement(AgreementId("b"), MemberId("m1"), 1.0, None, None, None),
        PutAgreement(AgreementId("b"), MemberId("m1"), 0.0, None, None, None),
        PutAgreement(AgreementId("b"), MemberId("m1"), float("nan"), None, None, None),
        PutAgreement(AgreementId("b"), MemberId("m1"), 1.0, None, -1.0, None),
        SetConfiguration("k", "v" * 99_999),
        SetConfiguration("a key", "v"),
        OrderStop(StopId("s"), StopTarget.HOST, ""),
    ],
)
def test_invalid_change_is_refused(replica, change) -> None:
    """Changes that are malformed or inconsistent with other entities are refused."""
    replica.change(PutMember(MemberId("m1"), "One", (KEY_HASH,)))
    replica.change(PutAgreement(AgreementId("a"), MemberId("m1"), 1.0, 3, None, None))
    assert code(replica.change(change)) is ResultCode.INVALID_CHANGE
    assert replica.machine.state.revision == 2


def test_retirement_is_final(replica) -> None:
    """The id of a retired entity can't be reused."""
    replica.change(PutMember(MemberId("m"), "M", ()))
    assert replica.change(Retire(EntityKind.MEMBER, "m"), 1).revision == 2
    assert code(replica.change(PutMember(MemberId("m"), "N", ()), 2)) is ResultCode.INVALID_CHANGE
    assert code(replica.change(Retire(EntityKind.MEMBER, "m"), 2)) is ResultCode.INVALID_CHANGE


def test_stop_becomes_safe_once_and_may_be_cancelled(replica) -> None:
    """Marking a cancelled stop safe has no effect."""
    replica.change(OrderStop(StopId("s"), StopTarget.ENDPOINT, "e"))
    replica.apply(MarkStopSafe(StopId("s"), Revision(1)))
    stop = replica.machine.state.stops()[0]
    assert (stop.state, stop.revision) == (StopState.SAFE, 2)
    replica.change(Retire(EntityKind.STOP, "s"), 2)
    replica.apply(MarkStopSafe(StopId("s"), Revision(3)))
    assert replica.machine.state.stops()[0].state is StopState.CANCELLED


def test_claim_is_granted_once(replica) -> None:
    """Other requests see the claim in progress, then its answer; the holder may repeat it."""
    assert replica.claim("r1") == ClaimGranted()
    assert replica.claim("r1") == ClaimGranted()
    assert replica.claim("r1", host="e2") == ClaimInProgress()
    assert replica.claim("r2") == ClaimInProgress()
    assert replica.claim("r2", fingerprint="other") == ClaimMismatch()
    assert code(replica.store("r2")) is ResultCode.UNKNOWN_ENTITY
    assert replica.store("r1") == Done()
    assert replica.store("r1") == Done()
    for each in (replica, replica.copy()):
        assert each.claim("r3") == ClaimReplay(ANSWER)
        assert code(each.release("r1")) is ResultCode.INVALID_CHANGE
    assert replica.machine.state.revision == 0


def test_released_claim_is_granted_to_another_request_only(replica) -> None:
    """A late claim of the request that released it is refused, also after a restore."""
    replica.claim("r1")
    assert replica.release("r2") == Done()
    assert replica.claim("r2") == ClaimInProgress()
    assert replica.release("r1") == Done()
    assert code(replica.copy().claim("r1")) is ResultCode.CLAIM_UNAVAILABLE
    assert replica.claim("r2") == ClaimGranted()
    assert replica.release("r1") == Done()
    assert replica.claim("r3") == ClaimInProgress()


def test_claim_that_arrives_after_its_release_is_refused(replica) -> None:
    """The caller was already told that the request did not run, so it must not run later."""
    assert replica.release("r1") == Done()
    assert code(replica.claim("r1")) is ResultCode.CLAIM_UNAVAILABLE


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
    assert code(replica.store("r1", large)) is ResultCode.BODY_TOO_LARGE
    assert replica.claim("r2") == ClaimInProgress()


def suspect_report(endpoint: str, *fingerprints: str, incarnation: int = 1) -> ReportSuspects:
    """Return a report of the requests that ran when an endpoint died."""
    return ReportSuspects(
        tuple(Fingerprint(item) for item in fingerprints),
        EndpointId(endpoint),
        Incarnation(incarnation),
    )


def test_two_deaths_quarantine_a_request(replica) -> None:
    """A second death quarantines; a cleared request stays clear; a resent report counts once."""
    replica.apply(suspect_report("e1", "bad", "good"))
    replica.apply(suspect_report("e1", "bad"))
    state = replica.machine.state
    assert [item.state for item in state.quarantines()] == [QuarantineState.SUSPECT] * 2
    replica.apply(ClearSuspect(Fingerprint("good")))
    replica.apply(suspect_report("e2", "bad"))
    assert [item.state for item in state.quarantines()] == [QuarantineState.QUARANTINED]
    replica.apply(ClearSuspect(Fingerprint("bad")))
    assert state.quarantines()[0].state is QuarantineState.QUARANTINED
    accepted = replica.change(Retire(EntityKind.QUARANTINE, "bad"), state.revision)
    assert accepted.entity.state is QuarantineState.CLEARED
    assert state.quarantines() == []
    assert [event.revision for event in replica.machine.history.events()] == [1, 2, 3, 4, 5]


def test_fencing_numbers_increase(replica) -> None:
    """A number is never allocated twice, also after a restore."""
    assert replica.apply(TakeFencing("orders")) == FencingTaken(1)
    assert replica.copy().apply(TakeFencing("orders")) == FencingTaken(2)


def test_history_reports_discarded_changes(replica) -> None:
    """A watch from a revision before the history must list the entities again."""
    history = replica.machine.history
    assert history.after(Revision(0)) == ()
    for number in range(10_003):
        replica.set(f"k{number % 100}", str(number), 0 if number < 100 else number - 99)
    assert history.oldest == 3
    assert history.after(Revision(2)) is None
    assert [event.revision for event in history.after(Revision(10_001))] == [10_002, 10_003]
    assert replica.copy().machine.history.after(Revision(2)) is None


def random_command(draw: random.Random, replica: Replica):
    """Return a random command over a small set of ids, so that they collide."""
    key = draw.choice("ab")
    request = draw.choice(["r1", "r2", "r3"])
    change_id = ChangeId(f"{START_MS + draw.randrange(30)}-{draw.randrange(3)}")
    expected = Revision(max(0, replica.machine.state.revision - draw.randrange(4)))
    claim = TakeClaim(
        MemberId("m"), IdempotencyKey(key), Fingerprint(draw.choice("fg")), RequestId(request)
    )
    return draw.choice(
        [
            OperatorChange(
                draw.choice(["ana", "bo"]),
                change_id,
                draw.choice([expected, Revision(0)]),
                draw.choice([SetConfiguration(key, request), PutMember(MemberId(key), key, ())]),
            ),
            Claim(HostId(draw.choice(["e1", "e2"])), claim),
            StoreOutcome(MemberId("m"), IdempotencyKey(key), RequestId(request), ANSWER),
            ReleaseClaim(MemberId("m"), IdempotencyKey(key), RequestId(request)),
            suspect_report(draw.choice(["e1", "e2"]), draw.choice("fg")),
            ClearSuspect(Fingerprint(draw.choice("fg"))),
            RegisterEntry(HostId("e1"), Incarnation(draw.randrange(3))),
            TakeFencing(key),
        ]
    )


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_replicas_agree_and_each_change_has_one_effect(seed: int) -> None:
    """A restored replica returns the same results and has the same state as the original.

    Each change id takes effect once, and each expected revision admits one change.
    """
    draw = random.Random(seed)
    first = Replica()
    second = first.copy()
    effect_by_change: dict[tuple[str, str], int] = {}
    change_id_by_expected_revision: dict[tuple[str, int], str] = {}
    revision = 0
    for _ in range(60):
        if draw.random() < 0.1:
            second = first.copy()
        step_ms = draw.choice([0, 0, 5, CHANGE_ID_RETENTION_MS // 2])
        first.now_ms = second.now_ms = first.now_ms + (step_ms if draw.random() < 0.2 else 0)
        command = random_command(draw, first)
        result = first.apply(command)
        assert second.apply(command) == result
        assert second.machine.snapshot() == first.machine.snapshot()
        assert first.machine.state.revision >= revision
        revision = first.machine.state.revision
        if isinstance(command, OperatorChange) and isinstance(result, ChangeAccepted):
            change_key = (command.operator, command.change_id)
            if result.replayed:
                assert effect_by_change[change_key] == result.revision
                continue
            assert change_key not in effect_by_change
            effect_by_change[change_key] = result.revision
            if command.expected > 0:
                revision_key = (repr(command.change)[:24], command.expected)
                assert revision_key not in change_id_by_expected_revision
                change_id_by_expected_revision[revision_key] = command.change_id
