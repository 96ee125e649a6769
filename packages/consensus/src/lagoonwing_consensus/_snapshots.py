"""Log compaction, and receiving and installing snapshots."""

from __future__ import annotations

import zlib

from lagoonwing_consensus import _commit, _roles, _sending, _transfers
from lagoonwing_consensus._state import IncomingSnapshot, ReplicaState
from lagoonwing_consensus.const import MAX_SNAPSHOT_BYTES
from lagoonwing_consensus.messages import SnapshotReply, SnapshotRequest
from lagoonwing_consensus.models import Snapshot
from lagoonwing_core.ids import LogIndex


def compact(state: ReplicaState, snapshot: Snapshot, keep_entries: int) -> None:
    """Drop the entries covered by a synced snapshot, except the most recent ones."""
    if snapshot.index <= state.snapshot.index:
        return
    state.snapshot = snapshot
    index = LogIndex(snapshot.index - keep_entries)
    state.log.compact(index)
    state.sets.compact(state.log.base_index)


def handle_snapshot_request(state: ReplicaState, request: SnapshotRequest, now: float) -> None:
    """Store a snapshot chunk; install the snapshot after the last one."""
    if not _roles.follow_leader(state, request.sender, request.term, now):
        _reply(state, request, next_offset=0, installed=False)
        return
    if is_already_committed(state, request.index):
        _reply(state, request, next_offset=request.size, installed=True)
        return
    incoming = _add_chunk(state, request)
    if len(incoming.state) < request.size:
        _reply(state, request, next_offset=len(incoming.state), installed=False)
        return
    encoded = bytes(incoming.state)
    state.incoming = None
    if zlib.crc32(encoded) != request.checksum:
        _reply(state, request, next_offset=0, installed=False)
        return
    install(state, Snapshot(request.index, request.snapshot_term, request.replica_set, encoded))
    _reply(state, request, next_offset=request.size, installed=True)


def is_already_committed(state: ReplicaState, index: LogIndex) -> bool:
    """Return whether this replica has committed every entry that a snapshot covers."""
    return index <= state.commit


def install(state: ReplicaState, snapshot: Snapshot) -> None:
    """Replace the beginning of the log with a snapshot."""
    state.output.snapshot = snapshot
    state.snapshot = snapshot
    if state.log.term_at(snapshot.index) == snapshot.term:
        state.log.compact(snapshot.index)
        state.sets.compact(snapshot.index)
    else:
        state.output.log_reset = True
        state.log.reset(snapshot.index, snapshot.term)
        state.sets.reset(snapshot.index, snapshot.replica_set)
        state.persisted_index = snapshot.index
    state.commit = max(state.commit, snapshot.index)
    state.applied = max(state.applied, snapshot.index)


def handle_snapshot_reply(state: ReplicaState, reply: SnapshotReply, now: float) -> None:
    """Send the next chunk, or continue with entries after the last one."""
    progress = _commit.record_reply(state, reply.sender, reply.term, reply.sent_at, now)
    if progress is None:
        return
    transfer = progress.transfer
    if transfer is None or transfer.snapshot.index != reply.index:
        return
    if not reply.installed:
        if reply.next_offset == transfer.offset:
            # Duplicate reply; the chunk has already been sent.
            return
        transfer.offset = reply.next_offset
        _transfers.send_chunk(state, reply.sender, progress, transfer, now)
        return
    progress.transfer = None
    progress.match_index = max(progress.match_index, reply.index)
    progress.next_index = LogIndex(progress.match_index + 1)
    progress.probing = False
    _commit.advance_leader_commit(state, now)
    _sending.send_entries(state, reply.sender, progress, now)


def _add_chunk(state: ReplicaState, request: SnapshotRequest) -> IncomingSnapshot:
    """Add a chunk to the incoming snapshot, if it is the next one."""
    incoming = state.incoming
    is_same = incoming is not None and (incoming.index, incoming.term) == (
        request.index,
        request.snapshot_term,
    )
    if incoming is None or not is_same or request.offset == 0:
        incoming = IncomingSnapshot(request.index, request.snapshot_term, bytearray())
        state.incoming = incoming
    fits = len(incoming.state) + len(request.chunk) <= min(request.size, MAX_SNAPSHOT_BYTES)
    if request.offset == len(incoming.state) and fits:
        incoming.state += request.chunk
    return incoming


def _reply(
    state: ReplicaState, request: SnapshotRequest, *, next_offset: int, installed: bool
) -> None:
    """Reply to a chunk after all previous output is synced."""
    state.output.messages.append(
        SnapshotReply(
            sender=state.replica_id,
            receiver=request.sender,
            term=state.term,
            index=request.index,
            next_offset=next_offset,
            installed=installed,
            sent_at=request.sent_at,
        )
    )
