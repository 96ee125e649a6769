"""Length-prefixed framing on a tornado stream."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from tornado.iostream import IOStream

from lagoonwing_wire.const import FRAME_HEADER_BYTES, MAX_FRAME_BYTES

_HEADER = struct.Struct(">I")


class FrameTooLargeError(Exception):
    """A frame exceeds the size limit."""


@dataclass(slots=True)
class ByteCounters:
    """Bytes transferred by all streams of the process, for metrics and benchmarks."""

    sent: int = 0
    received: int = 0


BYTE_COUNTERS = ByteCounters()


def write_frame(stream: IOStream, payload: bytes) -> None:
    """Queue one frame for writing.

    Raises:
        FrameTooLargeError: The payload exceeds `MAX_FRAME_BYTES`.
        StreamClosedError: The stream is closed.
        StreamBufferFullError: The peer reads too slowly and the write buffer is full.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f"{len(payload)} bytes")
    future = stream.write(_HEADER.pack(len(payload)) + payload)
    # The reader detects a broken stream; retrieving the exception avoids asyncio's warning.
    future.add_done_callback(lambda done: done.cancelled() or done.exception())
    BYTE_COUNTERS.sent += len(payload) + FRAME_HEADER_BYTES


async def async_read_frame(stream: IOStream, limit: int = MAX_FRAME_BYTES) -> bytes:
    """Read one frame.

    Args:
        stream: Stream to read from.
        limit: Maximum payload size in bytes.

    Raises:
        FrameTooLargeError: The frame header announces more than `limit` bytes.
        StreamClosedError: The stream ended.
    """
    header = await stream.read_bytes(FRAME_HEADER_BYTES)
    (length,) = _HEADER.unpack(header)
    if length > limit:
        raise FrameTooLargeError(f"{length} bytes")
    payload = await stream.read_bytes(length) if length else b""
    BYTE_COUNTERS.received += length + FRAME_HEADER_BYTES
    return payload
