"""Channels: calls, pushes, and rejection of unauthenticated peers and malformed input."""

from __future__ import annotations

import asyncio
import struct
from dataclasses import dataclass, field
from typing import Any
from unittest.mock import patch

import msgspec
import pytest
from ports import reserve_port
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from lagoonwing_core.ids import HostId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire import (
    Channel,
    ChannelServer,
    Handlers,
    Identity,
    Link,
    async_connect,
)
from lagoonwing_wire._handshake import async_connect_handshake
from lagoonwing_wire.const import MAX_FRAME_BYTES


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Test message."""

    number: int


class Pong(msgspec.Struct, frozen=True, tag="pong"):
    """Test reply."""

    number: int


@dataclass
class Recorder:
    """Handlers that record received messages."""

    pushed: list[Any] = field(default_factory=list)
    close_count: int = 0

    def handlers(self) -> Handlers[Ping | Pong]:
        """Return handlers that record pushes and reply to calls."""
        return Handlers(
            decoder=msgspec.msgpack.Decoder(Ping | Pong),
            on_push=lambda channel, message: self.pushed.append(message),
            async_on_call=self._async_on_call,
            on_closed=self._on_closed,
        )

    async def _async_on_call(self, channel: Channel[Any], message: Any) -> Pong:
        return Pong(message.number)

    def _on_closed(self, channel: Channel[Any]) -> None:
        self.close_count += 1


@pytest.fixture
async def running_server():
    """Run a channel server on a free loopback port."""
    recorder = Recorder()
    port = reserve_port()
    server = ChannelServer(Identity(HostId("server"), b"key"), "127.0.0.1", port)
    server.register("test", recorder.handlers())
    await server.async_setup()
    yield recorder, port
    await server.async_unload()


async def _async_open(port: int, key: bytes = b"key", protocol: str = "test"):
    identity = Identity(HostId("client"), key)
    return await async_connect(identity, "127.0.0.1", port, protocol, Recorder().handlers())


async def test_call_and_push_reach_the_peer(running_server) -> None:
    """Each call receives its own reply and pushes arrive in order."""
    recorder, port = running_server
    channel = (await _async_open(port)).ok
    run = asyncio.create_task(channel.async_run())
    channel.push(Ping(1))
    channel.push(Ping(2))
    replies = await asyncio.gather(*(channel.async_call(Ping(n), 5.0) for n in range(20)))
    assert [reply.ok for reply in replies] == [Pong(n) for n in range(20)]
    assert recorder.pushed == [Ping(1), Ping(2)]
    channel.close()
    await run


@pytest.mark.parametrize(("key", "protocol"), [(b"wrong", "test"), (b"key", "other")])
async def test_unauthenticated_peer_is_rejected(running_server, key: bytes, protocol: str) -> None:
    """A peer with a wrong key or an unknown protocol gets no channel."""
    _, port = running_server
    result = await _async_open(port, key, protocol)
    assert result.error.code is ResultCode.NOT_AUTHENTIC


async def test_invalid_frames_do_not_stop_the_server(running_server) -> None:
    """Connections with invalid bytes or oversized frames are closed; others are still served."""
    _, port = running_server
    for invalid_bytes in (
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack(">I", 2**31) + b"x",
        b"\0\0\0\1\xc1",
    ):
        stream = await TCPClient().connect("127.0.0.1", port)
        await stream.write(invalid_bytes)
        await stream.read_until_close()
    channel = (await _async_open(port)).ok
    run = asyncio.create_task(channel.async_run())
    assert (await channel.async_call(Ping(3), 5.0)).ok == Pong(3)
    channel.close()
    await run


async def test_unload_closes_connections_in_the_handshake() -> None:
    """A connection whose handshake is still running is closed when the server is unloaded.

    Otherwise it would become a channel to a component that has already stopped.
    """
    port = reserve_port()
    server = ChannelServer(Identity(HostId("server"), b"key"), "127.0.0.1", port)
    server.register("test", Recorder().handlers())
    await server.async_setup()
    stream = await TCPClient().connect("127.0.0.1", port)
    await asyncio.sleep(0.05)
    await server.async_unload()
    with pytest.raises(StreamClosedError):
        await async_connect_handshake(stream, Identity(HostId("client"), b"key"), "test")


async def test_unload_of_a_link_closes_its_connection_attempt() -> None:
    """A link that is unloaded during the handshake leaves no open connection behind."""
    closed = asyncio.Event()
    accepted = asyncio.Event()

    async def async_accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.set()
        await reader.read()
        closed.set()
        writer.close()

    silent = await asyncio.start_server(async_accept, "127.0.0.1", 0)
    port = silent.sockets[0].getsockname()[1]
    identity = Identity(HostId("client"), b"key")
    link = Link(identity, "127.0.0.1", port, "test", Recorder().handlers())
    await link.async_setup()
    async with asyncio.timeout(2.0):
        await accepted.wait()
        await link.async_unload()
        await closed.wait()
    silent.close()


async def test_unreachable_peer_returns_refusal() -> None:
    """A refused connection is returned as a refusal, not raised as an exception."""
    port = reserve_port()
    assert (await _async_open(port)).error.code is ResultCode.PEER_UNREACHABLE


async def test_lack_of_descriptors_returns_refusal() -> None:
    """A link keeps trying after a process has run out of file descriptors for a while."""
    with patch("lagoonwing_wire._connections.socket.socket", side_effect=OSError("EMFILE")):
        result = await _async_open(1)
    assert result.error.code is ResultCode.PEER_UNREACHABLE


async def test_unknown_message_closes_the_channel(running_server) -> None:
    """A message that is not part of the protocol closes the sender's channel."""
    recorder, port = running_server

    class Other(msgspec.Struct, tag="other"):
        """Message that is not part of the protocol."""

    channel = (await _async_open(port)).ok
    run = asyncio.create_task(channel.async_run())
    assert (await channel.async_call(Other(), 5.0)).error.code is ResultCode.STREAM_CLOSED
    await run
    assert recorder.close_count == 1


async def test_message_larger_than_a_frame_fails_alone(running_server) -> None:
    """An answer that is too large to be stored doesn't end the channel of all other calls."""
    recorder, port = running_server

    class Large(msgspec.Struct, tag="ping"):
        """Message that doesn't fit into a frame."""

        number: bytes

    channel = (await _async_open(port)).ok
    run = asyncio.create_task(channel.async_run())
    refused = await channel.async_call(Large(bytes(MAX_FRAME_BYTES)), 5.0)
    assert refused.error.code is ResultCode.BODY_TOO_LARGE
    assert not channel.push(Large(bytes(MAX_FRAME_BYTES)))
    assert (await channel.async_call(Ping(1), 5.0)).ok == Pong(1)
    assert recorder.close_count == 0
    channel.close()
    await run
