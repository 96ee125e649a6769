"""Transition to follower, and checks of the current term."""

from __future__ import annotations

from lagoonwing_consensus._state import ReplicaState
from lagoonwing_consensus.errors import InvariantError
from lagoonwing_consensus.models import ReplicaRole
from lagoonwing_core.ids import ReplicaId, Term


def become_follower(
    state: ReplicaState, term: Term, leader_id: ReplicaId | None, now: float
) -> None:
    """Become a follower, with or without a known leader, in the current or a later term."""
    if term > state.term:
        state.term = term
        state.vote = None
        state.persist_hard_state()
    if state.role is not ReplicaRole.FOLLOWER:
        state.role = ReplicaRole.FOLLOWER
        state.progress_by_id.clear()
        reset_election_deadline(state, now)
    state.leader_id = leader_id


def reset_election_deadline(state: ReplicaState, now: float) -> None:
    """Restart the randomized election timeout."""
    settings = state.settings
    state.election_deadline = now + state.random.uniform(
        settings.election_min_s, settings.election_max_s
    )


def follow_leader(state: ReplicaState, leader_id: ReplicaId, term: Term, now: float) -> bool:
    """Follow the sender of a leader's message, unless its term is outdated.

    Returns:
        Whether the sender is the leader of the current term.
    """
    if is_term_over(state, term):
        return False
    if term == state.term and state.role is ReplicaRole.LEADER:
        raise InvariantError(f"two leaders in term {term}: this replica and {leader_id}")
    become_follower(state, term, leader_id, now)
    state.record_last_leader(leader_id)
    state.leader_heard_at = now
    state.may_campaign_as_non_voter = False
    reset_election_deadline(state, now)
    return True


def is_term_over(state: ReplicaState, term: Term) -> bool:
    """Return whether a later term is already known."""
    return term < state.term


def is_term_ready(state: ReplicaState) -> bool:
    """Return whether this leader has committed an entry of its own term."""
    return state.role is ReplicaRole.LEADER and state.commit >= state.term_start_index
