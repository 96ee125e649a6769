"""Handling of append requests on followers and of their replies on the leader."""

from __future__ import annotations

import math

from lagoonwing_consensus import _commit, _roles, _sending
from lagoonwing_consensus._state import Progress, ReplicaState
from lagoonwing_consensus.errors import InvariantError
from lagoonwing_consensus.messages import AppendReply, AppendRequest
from lagoonwing_consensus.models import Entry
from lagoonwing_core.ids import LogIndex


def handle_append_request(state: ReplicaState, request: AppendRequest, now: float) -> None:
    """Store entries received from the leader."""
    if not _roles.follow_leader(state, request.sender, request.term, now):
        _reply(state, request, now, success=False, index=LogIndex(0))
        return
    if not has_previous_entry(state, request):
        _reply(state, request, now, success=False, index=_resend_index(state, request))
        return
    for entry in request.entries:
        store_entry(state, entry)
    last_new = LogIndex(request.previous_index + len(request.entries))
    state.advance_commit(follower_commit(state, request.commit, last_new))
    _update_current_at(state, request, now)
    _reply(state, request, now, success=True, index=last_new)


def has_previous_entry(state: ReplicaState, request: AppendRequest) -> bool:
    """Return whether this log matches the leader's up to the request's first entry."""
    if request.previous_index < state.log.base_index:
        # Entries covered by a snapshot are committed, and so identical in every log.
        return True
    return state.log.term_at(request.previous_index) == request.previous_term


def store_entry(state: ReplicaState, entry: Entry) -> None:
    """Store an entry, removing conflicting entries."""
    if entry.index <= state.log.base_index:
        return
    if state.log.term_at(entry.index) == entry.term:
        return
    if entry.index <= state.log.last_index:
        if entry.index <= state.commit:
            raise InvariantError(f"committed entry {entry.index} would be overwritten")
        state.truncate_from(entry.index)
    state.append(entry)


def follower_commit(state: ReplicaState, leader_commit: LogIndex, last_new: LogIndex) -> LogIndex:
    """Return the last entry known to be committed and to match the leader's log."""
    return min(leader_commit, last_new)


def handle_append_reply(state: ReplicaState, reply: AppendReply, now: float) -> None:
    """Update a peer's progress from its reply."""
    progress = _commit.record_reply(state, reply.sender, reply.term, reply.sent_at, now)
    if progress is None:
        return
    progress.echo = reply.replied_at
    if not reply.success:
        _handle_rejection(state, reply, progress, now)
        return
    while progress.inflight and progress.inflight[0] <= reply.index:
        progress.inflight.popleft()
    if reply.index >= progress.match_index:
        progress.probing = False
    if reply.index > progress.match_index:
        progress.match_index = reply.index
        progress.next_index = max(progress.next_index, LogIndex(reply.index + 1))
        _commit.advance_leader_commit(state, now)
    _sending.send_entries(state, reply.sender, progress, now)
    _sending.send_commit_index(state, reply.sender, progress, now)


def _update_current_at(state: ReplicaState, request: AppendRequest, now: float) -> None:
    """Record that this replica has every entry committed before the leader's last quorum."""
    if not has_committed_entries(state, request):
        return
    if math.isinf(request.quorum_age_s) or math.isinf(request.echo):
        return
    if request.echo > now:
        # This replica's clock restarted after a power loss, so the echoed time is obsolete.
        return
    seen_at = leader_quorum_at(state, request)
    if state.current_at is None or seen_at > state.current_at:
        state.current_at = seen_at


def leader_quorum_at(state: ReplicaState, request: AppendRequest) -> float:
    """Return the earliest local time at which the leader's last quorum was confirmed."""
    drift = state.settings.clock_drift_ratio
    return request.echo - request.quorum_age_s * (1.0 + drift) / (1.0 - drift)


def has_committed_entries(state: ReplicaState, request: AppendRequest) -> bool:
    """Return whether every entry committed on the leader is committed here."""
    return state.commit >= request.commit


def _handle_rejection(
    state: ReplicaState, reply: AppendReply, progress: Progress, now: float
) -> None:
    """Resend from where the peer's log may diverge from this one."""
    if progress.transfer is not None or reply.rejected_index <= progress.match_index:
        return
    resend_index = min(reply.index, reply.rejected_index)
    progress.next_index = max(LogIndex(progress.match_index + 1), resend_index)
    progress.probing = True
    progress.inflight.clear()
    _sending.send_entries(state, reply.sender, progress, now)


def _resend_index(state: ReplicaState, request: AppendRequest) -> LogIndex:
    """Return the first entry that the leader should resend."""
    if request.previous_index > state.log.last_index:
        return LogIndex(state.log.last_index + 1)
    return state.log.first_index_of_term(request.previous_index)


def _reply(
    state: ReplicaState, request: AppendRequest, now: float, *, success: bool, index: LogIndex
) -> None:
    """Reply to an append request after all previous output is synced."""
    state.output.messages.append(
        AppendReply(
            sender=state.replica_id,
            receiver=request.sender,
            term=state.term,
            success=success,
            index=index,
            rejected_index=request.previous_index,
            sent_at=request.sent_at,
            replied_at=now,
        )
    )
