"""Steps to the role of a follower, and what a term allows."""

from __future__ import annotations

from lagoonwing_consensus._state import ReplicaState
from lagoonwing_consensus.errors import InvariantError
from lagoonwing_consensus.models import ReplicaRole
from lagoonwing_core.ids import ReplicaId, Term


def become_follower(
    state: ReplicaState, term: Term, leader_id: ReplicaId | None, now: float
) -> None:
    """Follow a leader, known or not, in a term that is not lower than the own one."""
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
    """Wait a random while for a leader before starting an election."""
    settings = state.settings
    state.election_deadline = now + state.random.uniform(
        settings.election_min_s, settings.election_max_s
    )


def follow_leader(state: ReplicaState, leader_id: ReplicaId, term: Term, now: float) -> bool:
    """Follow the sender of a leader's message, unless its term is over.

    Returns:
        Whether the sender leads the current term.
    """
    if is_term_over(state, term):
        return False
    if term == state.term and state.role is ReplicaRole.LEADER:
        raise InvariantError(f"{leader_id} leads term {term} as well")
    become_follower(state, term, leader_id, now)
    state.record_last_leader(leader_id)
    state.leader_heard_at = now
    state.may_campaign_as_non_voter = False
    reset_election_deadline(state, now)
    return True


def is_term_over(state: ReplicaState, term: Term) -> bool:
    """Return whether a later term is known."""
    return term < state.term


def is_term_ready(state: ReplicaState) -> bool:
    """Return whether this leader has accepted an entry of its own term."""
    return state.role is ReplicaRole.LEADER and state.commit >= state.term_start_index
