"""Tests of the configuration lease: contacts, proof that no unseen leader exists, lapses."""

from __future__ import annotations

import pytest

from lagoonwing_core.ids import HostId, Incarnation, MemberId, Revision, Term
from lagoonwing_core.models import CapDimension
from lagoonwing_follower._allotment_holder import AllotmentHolder
from lagoonwing_follower._lease import (
    Answered,
    ConfigurationLease,
    DeclaredLost,
    Refusing,
    is_operator_confirmed,
    leaderless_until,
    min_unseen_majority,
)
from lagoonwing_wire.control_messages import Allotments, Grant

A, B, C, D = (HostId(name) for name in "abcd")
NOW = 100.0
NO_LEADER = Answered(NOW - 0.2, knows_leader=False, applied=Revision(7))
KNOWS_LEADER = Answered(NOW - 0.2, knows_leader=True, applied=Revision(7))
AHEAD = Answered(NOW - 0.2, knows_leader=False, applied=Revision(8))
EXPIRED = Answered(NOW - 1.1, knows_leader=False, applied=Revision(7))
DOWN = Refusing(NOW - 2.0, NOW - 0.4)
BARELY_DOWN = Refusing(NOW - 1.0, NOW - 0.1)
EXPIRED_DOWN = Refusing(NOW - 9.0, NOW - 1.1)
DECLARED_LOST = DeclaredLost(NOW - 0.3)


@pytest.mark.parametrize(
    ("evidence", "expected"),
    [
        # Two of three voters are down, the third answers.
        ({A: NO_LEADER, B: DOWN, C: DOWN}, NOW - 0.4),
        ({A: NO_LEADER, B: DOWN}, NOW - 0.4),
        # Two answer, one is unseen and has no majority by itself.
        ({A: NO_LEADER, B: NO_LEADER}, NOW - 0.2),
        # None or only one is seen: the others may have a leader.
        ({}, None),
        ({A: NO_LEADER}, None),
        ({A: DOWN}, None),
        # One that answers knows a leader, so it may be part of an unseen majority.
        ({A: KNOWS_LEADER, B: NO_LEADER}, None),
        ({A: KNOWS_LEADER, B: NO_LEADER, C: NO_LEADER}, NOW - 0.2),
        # One that answers has changes that are not applied here.
        ({A: AHEAD, B: DOWN}, None),
        # Evidence that is too old, or of refusals over too short a time, does not count.
        ({A: EXPIRED, B: NO_LEADER}, None),
        ({A: NO_LEADER, B: BARELY_DOWN}, None),
        ({A: NO_LEADER, B: EXPIRED_DOWN}, None),
        # An operator declared a powered-off host lost.
        ({A: NO_LEADER, B: DECLARED_LOST}, NOW - 0.3),
        ({A: NO_LEADER, B: DECLARED_LOST, C: NO_LEADER}, NOW - 0.2),
    ],
)
def test_proof_among_three_voters(evidence, expected: float | None) -> None:
    """Proof that no unseen leader exists needs all but one of three voters."""
    assert leaderless_until((A, B, C), evidence, Revision(7), NOW) == expected


@pytest.mark.parametrize(("voters", "expected"), [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3)])
def test_min_unseen_majority_allows_for_an_unseen_removal(voters, expected) -> None:
    """Two of four voters may be a majority, as one voter may have been removed unseen."""
    assert min_unseen_majority(voters) == expected


def test_four_voters_need_evidence_of_three() -> None:
    """Two unseen voters may have removed a third and elected a leader."""
    assert leaderless_until((A, B, C, D), {A: NO_LEADER, B: DOWN}, Revision(7), NOW) is None
    assert (
        leaderless_until((A, B, C, D), {A: NO_LEADER, B: DOWN, C: NO_LEADER}, Revision(7), NOW)
        == NOW - 0.4
    )


def test_unknown_voters_prove_nothing() -> None:
    """Before the first contact the voters are unknown, so nothing is proven."""
    assert leaderless_until((), {A: NO_LEADER}, Revision(7), NOW) is None


def test_gap_between_refusals_starts_a_new_series() -> None:
    """A voter that may have been up between two refusals counts as down from the second one."""
    assert Refusing(1.0, 2.0).refused_again(2.9) == Refusing(1.0, 2.9)
    assert Refusing(1.0, 2.0).refused_again(3.1) == Refusing(3.1, 3.1)


def test_lease_counts_from_the_sending_of_the_contact() -> None:
    """The lease lapses exactly its duration after the call was sent."""
    lease = ConfigurationLease(3.0)
    assert not lease.in_force(0.0)
    lease.record_applied(Revision(0))
    lease.record_contact(10.0, Revision(0))
    assert lease.in_force(12.99)
    assert not lease.in_force(13.0)


def test_contact_counts_once_its_revision_is_applied() -> None:
    """No new work is accepted until a change that the leader accepted is applied here."""
    lease = ConfigurationLease(3.0)
    lease.record_applied(Revision(4))
    lease.record_contact(10.0, Revision(4))
    lease.record_contact(12.0, Revision(5))
    assert not lease.in_force(13.0)
    lease.record_applied(Revision(5))
    assert lease.in_force(13.0)


def test_extension_never_revives_a_lapsed_lease() -> None:
    """A leader may have existed between the lapse and the proof."""
    lease = ConfigurationLease(3.0)
    lease.record_applied(Revision(1))
    lease.record_contact(10.0, Revision(1))
    lease.extend(11.5, 12.0)
    assert lease.in_force(14.4)
    lease.extend(14.6, 14.6)
    assert not lease.in_force(14.7)


def test_lost_declaration_renews_a_lapsed_lease() -> None:
    """Powered-off hosts don't refuse connections, so an operator must declare them lost."""
    lease = ConfigurationLease(3.0)
    lease.extend(9.0, 9.0, operator_confirmed=True)
    assert not lease.in_force(9.1)
    lease.record_applied(Revision(1))
    lease.record_contact(10.0, Revision(1))
    lease.extend(20.0, 20.0, operator_confirmed=True)
    assert lease.in_force(22.9)
    assert is_operator_confirmed((A, B, C), {A: NO_LEADER, B: DECLARED_LOST}, NOW)
    assert not is_operator_confirmed((A, B, C), {A: NO_LEADER, B: DOWN, D: DECLARED_LOST}, NOW)


def test_only_a_lost_declaration_restores_lapsed_grants() -> None:
    """Lapsed grants are restored by a lost declaration until a leader replies."""
    holder = AllotmentHolder(Incarnation(1))
    holder.observe_term(Term(1))
    grant = Grant(MemberId("m"), CapDimension.CONCURRENCY, 4.0)
    holder.accept(holder.build_request([], 10.0), Allotments(Term(1), 2.5, (grant,)), 10.1)
    holder.extend(20.0, 20.0)
    assert holder.grants(20.0) == ()
    holder.extend(20.0, 20.0, operator_confirmed=True)
    assert [item.amount for item in holder.grants(22.4)] == [4.0]
    holder.accept(holder.build_request([], 30.0), Allotments(Term(1), 2.5, ()), 30.1)
    holder.extend(30.2, 30.2, operator_confirmed=True)
    assert holder.grants(30.3) == ()
