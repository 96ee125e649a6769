"""Server and client sides of the streams between processes."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire._channel import Channel, Handlers
from lagoonwing_wire._framing import FrameTooLargeError
from lagoonwing_wire._handshake import (
    HandshakeError,
    Identity,
    Session,
    async_accept_handshake,
    async_connect_handshake,
)
from lagoonwing_wire.const import (
    CONNECT_TIMEOUT_S,
    HANDSHAKE_TIMEOUT_S,
    MAX_WRITE_BUFFER_BYTES,
    RECONNECT_MAX_S,
    RECONNECT_MIN_S,
)


class ChannelServer:
    """Accepts channels for several protocols on one address."""

    name = "channel_server"

    def __init__(self, identity: Identity, address: str, port: int) -> None:
        self._identity = identity
        self._address = address
        self._port = port
        self._handlers_by_protocol: dict[str, Handlers[Any]] = {}
        self._on_open_by_protocol: dict[str, Callable[[Channel[Any]], None]] = {}
        self._handshakes: set[IOStream] = set()
        self._channels: set[Channel[Any]] = set()
        self._server = _StreamServer(self)

    def register(
        self,
        protocol: str,
        handlers: Handlers[Any],
        on_open: Callable[[Channel[Any]], None] = lambda channel: None,
    ) -> None:
        """Register a protocol; call before `async_setup`."""
        self._handlers_by_protocol[protocol] = handlers
        self._on_open_by_protocol[protocol] = on_open

    async def async_setup(self) -> None:
        """Start listening."""
        self._server.listen(self._port, self._address)

    async def async_unload(self) -> None:
        """Stop listening and close all channels."""
        self._server.stop()
        # A handshake that completed later would open a channel to a stopped component.
        for stream in list(self._handshakes):
            stream.close()
        for channel in list(self._channels):
            channel.close()

    async def async_serve(self, stream: IOStream) -> None:
        """Authenticate an accepted stream and run its channel until it closes."""
        self._handshakes.add(stream)
        try:
            session = await asyncio.wait_for(
                async_accept_handshake(
                    stream, self._identity, frozenset(self._handlers_by_protocol)
                ),
                HANDSHAKE_TIMEOUT_S,
            )
        except (HandshakeError, FrameTooLargeError, TimeoutError, StreamClosedError) as error:
            log_event(
                EventCode.PEER_REFUSED,
                code=ResultCode.NOT_AUTHENTIC.value,
                reason=error or type(error).__name__,
            )
            stream.close()
            return
        finally:
            self._handshakes.discard(stream)
        if stream.closed():
            return
        channel: Channel[Any] = Channel(
            stream, session, self._handlers_by_protocol[session.protocol]
        )
        self._channels.add(channel)
        self._on_open_by_protocol[session.protocol](channel)
        try:
            await channel.async_run()
        finally:
            self._channels.discard(channel)


class _StreamServer(TCPServer):
    """Tornado server that passes accepted streams to the channel server."""

    def __init__(self, owner: ChannelServer) -> None:
        super().__init__(max_buffer_size=MAX_WRITE_BUFFER_BYTES)
        self._owner = owner

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Handle one accepted stream."""
        stream.max_write_buffer_size = MAX_WRITE_BUFFER_BYTES
        stream.set_nodelay(True)
        await self._owner.async_serve(stream)


async def async_connect(
    identity: Identity, address: str, port: int, protocol: str, handlers: Handlers[Any]
) -> Result[Channel[Any], Refusal]:
    """Open a channel; the caller must run it with `async_run`.

    Returns:
        The channel, or a refusal `PEER_UNREACHABLE` (connection refused or timed out) or
        `NOT_AUTHENTIC`.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    try:
        sock = socket.socket(family, socket.SOCK_STREAM)
    except OSError as error:
        return Error(Refusal(ResultCode.PEER_UNREACHABLE, f"{address}:{port}: {error}"))
    stream = IOStream(sock, max_buffer_size=MAX_WRITE_BUFFER_BYTES)
    try:
        result = await _async_connect_stream(stream, identity, address, port, protocol)
    except asyncio.CancelledError:
        stream.close()
        raise
    match result:
        case Result(tag="ok", ok=session):
            return Ok(Channel(stream, session, handlers))
        case Result(error=refusal):
            stream.close()
            return Error(refusal)


async def _async_connect_stream(
    stream: IOStream, identity: Identity, address: str, port: int, protocol: str
) -> Result[Session, Refusal]:
    """Connect a stream and authenticate; the caller closes the stream unless this succeeds."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await stream.connect((address, port))
    except (OSError, TimeoutError, StreamClosedError) as error:
        detail = f"{address}:{port}: {error or type(error).__name__}"
        return Error(Refusal(ResultCode.PEER_UNREACHABLE, detail))
    stream.max_write_buffer_size = MAX_WRITE_BUFFER_BYTES
    stream.set_nodelay(True)
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            return Ok(await async_connect_handshake(stream, identity, protocol))
    except (HandshakeError, FrameTooLargeError, TimeoutError, StreamClosedError) as error:
        return Error(Refusal(ResultCode.NOT_AUTHENTIC, f"{address}:{port}: {error}"))


class Link:
    """Keeps a channel to one peer open, reconnecting with jittered backoff."""

    def __init__(
        self,
        identity: Identity,
        address: str,
        port: int,
        protocol: str,
        handlers: Handlers[Any],
        on_open: Callable[[Channel[Any]], None] = lambda channel: None,
    ) -> None:
        self.name = f"link {protocol} {address}:{port}"
        self._identity = identity
        self._address = address
        self._port = port
        self._protocol = protocol
        self._handlers = handlers
        self._on_open = on_open
        self._channel: Channel[Any] | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def channel(self) -> Channel[Any] | None:
        """The open channel, or `None`."""
        if self._channel is None or self._channel.closed:
            return None
        return self._channel

    async def async_setup(self) -> None:
        """Start connecting."""
        self._task = asyncio.get_running_loop().create_task(self._async_reconnect())

    async def async_unload(self) -> None:
        """Stop reconnecting and close the channel."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})
        if self._channel is not None:
            self._channel.close()

    @callback
    def push(self, message: Any) -> bool:
        """Queue a push on the open channel; return whether it was queued."""
        channel = self.channel
        return channel is not None and channel.push(message)

    async def async_call(self, message: Any, timeout: float) -> Result[Any, Refusal]:
        """Call on the open channel.

        Returns:
            The reply, or a refusal `PEER_UNREACHABLE` or one of `Channel.async_call`.
        """
        channel = self.channel
        if channel is None:
            return Error(Refusal(ResultCode.PEER_UNREACHABLE, f"{self.name} is not open"))
        return await channel.async_call(message, timeout)

    async def _async_reconnect(self) -> None:
        """Reconnect whenever the channel closes."""
        delay = RECONNECT_MIN_S
        while True:
            result = await async_connect(
                self._identity, self._address, self._port, self._protocol, self._handlers
            )
            match result:
                case Result(tag="ok", ok=channel):
                    delay = RECONNECT_MIN_S
                    self._channel = channel
                    log_event(
                        EventCode.PEER_CONNECTED,
                        peer=channel.peer_id,
                        protocol=self._protocol,
                        address=f"{self._address}:{self._port}",
                    )
                    self._on_open(channel)
                    await channel.async_run()
                case _:
                    delay = min(delay * 2, RECONNECT_MAX_S)
            await asyncio.sleep(random.uniform(0.0, delay))
