"""Replica set changes when a host has returned with a new disk."""

from __future__ import annotations

from lagoonwing_consensus import Replica, ReplicaSet
from lagoonwing_consensus._membership import demote_voter, has_replaced_disk, promote_learner
from lagoonwing_core.ids import HostId, ReplicaId


def _replica(host: str, disk: str) -> Replica:
    """Return a replica of a host, with one of the host's disks."""
    return Replica(ReplicaId(f"{host}-{disk}"), HostId(host), "127.0.0.1", 1)


OTHERS = (_replica("a", "1"), _replica("b", "1"))
OLD = _replica("c", "1")
NEW = _replica("c", "2")


def test_promoted_replacement_is_not_taken_for_a_lost_disk() -> None:
    """The old replica is the lost one, also after the new one has become a voter."""
    promoted = promote_learner(ReplicaSet((*OTHERS, OLD), (NEW,)), NEW)
    assert has_replaced_disk(promoted, OLD)
    assert not has_replaced_disk(promoted, NEW)


def test_replaced_voter_is_removed_after_its_replacement_was_promoted() -> None:
    """The old replica is removed; as a learner it would make the new one look replaced."""
    promoted = promote_learner(ReplicaSet((*OTHERS, OLD), (NEW,)), NEW)
    assert demote_voter(promoted, OLD) == ReplicaSet((*OTHERS, NEW), ())


def test_unreachable_voter_is_kept_as_learner() -> None:
    """A voter with its disk may come back, so it is demoted and not removed."""
    assert demote_voter(ReplicaSet((*OTHERS, OLD), ()), OLD) == ReplicaSet(OTHERS, (OLD,))
