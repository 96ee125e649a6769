"""Sending snapshots to peers, one chunk at a time."""

from __future__ import annotations

import zlib

from lagoonwing_consensus._state import Progress, ReplicaState, SnapshotTransfer
from lagoonwing_consensus.messages import SnapshotRequest
from lagoonwing_core.ids import ReplicaId


def start_transfer(state: ReplicaState, peer_id: ReplicaId, progress: Progress, now: float) -> None:
    """Start sending the latest snapshot to a peer."""
    snapshot = state.snapshot
    progress.transfer = SnapshotTransfer(snapshot, zlib.crc32(snapshot.state))
    progress.inflight.clear()
    send_chunk(state, peer_id, progress, progress.transfer, now)


def resend_chunk(state: ReplicaState, peer_id: ReplicaId, progress: Progress, now: float) -> None:
    """Resend the current chunk after the retry interval."""
    transfer = progress.transfer
    if transfer is None or now < transfer.sent_at + state.settings.snapshot_retry_s:
        return
    send_chunk(state, peer_id, progress, transfer, now)


def send_chunk(
    state: ReplicaState,
    peer_id: ReplicaId,
    progress: Progress,
    transfer: SnapshotTransfer,
    now: float,
) -> None:
    """Send the chunk at the transfer's offset."""
    snapshot = transfer.snapshot
    end = transfer.offset + state.settings.snapshot_chunk_bytes
    transfer.sent_at = now
    progress.sent_at = now
    state.output.immediate_messages.append(
        SnapshotRequest(
            sender=state.replica_id,
            receiver=peer_id,
            term=state.term,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            replica_set=snapshot.replica_set,
            size=len(snapshot.state),
            checksum=transfer.checksum,
            offset=transfer.offset,
            chunk=snapshot.state[transfer.offset : end],
            sent_at=now,
        )
    )
