"""Append requests and heartbeats from the leader to its peers."""

from __future__ import annotations

import math

from lagoonwing_consensus import _lease, _roles, _transfers
from lagoonwing_consensus._state import Progress, ReplicaState
from lagoonwing_consensus.messages import AppendRequest
from lagoonwing_consensus.models import Entry, ReplicaRole
from lagoonwing_core.ids import LogIndex, ReplicaId, Term


def tick(state: ReplicaState, now: float) -> None:
    """Send heartbeats to peers that are due for one."""
    if state.role is not ReplicaRole.LEADER:
        return
    for peer_id, progress in state.progress_by_id.items():
        if now < progress.sent_at + state.settings.heartbeat_s:
            continue
        if progress.transfer is not None:
            _transfers.resend_chunk(state, peer_id, progress, now)
        send_heartbeat(state, peer_id, progress, now)


def broadcast(state: ReplicaState, now: float) -> None:
    """Send every peer its missing entries, up to its in-flight window."""
    for peer_id, progress in state.progress_by_id.items():
        send_entries(state, peer_id, progress, now)


def send_entries(state: ReplicaState, peer_id: ReplicaId, progress: Progress, now: float) -> None:
    """Send a peer its missing entries, up to its in-flight window."""
    if progress.transfer is not None:
        return
    if progress.next_index <= state.log.base_index:
        _transfers.start_transfer(state, peer_id, progress, now)
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
    """Send a request without entries; it also detects lost requests."""
    first = progress.next_index
    if progress.transfer is not None or first <= state.log.base_index:
        first = LogIndex(1)
    _send(state, peer_id, progress, first, (), now)


def send_commit_index(
    state: ReplicaState, peer_id: ReplicaId, progress: Progress, now: float
) -> None:
    """Send the new commit index to a peer that has every entry."""
    if progress.sent_commit >= state.commit or progress.inflight:
        return
    if progress.match_index == state.log.last_index:
        send_heartbeat(state, peer_id, progress, now)


def _send(
    state: ReplicaState,
    peer_id: ReplicaId,
    progress: Progress,
    first: LogIndex,
    entries: tuple[Entry, ...],
    now: float,
) -> None:
    """Send a request whose entries start at `first`."""
    previous = LogIndex(first - 1)
    progress.sent_at = now
    progress.sent_commit = state.commit
    confirmed_at = _lease.quorum_confirmed_at(state, now) if _roles.is_term_ready(state) else None
    state.output.immediate_messages.append(
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
