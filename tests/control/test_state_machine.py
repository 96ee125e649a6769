"""Control state machine: revisions, entities, quarantines, snapshots and history."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from state_machine_support import ANSWER, START_MS, MachineReplica, refusal_code, suspect_report

from lagoonwing_control.const import (
    CHANGE_ID_RETENTION_MS,
)
from lagoonwing_control.models import (
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
    Fingerprint,
    HostId,
    IdempotencyKey,
    Incarnation,
    MemberId,
    RequestId,
    Revision,
    StopId,
)
from lagoonwing_core.models import QuarantineState, StopState, StopTarget
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire.control_messages import (
    ClearSuspect,
    ReleaseClaim,
    StoreOutcome,
    TakeClaim,
)


def test_second_change_at_the_same_revision_conflicts(replica) -> None:
    """Of two changes with the same expected revision, the second one conflicts."""
    assert replica.set("a", "1", 0).revision == 1
    assert replica.set("a", "2", 1, f"{START_MS}-ana") == ChangeAccepted(
        Revision(2), replica.machine.state.entity(EntityKind.CONFIGURATION, "a")
    )
    assert refusal_code(replica.set("a", "3", 1, f"{START_MS}-bo")) is ResultCode.REVISION_CONFLICT
    assert refusal_code(replica.set("a", "3", 0)) is ResultCode.ALREADY_EXISTS
    assert refusal_code(replica.set("b", "3", 9)) is ResultCode.UNKNOWN_ENTITY
    assert replica.machine.state.revision == 2


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
    assert refusal_code(replica.change(change)) is ResultCode.INVALID_CHANGE
    assert replica.machine.state.revision == 2


def test_retirement_is_final(replica) -> None:
    """The id of a retired entity can't be reused."""
    replica.change(PutMember(MemberId("m"), "M", ()))
    assert replica.change(Retire(EntityKind.MEMBER, "m"), 1).revision == 2
    assert (
        refusal_code(replica.change(PutMember(MemberId("m"), "N", ()), 2))
        is ResultCode.INVALID_CHANGE
    )
    assert (
        refusal_code(replica.change(Retire(EntityKind.MEMBER, "m"), 2)) is ResultCode.INVALID_CHANGE
    )


def test_stop_becomes_safe_once_and_may_be_cancelled(replica) -> None:
    """Marking a cancelled stop safe has no effect."""
    replica.change(OrderStop(StopId("s"), StopTarget.ENDPOINT, "e"))
    replica.apply(MarkStopSafe(StopId("s"), Revision(1)))
    stop = replica.machine.state.stops()[0]
    assert (stop.state, stop.revision) == (StopState.SAFE, 2)
    replica.change(Retire(EntityKind.STOP, "s"), 2)
    replica.apply(MarkStopSafe(StopId("s"), Revision(3)))
    assert replica.machine.state.stops()[0].state is StopState.CANCELLED


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


def random_command(draw: random.Random, replica: MachineReplica):
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
    first = MachineReplica()
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
