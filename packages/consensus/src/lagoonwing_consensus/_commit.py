"""Acceptance of entries by a majority, and the reads that it allows."""

from __future__ import annotations

from lagoonwing_consensus import _lease, _roles, _sending
from lagoonwing_consensus._replica_sets import quorum_size
from lagoonwing_consensus._state import Progress, ReplicaState
from lagoonwing_consensus.models import ReplicaRole
from lagoonwing_core.ids import LogIndex, ReplicaId, Term


def record_reply(
    state: ReplicaState, peer_id: ReplicaId, term: Term, sent_at: float, now: float
) -> Progress | None:
    """Take note of a peer's answer.

    Returns:
        What is known of the peer, if this replica leads the answer's term.
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
    """Return when a voter's promise began at the earliest: as its request was sent."""
    return sent_at


def handle_persisted(state: ReplicaState, index: LogIndex, term: Term, now: float) -> None:
    """Take note that the own log is synced up to an entry."""
    if state.log.term_at(index) != term:
        return
    state.persisted_index = max(state.persisted_index, index)
    if state.role is ReplicaRole.LEADER:
        advance_leader_commit(state, now)


def advance_leader_commit(state: ReplicaState, now: float) -> None:
    """Accept the entries that a majority of the voters holds."""
    held = sorted(
        (_voter_match_index(state, voter) for voter in state.sets.voter_ids), reverse=True
    )
    if not held:
        return
    index = held[quorum_size(len(held)) - 1]
    if index <= state.commit or not may_commit(state, index):
        return
    state.advance_commit(index)
    for peer_id, progress in state.progress_by_id.items():
        _sending.send_commit_index(state, peer_id, progress, now)


def may_commit(state: ReplicaState, index: LogIndex) -> bool:
    """Return whether copies alone make an entry accepted: only in its own term."""
    return state.log.term_at(index) == state.term


def read_index(state: ReplicaState, now: float) -> LogIndex | None:
    """Return the entry that a current read must see, or nothing if it isn't known."""
    if not _roles.is_term_ready(state) or not _lease.is_lease_valid(state, now):
        return None
    return state.commit


def current_at(state: ReplicaState, now: float) -> float | None:
    """Return the latest time at which all accepted entries were known here, if there is one."""
    if state.role is not ReplicaRole.LEADER:
        return state.current_at
    return _lease.quorum_confirmed_at(state, now) if _roles.is_term_ready(state) else None


def _voter_match_index(state: ReplicaState, voter_id: ReplicaId) -> LogIndex:
    """Return the last entry that a voter holds for certain."""
    if voter_id == state.replica_id:
        return state.persisted_index
    progress = state.progress_by_id.get(voter_id)
    return LogIndex(0) if progress is None else progress.match_index
