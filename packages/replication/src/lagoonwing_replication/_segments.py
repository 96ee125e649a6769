"""Segmented, append-only log files."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lagoonwing_consensus import HardState
from lagoonwing_core.ids import LogIndex, ReplicaId, Term
from lagoonwing_replication._files import (
    Frame,
    decode_frame,
    encode_frame,
    has_later_frame,
    storage_error,
    sync_file,
    sync_folder,
    write_all,
)
from lagoonwing_replication._records import LogFrame, Record, SegmentHeader
from lagoonwing_replication._replay import Replay
from lagoonwing_replication.const import DISK_VERSION, SEGMENT_BYTES
from lagoonwing_replication.errors import CorruptStorageError, StorageError

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
_PATTERN = "log-*.bin"


@dataclass(slots=True)
class Segment:
    """One file of the log.

    Attributes:
        highest_index: Highest index of its entries, 0 if it has none.
    """

    path: Path
    highest_index: int = 0


def is_unused(path: Path) -> bool:
    """Return whether a segment contains nothing besides its header."""
    content = path.read_bytes()
    frame = decode_frame(content, 0)
    return frame is None or frame.end == len(content)


class Segments:
    """Log files in one folder; all methods may block."""

    def __init__(self, folder: Path, replica_id: ReplicaId) -> None:
        self._folder = folder
        self._replica_id = replica_id
        self._segments: list[Segment] = []
        self._descriptor: int | None = None
        self._size = 0
        self._next_sequence = 1
        self.torn_bytes = 0

    def replay(self) -> Replay:
        """Read every segment; truncate an incomplete frame at the end of the last one.

        Raises:
            CorruptStorageError: Synced data is corrupt or missing.
        """
        replay = Replay()
        paths = sorted(self._folder.glob(_PATTERN))
        for path in paths:
            self._replay_segment(path, replay, is_last=path == paths[-1])
        if not self._segments:
            raise CorruptStorageError("no log segment found")
        self._open_last()
        return replay

    def begin(self, base_index: LogIndex, base_term: Term, hard_state: HardState) -> None:
        """Start a new segment after an entry."""
        self.close()
        path = self._folder / f"log-{self._next_sequence:016d}.bin"
        header = SegmentHeader(DISK_VERSION, self._replica_id, base_index, base_term, hard_state)
        try:
            self._descriptor = os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600)
        except OSError as error:
            raise storage_error("open", error) from error
        self._size = 0
        self._segments.append(Segment(path))
        self._write(_ENCODER.encode(header))
        sync_folder(self._folder)

    def append(self, frame: LogFrame) -> None:
        """Write and sync one frame."""
        self._write(_ENCODER.encode(frame))
        highest = max(
            (entry.index for change in frame.changes for entry in change.entries), default=0
        )
        segment = self._segments[-1]
        segment.highest_index = max(segment.highest_index, highest)

    def is_segment_full(self) -> bool:
        """Return whether the next frame needs a new segment."""
        return self._descriptor is None or self._size >= SEGMENT_BYTES

    def remove_covered(self, index: LogIndex) -> None:
        """Remove the oldest segments that a snapshot covers."""
        while len(self._segments) > 1 and self._segments[0].highest_index <= index:
            self._segments.pop(0).path.unlink()
        sync_folder(self._folder)

    def close(self) -> None:
        """Close the open segment."""
        if self._descriptor is not None:
            os.close(self._descriptor)
        self._descriptor = None

    def _write(self, payload: bytes) -> None:
        """Append one frame to the open segment and sync it."""
        if self._descriptor is None:
            raise StorageError("no segment is open")
        content = encode_frame(self._next_sequence, payload)
        try:
            write_all(self._descriptor, content)
        except StorageError:
            # A frame after a partial one would look like corruption.
            self.close()
            raise
        try:
            sync_file(self._descriptor)
        except StorageError as error:
            # The frame could be read again, though it may not be durable.
            is_removed = self._remove_unsynced(self._descriptor)
            self.close()
            raise StorageError(str(error), is_full=error.is_full and is_removed) from error
        self._next_sequence += 1
        self._size += len(content)

    def _remove_unsynced(self, descriptor: int) -> bool:
        """Remove what was written since the last sync; return whether that succeeded."""
        try:
            os.ftruncate(descriptor, self._size)
        except OSError:
            return False
        return True

    def _replay_segment(self, path: Path, replay: Replay, *, is_last: bool) -> None:
        """Read one segment."""
        content = path.read_bytes()
        segment = Segment(path)
        position = 0
        while position < len(content):
            frame = decode_frame(content, position)
            if frame is None:
                self._truncate_torn_frame(path, content, position, is_last=is_last)
                break
            self._apply_frame(frame, segment, replay, is_first=position == 0)
            position = frame.end
        if position > 0:
            self._segments.append(segment)
        elif is_last:
            # Its first frame was never synced, so the segment holds no data.
            path.unlink()
            sync_folder(self._folder)
        else:
            raise CorruptStorageError(f"{path.name} is empty")

    def _apply_frame(
        self, frame: Frame, segment: Segment, replay: Replay, *, is_first: bool
    ) -> None:
        """Check and apply a frame of a segment."""
        if self._next_sequence not in (1, frame.sequence):
            raise CorruptStorageError(f"{segment.path.name}: frames are missing")
        self._next_sequence = frame.sequence + 1
        try:
            record = _DECODER.decode(frame.payload)
        except msgspec.MsgspecError as error:
            raise CorruptStorageError(f"{segment.path.name}: {error}") from error
        match record:
            case SegmentHeader(version=version, replica_id=replica_id):
                if version != DISK_VERSION or replica_id != self._replica_id or not is_first:
                    raise CorruptStorageError(
                        f"{segment.path.name} is not a segment of this replica"
                    )
                replay.start_segment(record)
            case LogFrame():
                segment.highest_index = max(segment.highest_index, replay.apply_frame(record))

    def _truncate_torn_frame(
        self, path: Path, content: bytes, position: int, *, is_last: bool
    ) -> None:
        """Remove an incomplete frame, unless a later frame proves that it was synced."""
        if not is_last or has_later_frame(content, position, self._next_sequence):
            raise CorruptStorageError(f"{path.name} is corrupt at byte {position}")
        self.torn_bytes += len(content) - position
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, position)
            sync_file(descriptor)
        finally:
            os.close(descriptor)

    def _open_last(self) -> None:
        """Open the last segment for appending."""
        path = self._segments[-1].path
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        self._size = path.stat().st_size
