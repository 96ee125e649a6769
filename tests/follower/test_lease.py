"""Configuration lease: contacts, proofs that no leader acts out of sight, lapses."""

from __future__ import annotations

import pytest

from lagoonwing_core.ids import HostId, Incarnation, MemberId, Revision, Term
from lagoonwing_core.models import CapDimension
from lagoonwing_follower._holder import AllotmentHolder
from lagoonwing_follower._lease import (
    Answered,
    ConfigurationLease,
    DeclaredLost,
    Refusing,
    blocking_count,
    is_vouched,
    proof_time,
)
from lagoonwing_wire.control_messages import Allotments, Grant

A, B, C, D = (HostId(name) for name in "abcd")
NOW = 100.0
FREE = Answered(NOW - 0.2, knows_leader=False, applied=Revision(7))
LED = Answered(NOW - 0.2, knows_leader=True, applied=Revision(7))
AHEAD = Answered(NOW - 0.2, knows_leader=False, applied=Revision(8))
OLD = Answered(NOW - 1.1, knows_leader=False, applied=Revision(7))
DOWN = Refusing(NOW - 2.0, NOW - 0.4)
BARELY_DOWN = Refusing(NOW - 1.0, NOW - 0.1)
LONG_AGO_DOWN = Refusing(NOW - 9.0, NOW - 1.1)
LOST = DeclaredLost(NOW - 0.3)


@pytest.mark.parametrize(
    ("evidence", "proved"),
    [
        # Two of three voters died at once, the third is in sight.
        ({A: FREE, B: DOWN, C: DOWN}, NOW - 0.4),
        ({A: FREE, B: DOWN}, NOW - 0.4),
        # One died, one is in sight, one is out of sight: it has no majority by itself.
        ({A: FREE, B: FREE}, NOW - 0.2),
        # Cut off from all, or from all but one: the others may have a leader.
        ({}, None),
        ({A: FREE}, None),
        ({A: DOWN}, None),
        # One in sight knows a leader, so it may be part of a majority out of sight.
        ({A: LED, B: FREE}, None),
        ({A: LED, B: FREE, C: FREE}, NOW - 0.2),
        # One in sight has changes that are not applied here.
        ({A: AHEAD, B: DOWN}, None),
        # What was seen too long ago, or not for long enough, doesn't count.
        ({A: OLD, B: FREE}, None),
        ({A: FREE, B: BARELY_DOWN}, None),
        ({A: FREE, B: LONG_AGO_DOWN}, None),
        # An operator vouches for a host that is switched off.
        ({A: FREE, B: LOST}, NOW - 0.3),
        ({A: FREE, B: LOST, C: FREE}, NOW - 0.2),
    ],
)
def test_proof_among_three_voters(evidence, proved: float | None) -> None:
    """A proof needs all but one of three voters."""
    assert proof_time((A, B, C), evidence, Revision(7), NOW) == proved


@pytest.mark.parametrize(("voters", "blocking"), [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3)])
def test_blocking_count_reckons_with_an_unseen_change_of_voters(voters, blocking) -> None:
    """Of four voters two might be a majority, for one may have been removed unseen."""
    assert blocking_count(voters) == blocking


def test_four_voters_need_three_in_sight() -> None:
    """Two out of sight may have removed a third and gone on."""
    assert proof_time((A, B, C, D), {A: FREE, B: DOWN}, Revision(7), NOW) is None
    assert proof_time((A, B, C, D), {A: FREE, B: DOWN, C: FREE}, Revision(7), NOW) == NOW - 0.4


def test_unknown_voters_prove_nothing() -> None:
    """Before the first contact nothing is known of the voters."""
    assert proof_time((), {A: FREE}, Revision(7), NOW) is None


def test_refusals_with_a_gap_start_anew() -> None:
    """A voter that came up between two refusals counts as down from the second one."""
    assert Refusing(1.0, 2.0).again(2.9) == Refusing(1.0, 2.9)
    assert Refusing(1.0, 2.0).again(3.1) == Refusing(3.1, 3.1)


def test_lease_counts_from_the_sending_of_the_contact() -> None:
    """It lapses exactly its length after the call was sent."""
    lease = ConfigurationLease(3.0)
    assert not lease.in_force(0.0)
    lease.applied(Revision(0))
    lease.contact(10.0, Revision(0))
    assert lease.in_force(12.99)
    assert not lease.in_force(13.0)


def test_contact_counts_once_its_revision_is_applied() -> None:
    """A change that the leader accepted is in force here, or no new work is taken."""
    lease = ConfigurationLease(3.0)
    lease.applied(Revision(4))
    lease.contact(10.0, Revision(4))
    lease.contact(12.0, Revision(5))
    assert not lease.in_force(13.0)
    lease.applied(Revision(5))
    assert lease.in_force(13.0)


def test_extension_never_revives_a_lapsed_lease() -> None:
    """What happened between the lapse and the proof is not known."""
    lease = ConfigurationLease(3.0)
    lease.applied(Revision(1))
    lease.contact(10.0, Revision(1))
    lease.extend(11.5, 12.0)
    assert lease.in_force(14.4)
    lease.extend(14.6, 14.6)
    assert not lease.in_force(14.7)


def test_operators_word_renews_a_lapsed_lease() -> None:
    """Hosts that lost their power don't refuse connections; only an operator can tell."""
    lease = ConfigurationLease(3.0)
    lease.extend(9.0, 9.0, vouched=True)
    assert not lease.in_force(9.1)
    lease.applied(Revision(1))
    lease.contact(10.0, Revision(1))
    lease.extend(20.0, 20.0, vouched=True)
    assert lease.in_force(22.9)
    assert is_vouched((A, B, C), {A: FREE, B: LOST}, NOW)
    assert not is_vouched((A, B, C), {A: FREE, B: DOWN, D: LOST}, NOW)


def test_lapsed_grants_come_back_on_an_operators_word_only() -> None:
    """A leader's answer ends what the former one granted."""
    holder = AllotmentHolder(Incarnation(1))
    holder.term_seen(Term(1))
    grant = Grant(MemberId("m"), CapDimension.CONCURRENCY, 4.0)
    holder.accept(holder.statement([], 10.0), Allotments(Term(1), 2.5, (grant,)), 10.1)
    holder.extend(20.0, 20.0)
    assert holder.grants(20.0) == ()
    holder.extend(20.0, 20.0, vouched=True)
    assert [item.amount for item in holder.grants(22.4)] == [4.0]
    holder.accept(holder.statement([], 30.0), Allotments(Term(1), 2.5, ()), 30.1)
    holder.extend(30.2, 30.2, vouched=True)
    assert holder.grants(30.3) == ()
