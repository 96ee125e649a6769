"""Leader lease: the time during which a quorum withholds its votes."""

from __future__ import annotations

from lagoonwing_consensus._replica_sets import quorum_size
from lagoonwing_consensus._state import ReplicaState
from lagoonwing_consensus.models import ReplicaRole
from lagoonwing_core.ids import ReplicaId


def quorum_confirmed_at(state: ReplicaState, now: float) -> float | None:
    """Return the latest time at which a quorum confirmed this leader, if any."""
    times = [_confirmed_at(state, voter_id, now) for voter_id in state.sets.voter_ids]
    known = sorted((time for time in times if time is not None), reverse=True)
    needed = quorum_size(len(times))
    return known[needed - 1] if len(known) >= needed else None


def is_lease_valid(state: ReplicaState, now: float) -> bool:
    """Return whether this replica may act as leader now."""
    if state.role is not ReplicaRole.LEADER:
        return False
    confirmed_at = quorum_confirmed_at(state, now)
    return confirmed_at is not None and now < confirmed_at + state.settings.lease_s


def is_vote_blocked_by_lease(state: ReplicaState, now: float) -> bool:
    """Return whether this replica must withhold its vote because a leader's lease may be valid."""
    if state.role is ReplicaRole.LEADER:
        return True
    return now < state.leader_heard_at + state.settings.election_min_s


def _confirmed_at(state: ReplicaState, voter_id: ReplicaId, now: float) -> float | None:
    """Return the latest time at which one voter confirmed this leader, if any."""
    if voter_id == state.replica_id:
        return now
    progress = state.progress_by_id.get(voter_id)
    return None if progress is None else progress.confirmed_at
