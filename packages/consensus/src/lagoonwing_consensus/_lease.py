"""Time for which a leader may act: a quorum has promised not to vote."""

from __future__ import annotations

from lagoonwing_consensus._replica_sets import quorum_size
from lagoonwing_consensus._state import ReplicaState
from lagoonwing_consensus.models import ReplicaRole
from lagoonwing_core.ids import ReplicaId


def quorum_confirmed_at(state: ReplicaState, now: float) -> float | None:
    """Return the latest time since which a quorum is known to have followed this leader."""
    times = [_confirmed_at(state, voter_id, now) for voter_id in state.sets.voter_ids]
    known = sorted((time for time in times if time is not None), reverse=True)
    needed = quorum_size(len(times))
    return known[needed - 1] if len(known) >= needed else None


def is_lease_valid(state: ReplicaState, now: float) -> bool:
    """Return whether this replica may act as leader at this moment."""
    if state.role is not ReplicaRole.LEADER:
        return False
    confirmed_at = quorum_confirmed_at(state, now)
    return confirmed_at is not None and now < confirmed_at + state.settings.lease_s


def is_vote_blocked_by_lease(state: ReplicaState, now: float) -> bool:
    """Return whether this replica must not vote, for a leader may rely on it."""
    if state.role is ReplicaRole.LEADER:
        return True
    return now < state.leader_heard_at + state.settings.election_min_s


def _confirmed_at(state: ReplicaState, voter_id: ReplicaId, now: float) -> float | None:
    """Return since when one voter is known to have followed this leader."""
    if voter_id == state.replica_id:
        return now
    progress = state.progress_by_id.get(voter_id)
    return None if progress is None else progress.confirmed_at
