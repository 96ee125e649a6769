"""Checksummed frames in files, and durable writes."""

from __future__ import annotations

import errno
import os
import struct
from dataclasses import dataclass
from pathlib import Path

from crc32c import crc32c

from lagoonwing_replication.const import MAX_FRAME_BYTES
from lagoonwing_replication.errors import CorruptStorageError, StorageError

MAGIC = b"\xf4LW1"
_HEADER = struct.Struct(">4sIIQ")
_SEQUENCE = struct.Struct(">Q")
_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})


@dataclass(frozen=True, slots=True)
class Frame:
    """One checksummed record of a file.

    Attributes:
        sequence: Frame number, increasing by one per frame of a log.
        end: Offset after the frame.
    """

    sequence: int
    payload: bytes
    end: int


def is_full_error(error: OSError) -> bool:
    """Return whether the disk or quota is full, so that a retry may succeed."""
    return error.errno in _FULL_ERRNOS


def storage_error(action: str, error: OSError) -> StorageError:
    """Return the error of a failed action on the disk."""
    return StorageError(f"{action} failed: {error}", is_full=is_full_error(error))


def encode_frame(sequence: int, payload: bytes) -> bytes:
    """Return the bytes of a frame."""
    checksum = crc32c(payload, crc32c(_SEQUENCE.pack(sequence)))
    return _HEADER.pack(MAGIC, len(payload), checksum, sequence) + payload


def decode_frame(content: bytes, start: int) -> Frame | None:
    """Return the frame at an offset, or `None` if it is incomplete or invalid."""
    if start + _HEADER.size > len(content):
        return None
    magic, length, checksum, sequence = _HEADER.unpack_from(content, start)
    end = start + _HEADER.size + length
    if magic != MAGIC or length > MAX_FRAME_BYTES or end > len(content):
        return None
    payload = content[start + _HEADER.size : end]
    if crc32c(payload, crc32c(_SEQUENCE.pack(sequence))) != checksum:
        return None
    return Frame(sequence, payload, end)


def has_later_frame(content: bytes, start: int, sequence: int) -> bool:
    """Return whether a valid frame with a number above `sequence` starts after an offset."""
    position = content.find(MAGIC, start + 1)
    while position >= 0:
        frame = decode_frame(content, position)
        if frame is not None and frame.sequence > sequence:
            return True
        position = content.find(MAGIC, position + 1)
    return False


def write_all(descriptor: int, content: bytes) -> None:
    """Write every byte.

    Raises:
        StorageError: The disk is full or broken; some of the content may have been written.
    """
    view = memoryview(content)
    try:
        while view:
            view = view[os.write(descriptor, view) :]
    except OSError as error:
        raise storage_error("write", error) from error


def sync_file(descriptor: int) -> None:
    """Sync the content of a file to disk.

    Raises:
        StorageError: Data written since the last sync may be lost, even if it can be read.
    """
    try:
        os.fdatasync(descriptor)
    except OSError as error:
        raise storage_error("sync", error) from error


def sync_folder(folder: Path) -> None:
    """Sync the directory entries of a folder to disk."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    except OSError as error:
        raise storage_error(f"sync of {folder.name}", error) from error
    finally:
        os.close(descriptor)


def replace_file(path: Path, payload: bytes) -> None:
    """Write a file of one frame atomically.

    Raises:
        StorageError: The file could not be written; the previous one is unchanged.
    """
    temporary = path.with_suffix(".tmp")
    try:
        descriptor = os.open(temporary, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, 0o600)
    except OSError as error:
        raise storage_error("open", error) from error
    try:
        write_all(descriptor, encode_frame(0, payload))
        sync_file(descriptor)
    finally:
        os.close(descriptor)
    temporary.rename(path)
    sync_folder(path.parent)


def read_file(path: Path) -> bytes:
    """Return the payload of a file of one frame.

    Raises:
        CorruptStorageError: The file is corrupt.
    """
    content = path.read_bytes()
    frame = decode_frame(content, 0)
    if frame is None or frame.end != len(content):
        raise CorruptStorageError(f"{path.name} is corrupt")
    return frame.payload
