"""Peers that send frames, or bytes of one frame, without end."""

from __future__ import annotations

import asyncio
import struct
import sys
import time
import tracemalloc
from multiprocessing import get_context
from typing import Any

import msgspec
import pytest
from ports import reserve_port
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from lagoonwing_core.ids import HostId
from lagoonwing_wire import Channel, ChannelServer, Handlers, Identity, async_connect
from lagoonwing_wire._handshake import async_connect_handshake
from lagoonwing_wire.const import (
    HANDSHAKE_TIMEOUT_S,
    MAX_FRAME_BYTES,
    PING_INTERVAL_S,
    SILENCE_TIMEOUT_S,
)
from lagoonwing_wire.models import Envelope, EnvelopeKind

MARGIN_S = 1.5
FLOOD_S = 2.0
CHUNK_BYTES = 64 * 1024
MAX_SENT_BYTES = 384 * 1024 * 1024
# A peer is silent without a frame for longer than this.
MAX_LOOP_DELAY_S = PING_INTERVAL_S
# Closing cancels all open calls; peers count a process as lost after a longer delay.
MAX_CLOSE_DELAY_S = SILENCE_TIMEOUT_S - PING_INTERVAL_S
CLOSED_BY_READER = 3
OPEN_AT_END = 4
# Unread and decoded bytes of one peer, with the copies that decoding makes.
MAX_HELD_BYTES = 160 * 1024 * 1024


class Load(msgspec.Struct, frozen=True, tag="load"):
    """Test message."""

    content: bytes


DECODER = msgspec.msgpack.Decoder(Load)


async def _async_never(channel: Channel[Any], message: Any) -> Load:
    """Handle a call without end."""
    await asyncio.Event().wait()
    return Load(b"")


def _handlers() -> Handlers[Any]:
    """Return handlers that ignore pushes and hold calls."""
    return Handlers(DECODER, lambda channel, message: None, _async_never, lambda channel: None)


def _frame(kind: EnvelopeKind, content: bytes) -> bytes:
    """Return an encoded frame."""
    body = msgspec.Raw(msgspec.msgpack.encode(Load(content)))
    payload = msgspec.msgpack.encode(Envelope(kind, 1, body))
    return struct.pack(">I", len(payload)) + payload


@pytest.fixture
async def server_port():
    """Port of a channel server."""
    port = reserve_port()
    server = ChannelServer(Identity(HostId("server"), b"key"), "127.0.0.1", port)
    server.register("test", _handlers())
    await server.async_setup()
    yield port
    await server.async_unload()


async def _async_shake_hands(port: int) -> IOStream:
    """Return an authenticated stream."""
    stream = await TCPClient().connect("127.0.0.1", port)
    await async_connect_handshake(stream, Identity(HostId("client"), b"key"), "test")
    return stream


def _flood(port: int, frames: bytes) -> None:
    """Write frames at full speed, and exit with whether the reader has closed."""
    stream = asyncio.run(_async_shake_hands(port))
    peer = stream.socket
    peer.settimeout(FLOOD_S)
    view = memoryview(frames)
    sent = 0
    ends_at = time.monotonic() + FLOOD_S
    while sent < MAX_SENT_BYTES and time.monotonic() < ends_at:
        try:
            sent += peer.send(view[sent % len(frames) :])
        except TimeoutError:
            break
        except OSError:
            sys.exit(CLOSED_BY_READER)
    sys.exit(OPEN_AT_END)


async def _async_longest_delay_in_flood(port: int, frames: bytes) -> tuple[float, int | None]:
    """Flood a port from another process; return the longest delay of a timer, and its exit code."""
    process = get_context("spawn").Process(target=_flood, args=(port, frames))
    process.start()
    longest = 0.0
    while process.is_alive():
        started_at = time.monotonic()
        await asyncio.sleep(0.01)
        longest = max(longest, time.monotonic() - started_at)
    return longest, process.exitcode


@pytest.mark.parametrize(
    ("kind", "end", "max_delay_s"),
    [
        (EnvelopeKind.PUSH, OPEN_AT_END, MAX_LOOP_DELAY_S),
        (EnvelopeKind.PING, OPEN_AT_END, MAX_LOOP_DELAY_S),
        (EnvelopeKind.CALL, CLOSED_BY_READER, MAX_CLOSE_DELAY_S),
    ],
)
async def test_frames_without_end_do_not_stop_the_loop(
    server_port: int, kind: EnvelopeKind, end: int, max_delay_s: float
) -> None:
    """Timers run on while a peer sends small frames at full speed."""
    delay_s, exit_code = await _async_longest_delay_in_flood(server_port, _frame(kind, b"x") * 4096)
    assert delay_s < max_delay_s
    assert exit_code == end


@pytest.mark.parametrize("call_bytes", [1, 1024 * 1024])
async def test_calls_without_end_are_bounded_in_bytes(server_port: int, call_bytes: int) -> None:
    """A peer with too many open calls loses its channel."""
    frame = _frame(EnvelopeKind.CALL, bytes(call_bytes))
    tracemalloc.start()
    try:
        _, exit_code = await _async_longest_delay_in_flood(
            server_port, frame * (1 + CHUNK_BYTES // len(frame))
        )
        assert tracemalloc.get_traced_memory()[1] < MAX_HELD_BYTES
        assert exit_code == CLOSED_BY_READER
    finally:
        tracemalloc.stop()


async def test_frame_that_never_ends_closes_the_channel(server_port: int) -> None:
    """Bytes that complete no frame count as silence."""
    stream = await _async_shake_hands(server_port)
    await stream.write(struct.pack(">I", MAX_FRAME_BYTES))
    started_at = time.monotonic()
    with pytest.raises(StreamClosedError):
        while time.monotonic() < started_at + SILENCE_TIMEOUT_S + MARGIN_S:
            await stream.write(b"x")
            await asyncio.sleep(0.05)


async def test_accepted_handshake_that_never_ends_is_closed(server_port: int) -> None:
    """A peer that drips its hello is closed at the timeout of the handshake."""
    stream = await TCPClient().connect("127.0.0.1", server_port)
    await stream.write(struct.pack(">I", 1000))
    started_at = time.monotonic()
    with pytest.raises(StreamClosedError):
        while time.monotonic() < started_at + HANDSHAKE_TIMEOUT_S + MARGIN_S:
            await stream.write(b"x")
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("first", [struct.pack(">I", 1000), struct.pack(">I", 2**31)])
async def test_challenge_that_never_ends_is_refused(first: bytes) -> None:
    """A connecting side gives up a handshake that drips, or whose frame is too large."""

    async def async_drip(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(first)
        while not writer.is_closing() and not reader.at_eof():
            writer.write(b"x")
            await asyncio.sleep(0.05)
        writer.close()

    server = await asyncio.start_server(async_drip, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_S + MARGIN_S):
        identity = Identity(HostId("client"), b"key")
        assert (await async_connect(identity, "127.0.0.1", port, "test", _handlers())).is_error()
    server.close()


async def test_no_call_is_begun_after_the_close(server_port: int) -> None:
    """Calls that were read before the channel closed don't start tasks that nobody cancels."""
    _, exit_code = await _async_longest_delay_in_flood(
        server_port, _frame(EnvelopeKind.CALL, b"x") * 4096
    )
    assert exit_code == CLOSED_BY_READER
    await asyncio.sleep(MAX_LOOP_DELAY_S)
    assert not [task for task in asyncio.all_tasks() if "_async_handle_call" in repr(task)]
