"""Length-prefixed frames on a tornado stream."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from tornado.iostream import IOStream

from lagoonwing_wire.const import FRAME_HEADER_BYTES, MAX_FRAME_BYTES

_HEADER = struct.Struct(">I")


class FrameTooLargeError(Exception):
    """A frame announces more bytes than are allowed."""


@dataclass(slots=True)
class ByteCounters:
    """Bytes moved by every stream of the process, for metrics and measurements."""

    sent: int = 0
    received: int = 0


BYTE_COUNTERS = ByteCounters()


def write_frame(stream: IOStream, payload: bytes) -> None:
    """Queue one frame for writing.

    Raises:
        FrameTooLargeError: The payload passes `MAX_FRAME_BYTES`.
        StreamClosedError: The stream is closed.
        StreamBufferFullError: The peer reads too slowly.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f"{len(payload)} bytes")
    future = stream.write(_HEADER.pack(len(payload)) + payload)
    # The reader notices a broken stream; an unread future would only warn about it again.
    future.add_done_callback(lambda done: done.cancelled() or done.exception())
    BYTE_COUNTERS.sent += len(payload) + FRAME_HEADER_BYTES


async def async_read_frame(stream: IOStream, limit: int = MAX_FRAME_BYTES) -> bytes:
    """Read one frame.

    Args:
        stream: Stream to read from.
        limit: Largest payload accepted, in bytes.

    Raises:
        FrameTooLargeError: The frame announces more than `limit` bytes.
        StreamClosedError: The stream ended.
    """
    header = await stream.read_bytes(FRAME_HEADER_BYTES)
    (length,) = _HEADER.unpack(header)
    if length > limit:
        raise FrameTooLargeError(f"{length} bytes")
    payload = await stream.read_bytes(length) if length else b""
    BYTE_COUNTERS.received += length + FRAME_HEADER_BYTES
    return payload
