"""Replica set changes: one voter at a time, each committed before the next."""

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
    """Replace a lost voter with a caught-up learner."""
    if not may_change_replica_set(state):
        return
    changed = next_replica_set(state, now)
    if changed is not None:
        propose_replica_set(state, changed, now)


def may_change_replica_set(state: ReplicaState) -> bool:
    """Return whether a change may start: none is open, and this term has committed an entry.

    Without the latter, this replica might not know of an earlier leader's pending change.
    """
    return _roles.is_term_ready(state) and state.sets.current_index <= state.commit


def next_replica_set(state: ReplicaState, now: float) -> ReplicaSet | None:
    """Return the next replica set towards the wanted number of live voters, if any.

    An unreachable voter may come back, so a learner is promoted first; the larger set works
    with either of them. A voter whose disk is known to be lost only raises the quorum, so it is
    demoted first.
    """
    current = state.sets.current
    target_count = state.settings.voter_count
    lost_voter = next((voter for voter in current.voters if is_voter_lost(state, voter, now)), None)
    if len(current.voters) > target_count:
        return demote_voter(current, lost_voter or _newest_follower(state))
    learner = next(
        (learner for learner in current.learners if is_caught_up(state, learner, now)), None
    )
    if learner is None:
        return None
    if len(current.voters) < target_count:
        return promote_learner(current, learner)
    if lost_voter is None:
        return None
    if has_replaced_disk(current, lost_voter):
        return demote_voter(current, lost_voter)
    return promote_learner(current, learner)


def is_voter_lost(state: ReplicaState, voter: Replica, now: float) -> bool:
    """Return whether a voter is considered lost."""
    progress = state.progress_by_id.get(voter.replica_id)
    if progress is None:
        return False
    if has_replaced_disk(state.sets.current, voter):
        return True
    return now >= progress.heard_at + state.settings.voter_lost_s


def has_replaced_disk(current: ReplicaSet, voter: Replica) -> bool:
    """Return whether a voter's host has returned with a new disk.

    A host's replicas stand in the order in which they joined, and its learner joined last: a
    voter with a later replica on its host is never kept as a learner (see `demote_voter`).
    """
    later_voters = current.voters[current.voters.index(voter) + 1 :]
    return any(replica.host_id == voter.host_id for replica in (*later_voters, *current.learners))


def is_caught_up(state: ReplicaState, learner: Replica, now: float) -> bool:
    """Return whether a learner responds and lags by at most the configured number of entries."""
    progress = state.progress_by_id.get(learner.replica_id)
    if progress is None or progress.transfer is not None:
        return False
    if now >= progress.heard_at + state.settings.election_min_s:
        return False
    return state.log.last_index - progress.match_index <= state.settings.learner_lag_entries


def promote_learner(current: ReplicaSet, learner: Replica) -> ReplicaSet:
    """Return the set with a learner promoted to voter."""
    learners = tuple(kept for kept in current.learners if kept != learner)
    return ReplicaSet((*current.voters, learner), learners)


def demote_voter(current: ReplicaSet, voter: Replica) -> ReplicaSet:
    """Return the set with a voter demoted to learner, or removed if its disk was replaced."""
    voters = tuple(kept for kept in current.voters if kept != voter)
    if has_replaced_disk(current, voter):
        return ReplicaSet(voters, current.learners)
    return ReplicaSet(voters, (*current.learners, voter))


def add_learner(state: ReplicaState, replica: Replica, now: float) -> None:
    """Add a replica as a learner, if this replica leads and no change is pending."""
    current = state.sets.current
    known_ids = {known.replica_id for known in (*current.voters, *current.learners)}
    if replica.replica_id in known_ids or not may_change_replica_set(state):
        return
    # A host has one disk, so its previous replica will not come back.
    learners = [learner for learner in current.learners if learner.host_id != replica.host_id]
    propose_replica_set(state, ReplicaSet(current.voters, (*learners, replica)), now)


def propose_replica_set(state: ReplicaState, replica_set: ReplicaSet, now: float) -> None:
    """Append a replica set; it takes effect immediately."""
    index = LogIndex(state.log.last_index + 1)
    state.append(Entry(index, state.term, EntryKind.REPLICA_SET, encode_replica_set(replica_set)))
    refresh_progress(state, now)
    _sending.broadcast(state, now)


def refresh_progress(state: ReplicaState, now: float) -> None:
    """Start replication to new replicas and stop it for removed ones."""
    next_index = LogIndex(state.log.last_index + 1)
    progress_by_id: dict[ReplicaId, Progress] = {}
    for peer in state.peers():
        existing = state.progress_by_id.get(peer.replica_id)
        initial = Progress(next_index, LogIndex(0), heard_at=now)
        progress_by_id[peer.replica_id] = existing or initial
    state.progress_by_id = progress_by_id


def _newest_follower(state: ReplicaState) -> Replica:
    """Return the most recently added voter other than this leader."""
    return next(
        voter
        for voter in reversed(state.sets.current.voters)
        if voter.replica_id != state.replica_id
    )
