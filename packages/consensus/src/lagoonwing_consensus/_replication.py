"""Copying of entries from the leader to its peers."""

from __future__ import annotations

import math

from lagoonwing_consensus import _election, _lease, _snapshots
from lagoonwing_consensus._replica_sets import quorum_size
from lagoonwing_consensus._state import Progress, ReplicaState
from lagoonwing_consensus.errors import InvariantError
from lagoonwing_consensus.messages import AppendReply, AppendRequest
from lagoonwing_consensus.models import Entry, ReplicaRole
from lagoonwing_core.ids import LogIndex, ReplicaId, Term


def tick(state: ReplicaState, now: float) -> None:
    """Send heartbeats to the peers that have not been written to for a while."""
    if state.role is not ReplicaRole.LEADER:
        return
    for peer_id, progress in state.progress_by_id.items():
        if now < progress.sent_at + state.settings.heartbeat_s:
            continue
        if progress.transfer is not None:
            _snapshots.resend_part(state, peer_id, progress, now)
        send_heartbeat(state, peer_id, progress, now)


def broadcast(state: ReplicaState, now: float) -> None:
    """Send every peer the entries that it lacks, as far as its window allows."""
    for peer_id, progress in state.progress_by_id.items():
        send_entries(state, peer_id, progress, now)


def send_entries(state: ReplicaState, peer_id: ReplicaId, progress: Progress, now: float) -> None:
    """Send one peer the entries that it lacks, as far as its window allows."""
    if progress.transfer is not None:
        return
    if progress.next_index <= state.log.base_index:
        _snapshots.start_transfer(state, peer_id, progress, now)
        return
    settings = state.settings
    window = 1 if progress.probing else settings.max_inflight_messages
    while len(progress.inflight) < window and progress.next_index <= state.log.last_index:
        entries = state.log.batch_from(
            progress.next_index, settings.max_message_entries, settings.max_message_bytes
        )
        _send(state, peer_id, progress, progress.next_index, entries, now)
        progress.next_index = LogIndex(entries[-1].index + 1)
        progress.inflight.append(entries[-1].index)


def send_heartbeat(state: ReplicaState, peer_id: ReplicaId, progress: Progress, now: float) -> None:
    """Send a request without entries; it also finds out if earlier ones were lost."""
    first = progress.next_index
    if progress.transfer is not None or first <= state.log.base_index:
        first = LogIndex(1)
    _send(state, peer_id, progress, first, (), now)


def handle_append_request(state: ReplicaState, request: AppendRequest, now: float) -> None:
    """Take entries from the leader."""
    if not follow_leader(state, request.sender, request.term, now):
        _reply(state, request, now, success=False, index=LogIndex(0))
        return
    if not holds_previous(state, request):
        _reply(state, request, now, success=False, index=_resend_index(state, request))
        return
    for entry in request.entries:
        take_entry(state, entry)
    last_new = LogIndex(request.previous_index + len(request.entries))
    state.advance_commit(commit_of_follower(state, request.commit, last_new))
    _note_current(state, request, now)
    _reply(state, request, now, success=True, index=last_new)


def current_at(state: ReplicaState, now: float) -> float | None:
    """Return the latest time at which all accepted entries were known here, if there is one."""
    if state.role is not ReplicaRole.LEADER:
        return state.current_at
    return _lease.quorum_confirmed_at(state, now) if is_term_ready(state) else None


def _note_current(state: ReplicaState, request: AppendRequest, now: float) -> None:
    """Note that every entry accepted before the leader's last quorum is known here."""
    if state.commit < request.commit:
        return
    if math.isinf(request.quorum_age_s) or math.isinf(request.echo):
        return
    if request.echo > now:
        # The peer's clock has begun anew since, after a loss of power.
        return
    drift = state.settings.clock_drift_ratio
    seen_at = request.echo - request.quorum_age_s * (1.0 + drift) / (1.0 - drift)
    if state.current_at is None or seen_at > state.current_at:
        state.current_at = seen_at


def follow_leader(state: ReplicaState, leader_id: ReplicaId, term: Term, now: float) -> bool:
    """Follow the sender of a leader's message, unless its term is over.

    Returns:
        Whether the sender leads the current term.
    """
    if is_term_over(state, term):
        return False
    if term == state.term and state.role is ReplicaRole.LEADER:
        raise InvariantError(f"{leader_id} leads term {term} as well")
    _election.become_follower(state, term, leader_id, now)
    state.contact_at = now
    state.is_needed_to_win = False
    _election.reset_election_deadline(state, now)
    return True


def is_term_over(state: ReplicaState, term: Term) -> bool:
    """Return whether a later term is known."""
    return term < state.term


def holds_previous(state: ReplicaState, request: AppendRequest) -> bool:
    """Return whether this log equals the leader's up to the request's first entry."""
    if request.previous_index < state.log.base_index:
        # What a snapshot covers is accepted, and so equal in every log.
        return True
    return state.log.term_at(request.previous_index) == request.previous_term


def take_entry(state: ReplicaState, entry: Entry) -> None:
    """Put one entry in its place, removing whatever contradicts it."""
    if entry.index <= state.log.base_index:
        return
    if state.log.term_at(entry.index) == entry.term:
        return
    if entry.index <= state.log.last_index:
        if entry.index <= state.commit:
            raise InvariantError(f"accepted entry {entry.index} would be replaced")
        state.truncate_from(entry.index)
    state.append(entry)


def commit_of_follower(
    state: ReplicaState, leader_commit: LogIndex, last_new: LogIndex
) -> LogIndex:
    """Return how far this log is known to equal the leader's accepted entries."""
    return min(leader_commit, last_new)


def handle_append_reply(state: ReplicaState, reply: AppendReply, now: float) -> None:
    """Take note of what a peer holds."""
    progress = confirm(state, reply.sender, reply.term, reply.sent_at, now)
    if progress is None:
        return
    progress.echo = reply.replied_at
    if not reply.success:
        _step_back(state, reply, progress, now)
        return
    while progress.inflight and progress.inflight[0] <= reply.index:
        progress.inflight.popleft()
    if reply.index >= progress.match_index:
        progress.probing = False
    if reply.index > progress.match_index:
        progress.match_index = reply.index
        progress.next_index = max(progress.next_index, LogIndex(reply.index + 1))
        advance_leader_commit(state, now)
    send_entries(state, reply.sender, progress, now)
    _tell_commit(state, reply.sender, progress, now)


def confirm(
    state: ReplicaState, peer_id: ReplicaId, term: Term, sent_at: float, now: float
) -> Progress | None:
    """Take note of a peer's answer.

    Returns:
        What is known of the peer, if this replica leads the answer's term.
    """
    if term > state.term:
        _election.become_follower(state, term, None, now)
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
    held = sorted((_held_index(state, voter) for voter in state.sets.voter_ids), reverse=True)
    if not held:
        return
    index = held[quorum_size(len(held)) - 1]
    if index <= state.commit or not may_commit(state, index):
        return
    state.advance_commit(index)
    for peer_id, progress in state.progress_by_id.items():
        _tell_commit(state, peer_id, progress, now)


def may_commit(state: ReplicaState, index: LogIndex) -> bool:
    """Return whether copies alone make an entry accepted: only in its own term."""
    return state.log.term_at(index) == state.term


def is_term_ready(state: ReplicaState) -> bool:
    """Return whether this leader has accepted an entry of its own term."""
    return state.role is ReplicaRole.LEADER and state.commit >= state.term_start_index


def read_index(state: ReplicaState, now: float) -> LogIndex | None:
    """Return the entry that a current read must see, or nothing if it isn't known."""
    if not is_term_ready(state) or not _lease.is_lease_valid(state, now):
        return None
    return state.commit


def _held_index(state: ReplicaState, voter_id: ReplicaId) -> LogIndex:
    """Return the last entry that a voter holds for certain."""
    if voter_id == state.replica_id:
        return state.persisted_index
    progress = state.progress_by_id.get(voter_id)
    return LogIndex(0) if progress is None else progress.match_index


def _send(
    state: ReplicaState,
    peer_id: ReplicaId,
    progress: Progress,
    first: LogIndex,
    entries: tuple[Entry, ...],
    now: float,
) -> None:
    """Send one request whose entries begin at `first`."""
    previous = LogIndex(first - 1)
    progress.sent_at = now
    progress.told_commit = state.commit
    confirmed_at = _lease.quorum_confirmed_at(state, now) if is_term_ready(state) else None
    state.output.early_messages.append(
        AppendRequest(
            sender=state.replica_id,
            receiver=peer_id,
            term=state.term,
            previous_index=previous,
            previous_term=state.log.term_at(previous) or Term(0),
            commit=state.commit,
            sent_at=now,
            entries=entries,
            quorum_age_s=math.inf if confirmed_at is None else now - confirmed_at,
            echo=progress.echo,
        )
    )


def _tell_commit(state: ReplicaState, peer_id: ReplicaId, progress: Progress, now: float) -> None:
    """Tell a peer that holds every entry that more of them are accepted."""
    if progress.told_commit >= state.commit or progress.inflight:
        return
    if progress.match_index == state.log.last_index:
        send_heartbeat(state, peer_id, progress, now)


def _step_back(state: ReplicaState, reply: AppendReply, progress: Progress, now: float) -> None:
    """Send again from where the peer's log may part from this one."""
    if progress.transfer is not None or reply.rejected_index <= progress.match_index:
        return
    wanted = min(reply.index, reply.rejected_index)
    progress.next_index = max(LogIndex(progress.match_index + 1), wanted)
    progress.probing = True
    progress.inflight.clear()
    send_entries(state, reply.sender, progress, now)


def _resend_index(state: ReplicaState, request: AppendRequest) -> LogIndex:
    """Return the first entry that the leader should send again."""
    if request.previous_index > state.log.last_index:
        return LogIndex(state.log.last_index + 1)
    return state.log.first_index_of_term(request.previous_index)


def _reply(
    state: ReplicaState, request: AppendRequest, now: float, *, success: bool, index: LogIndex
) -> None:
    """Answer an append request once everything so far is synced."""
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
