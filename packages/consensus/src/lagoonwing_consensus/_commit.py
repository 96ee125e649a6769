"""Commitment of entries by a majority, and linearizable reads."""

from __future__ import annotations

from lagoonwing_consensus import _lease, _roles, _sending
from lagoonwing_consensus._replica_sets import quorum_size
from lagoonwing_consensus._state import Progress, ReplicaState
from lagoonwing_consensus.models import ReplicaRole
from lagoonwing_core.ids import LogIndex, ReplicaId, Term


def record_reply(
    state: ReplicaState, peer_id: ReplicaId, term: Term, sent_at: float, now: float
) -> Progress | None:
    """Record a reply from a peer.

    Returns:
        The peer's progress, if this replica leads the term of the reply.
    """
    if term > state.term:
        _roles.become_follower(state, term, None, now)
        return None
    if state.role is not ReplicaRole.LEADER or term < state.term:
        return None
    progress = state.progress_by_id.get(peer_id)
    if progress is None:
        return None
    progress.heard_at = now
    confirmed_at = lease_start(sent_at, now)
    if progress.confirmed_at is None or confirmed_at > progress.confirmed_at:
        progress.confirmed_at = confirmed_at
    return progress


def lease_start(sent_at: float, now: float) -> float:
    """Return the start of the lease granted by a reply: the sending time of its request."""
    return sent_at


def handle_persisted(state: ReplicaState, index: LogIndex, term: Term, now: float) -> None:
    """Record that the local log is synced up to an entry."""
    if state.log.term_at(index) != term:
        return
    state.persisted_index = max(state.persisted_index, index)
    if state.role is ReplicaRole.LEADER:
        advance_leader_commit(state, now)


def advance_leader_commit(state: ReplicaState, now: float) -> None:
    """Commit the entries that a majority of the voters has stored."""
    match_indexes = sorted(
        (_voter_match_index(state, voter) for voter in state.sets.voter_ids), reverse=True
    )
    if not match_indexes:
        return
    index = match_indexes[quorum_size(len(match_indexes)) - 1]
    if index <= state.commit or not may_commit(state, index):
        return
    state.advance_commit(index)
    for peer_id, progress in state.progress_by_id.items():
        _sending.send_commit_index(state, peer_id, progress, now)


def may_commit(state: ReplicaState, index: LogIndex) -> bool:
    """Return whether copies may commit an entry: only those of the current term."""
    return state.log.term_at(index) == state.term


def read_index(state: ReplicaState, now: float) -> LogIndex | None:
    """Return the index that a linearizable read must wait for, or `None` if unknown."""
    if not _roles.is_term_ready(state) or not _lease.is_lease_valid(state, now):
        return None
    return state.commit


def current_at(state: ReplicaState, now: float) -> float | None:
    """Return the latest time at which this replica had all committed entries, if known."""
    if state.role is not ReplicaRole.LEADER:
        return state.current_at
    return _lease.quorum_confirmed_at(state, now) if _roles.is_term_ready(state) else None


def _voter_match_index(state: ReplicaState, voter_id: ReplicaId) -> LogIndex:
    """Return the last entry known to be stored on a voter."""
    if voter_id == state.replica_id:
        return state.persisted_index
    progress = state.progress_by_id.get(voter_id)
    return LogIndex(0) if progress is None else progress.match_index
