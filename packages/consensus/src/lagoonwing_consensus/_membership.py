"""Changes of the replica set: one voter at a time, each accepted before the next."""

from __future__ import annotations

from lagoonwing_consensus import _roles, _sending
from lagoonwing_consensus._state import Progress, ReplicaState
from lagoonwing_consensus.models import (
    Entry,
    EntryKind,
    Replica,
    ReplicaSet,
    encode_replica_set,
)
from lagoonwing_core.ids import LogIndex, ReplicaId


def tick(state: ReplicaState, now: float) -> None:
    """Replace a lost voter by a learner that is caught up."""
    if not may_change_replica_set(state):
        return
    changed = next_replica_set(state, now)
    if changed is not None:
        propose_replica_set(state, changed, now)


def may_change_replica_set(state: ReplicaState) -> bool:
    """Return whether a change may begin: none is open, and this term has accepted an entry.

    Without the latter, the open change of a former leader could be unknown here.
    """
    return _roles.is_term_ready(state) and state.sets.current_index <= state.commit


def next_replica_set(state: ReplicaState, now: float) -> ReplicaSet | None:
    """Return the replica set that comes next on the way to enough live voters.

    A silent voter may come back, so a learner becomes a voter first: the larger set can do
    with either. A voter whose disk is gone for certain only raises the majority, and loses its
    vote first.
    """
    current = state.sets.current
    wanted = state.settings.voter_count
    lost = next((voter for voter in current.voters if is_voter_lost(state, voter, now)), None)
    if len(current.voters) > wanted:
        return demote_voter(current, lost or _newest_follower(state))
    learner = next((one for one in current.learners if is_caught_up(state, one, now)), None)
    if learner is None:
        return None
    if len(current.voters) < wanted:
        return promote_learner(current, learner)
    if lost is None:
        return None
    if has_replaced_disk(current, lost):
        return demote_voter(current, lost)
    return promote_learner(current, learner)


def is_voter_lost(state: ReplicaState, voter: Replica, now: float) -> bool:
    """Return whether a voter counts as gone."""
    progress = state.progress_by_id.get(voter.replica_id)
    if progress is None:
        return False
    if has_replaced_disk(state.sets.current, voter):
        return True
    return now >= progress.heard_at + state.settings.voter_lost_s


def has_replaced_disk(current: ReplicaSet, voter: Replica) -> bool:
    """Return whether a voter's host has come back with another disk."""
    return any(learner.host_id == voter.host_id for learner in current.learners)


def is_caught_up(state: ReplicaState, learner: Replica, now: float) -> bool:
    """Return whether a learner answers and holds nearly every entry."""
    progress = state.progress_by_id.get(learner.replica_id)
    if progress is None or progress.transfer is not None:
        return False
    if now >= progress.heard_at + state.settings.election_min_s:
        return False
    return state.log.last_index - progress.match_index <= state.settings.learner_lag_entries


def promote_learner(current: ReplicaSet, learner: Replica) -> ReplicaSet:
    """Return the set in which a learner has become a voter."""
    learners = tuple(one for one in current.learners if one != learner)
    return ReplicaSet((*current.voters, learner), learners)


def demote_voter(current: ReplicaSet, voter: Replica) -> ReplicaSet:
    """Return the set in which a voter has become a learner, or is gone with its disk."""
    voters = tuple(one for one in current.voters if one != voter)
    if has_replaced_disk(current, voter):
        return ReplicaSet(voters, current.learners)
    return ReplicaSet(voters, (*current.learners, voter))


def add_learner(state: ReplicaState, replica: Replica, now: float) -> None:
    """Take in a replica that asks to join; the leader only, and only if none is being changed."""
    current = state.sets.current
    known = {one.replica_id for one in (*current.voters, *current.learners)}
    if replica.replica_id in known or not may_change_replica_set(state):
        return
    # A host has one disk: its former replica will never come back.
    learners = [one for one in current.learners if one.host_id != replica.host_id]
    propose_replica_set(state, ReplicaSet(current.voters, (*learners, replica)), now)


def propose_replica_set(state: ReplicaState, replica_set: ReplicaSet, now: float) -> None:
    """Append a replica set; it is in force at once."""
    index = LogIndex(state.log.last_index + 1)
    state.append(Entry(index, state.term, EntryKind.REPLICA_SET, encode_replica_set(replica_set)))
    refresh_progress(state, now)
    _sending.broadcast(state, now)


def refresh_progress(state: ReplicaState, now: float) -> None:
    """Begin to copy to new replicas and cease to copy to those that are gone."""
    next_index = LogIndex(state.log.last_index + 1)
    progress_by_id: dict[ReplicaId, Progress] = {}
    for peer in state.peers():
        known = state.progress_by_id.get(peer.replica_id)
        fresh = Progress(next_index, LogIndex(0), heard_at=now)
        progress_by_id[peer.replica_id] = known or fresh
    state.progress_by_id = progress_by_id


def _newest_follower(state: ReplicaState) -> Replica:
    """Return the voter added last that does not lead."""
    return next(
        voter
        for voter in reversed(state.sets.current.voters)
        if voter.replica_id != state.replica_id
    )
