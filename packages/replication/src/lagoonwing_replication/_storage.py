"""One replica's folder: identity, log segments and snapshot."""

from __future__ import annotations

import fcntl
import os
import secrets
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lagoonwing_consensus import (
    Entry,
    EntryKind,
    HardState,
    Output,
    ReplicaSet,
    RestoredState,
    Snapshot,
    encode_replica_set,
)
from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term
from lagoonwing_replication._files import read_file, replace_file, sync_folder
from lagoonwing_replication._records import DiskIdentity, LogChange, LogFrame, LogReset
from lagoonwing_replication._segments import Segments, is_unused
from lagoonwing_replication.const import DISK_VERSION, FRAME_BYTES
from lagoonwing_replication.errors import CorruptStorageError, StorageError

_IDENTITY_NAME = "identity.bin"
_LOCK_NAME = "lock"
_SNAPSHOT_PATTERN = "snapshot-*.bin"
_ID_BYTES = 8


@dataclass(frozen=True, slots=True)
class Recovered:
    """Data recovered from a folder.

    Attributes:
        torn_bytes: Bytes of an incomplete write that were truncated.
        is_new: Whether the folder was empty and got a new identity.
    """

    identity: DiskIdentity
    state: RestoredState
    torn_bytes: int
    is_new: bool


class Storage:
    """Durable state of one replica; methods may block, and only one thread may call at a time."""

    def __init__(self, folder: Path, host_id: HostId) -> None:
        self._folder = folder
        self._host_id = host_id
        self._lock: int | None = None
        self._segments: Segments | None = None
        self._identity: DiskIdentity | None = None
        self._hard_state = HardState()
        self._last_index = LogIndex(0)
        self._last_term = Term(0)

    def open(self) -> Recovered:
        """Lock the folder and read it; a new or wiped one gets a new identity.

        Raises:
            CorruptStorageError: Synced data is corrupt or missing.
            StorageError: The folder is in use, full or not writable.
        """
        self.close()
        self._folder.mkdir(parents=True, exist_ok=True)
        sync_folder(self._folder.parent)
        self._acquire_lock()
        path = self._folder / _IDENTITY_NAME
        is_new = not path.exists()
        if is_new:
            self._create(path)
        identity = msgspec.msgpack.decode(read_file(path), type=DiskIdentity)
        if identity.version != DISK_VERSION or identity.host_id != self._host_id:
            raise CorruptStorageError(f"the folder belongs to host {identity.host_id}")
        self._identity = identity
        segments = Segments(self._folder, identity.replica_id)
        self._segments = segments
        state = self._recover(segments)
        # A file that was created may not be durable yet if a sync of the folder failed.
        sync_folder(self._folder)
        return Recovered(identity, state, segments.torn_bytes, is_new)

    def close(self) -> None:
        """Close all files and unlock the folder."""
        if self._segments is not None:
            self._segments.close()
        self._segments = None
        if self._lock is not None:
            os.close(self._lock)
        self._lock = None

    def set_cluster_id(self, cluster_id: str) -> DiskIdentity:
        """Persist the ID of the log that the replica belongs to."""
        identity = self._opened_identity()
        identity = msgspec.structs.replace(identity, cluster_id=cluster_id)
        replace_file(self._folder / _IDENTITY_NAME, msgspec.msgpack.encode(identity))
        self._identity = identity
        return identity

    def bootstrap(self, replica_set: ReplicaSet) -> RestoredState:
        """Write the first entry of a new log and return the resulting state."""
        payload = encode_replica_set(replica_set)
        entry = Entry(LogIndex(1), Term(1), EntryKind.REPLICA_SET, payload)
        hard_state = HardState(Term(1))
        self.append([Output(hard_state=hard_state, entries=[entry])], LogIndex(0))
        return RestoredState(hard_state, Snapshot(), (entry,), LogIndex(0))

    def append(self, outputs: Sequence[Output], commit: LogIndex) -> None:
        """Write and sync the durable part of several outputs, in order.

        Args:
            outputs: Outputs of the core.
            commit: Last entry known to be committed.

        Raises:
            StorageError: The outputs must not be acknowledged; the folder must be reopened.
        """
        changes: list[LogChange] = []
        size = 0
        for output in outputs:
            if output.snapshot is not None:
                self._append_frame(changes, commit)
                changes, size = [], 0
                self._write_snapshot(output.snapshot)
            changes.append(self._log_change(output))
            size += sum(len(entry.payload) for entry in output.entries)
            if size >= FRAME_BYTES:
                self._append_frame(changes, commit)
                changes, size = [], 0
        self._append_frame(changes, commit)

    def probe(self) -> None:
        """Check that the disk is writable.

        Raises:
            StorageError: The disk is not writable.
        """
        self._append_frame([LogChange()], LogIndex(0))

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Write a locally created snapshot and remove the segments that it covers."""
        self._write_snapshot(snapshot)
        self._opened_segments().remove_covered(snapshot.index)

    def _recover(self, segments: Segments) -> RestoredState:
        """Read log and snapshot."""
        replay = segments.replay()
        snapshot = self._read_snapshot()
        state = replay.restored(snapshot)
        self._hard_state = state.hard_state
        self._last_index = snapshot.index
        self._last_term = snapshot.term
        if state.entries:
            self._last_index = state.entries[-1].index
            self._last_term = state.entries[-1].term
        log_end = (replay.last_index, replay.last_term)
        if segments.is_segment_full() or log_end != (self._last_index, self._last_term):
            segments.begin(self._last_index, self._last_term, self._hard_state)
        return state

    def _create(self, path: Path) -> None:
        """Initialize the folder; the identity is written last and marks it as complete."""
        if any(self._folder.glob(_SNAPSHOT_PATTERN)):
            raise CorruptStorageError(f"{path.name} is missing beside a snapshot")
        for segment in sorted(self._folder.glob("log-*.bin")):
            if not is_unused(segment):
                raise CorruptStorageError(f"{path.name} is missing beside a log")
            segment.unlink()
        replica_id = ReplicaId(f"{self._host_id}-{secrets.token_hex(_ID_BYTES)}")
        segments = Segments(self._folder, replica_id)
        segments.begin(LogIndex(0), Term(0), HardState())
        segments.close()
        identity = DiskIdentity(version=DISK_VERSION, replica_id=replica_id, host_id=self._host_id)
        replace_file(path, msgspec.msgpack.encode(identity))

    def _acquire_lock(self) -> None:
        """Lock the folder against use by other processes."""
        self._lock = os.open(self._folder / _LOCK_NAME, os.O_CREAT | os.O_RDWR, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise StorageError(f"{self._folder.name} is in use by another process") from error

    def _log_change(self, output: Output) -> LogChange:
        """Return the log change of an output."""
        reset = None
        if output.hard_state is not None:
            self._hard_state = output.hard_state
        if output.log_reset and output.snapshot is not None:
            reset = LogReset(output.snapshot.index, output.snapshot.term)
            self._last_index, self._last_term = reset.index, reset.term
        if output.entries:
            self._last_index = output.entries[-1].index
            self._last_term = output.entries[-1].term
        return LogChange(output.hard_state, reset, tuple(output.entries))

    def _append_frame(self, changes: Sequence[LogChange], commit: LogIndex) -> None:
        """Write changes as one frame, if there are any."""
        if not changes:
            return
        segments = self._opened_segments()
        segments.append(LogFrame(tuple(changes), min(commit, self._last_index)))
        if segments.is_segment_full():
            segments.begin(self._last_index, self._last_term, self._hard_state)

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        """Write a snapshot and remove older ones."""
        self._require_open()
        path = self._folder / f"snapshot-{snapshot.index:016d}.bin"
        replace_file(path, msgspec.msgpack.encode(snapshot))
        for older in self._folder.glob(_SNAPSHOT_PATTERN):
            if older.name < path.name:
                older.unlink()
        sync_folder(self._folder)

    def _read_snapshot(self) -> Snapshot:
        """Return the latest snapshot, an empty one if there is none."""
        paths = sorted(self._folder.glob(_SNAPSHOT_PATTERN))
        if not paths:
            return Snapshot()
        return msgspec.msgpack.decode(read_file(paths[-1]), type=Snapshot)

    def _require_open(self) -> None:
        """Refuse to write to a folder that another process may own by now."""
        if self._lock is None:
            raise StorageError("the folder is not open")

    def _opened_segments(self) -> Segments:
        """Return the open segments."""
        if self._segments is None:
            raise StorageError("the folder is not open")
        return self._segments

    def _opened_identity(self) -> DiskIdentity:
        """Return the identity of the open folder."""
        self._require_open()
        if self._identity is None:
            raise StorageError("the folder has no identity yet")
        return self._identity
