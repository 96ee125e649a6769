"""Bidirectional typed messages over one authenticated stream."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec
from expression import Error, Ok, Result
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import HostId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire._framing import FrameTooLargeError, async_read_frame, write_frame
from lagoonwing_wire._handshake import Session
from lagoonwing_wire.const import (
    CALL_TASK_BYTES,
    FRAME_WORK_BYTES,
    MAX_OPEN_CALL_BYTES,
    MAX_TURN_BYTES,
    PING_INTERVAL_S,
    SILENCE_TIMEOUT_S,
)
from lagoonwing_wire.models import Envelope, EnvelopeKind

MessageT = TypeVar("MessageT")

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_NO_MESSAGE = msgspec.Raw(_ENCODER.encode(None))


@dataclass(frozen=True, slots=True)
class Handlers(Generic[MessageT]):
    """Message handlers for one side of a protocol.

    Attributes:
        decoder: Decoder for the union of all messages of the protocol.
        on_push: Called for each push, in order; must not block.
        async_on_call: Called in a separate task for each call; returns the reply.
        on_closed: Called once when the channel is closed.
    """

    decoder: msgspec.msgpack.Decoder[MessageT]
    on_push: Callable[[Channel[MessageT], MessageT], None]
    async_on_call: Callable[[Channel[MessageT], MessageT], Awaitable[msgspec.Struct]]
    on_closed: Callable[[Channel[MessageT]], None]


def outbound_only_handlers(
    decoder: msgspec.msgpack.Decoder[MessageT], refusal: msgspec.Struct
) -> Handlers[MessageT]:
    """Return handlers for a link on which only this side makes calls.

    Args:
        decoder: Decoder for the protocol's messages.
        refusal: Reply to any call from the peer.
    """

    async def async_refuse(channel: Channel[MessageT], message: MessageT) -> msgspec.Struct:
        return refusal

    return Handlers(
        decoder=decoder,
        on_push=lambda channel, message: None,
        async_on_call=async_refuse,
        on_closed=lambda channel: None,
    )


class Channel(Generic[MessageT]):
    """Exchanges the messages of one protocol with one peer."""

    def __init__(self, stream: IOStream, session: Session, handlers: Handlers[MessageT]) -> None:
        self.peer_id: HostId = session.peer_id
        self.protocol: str = session.protocol
        self._stream = stream
        self._handlers = handlers
        self._next_correlation = 1
        self._pending_replies: dict[int, asyncio.Future[MessageT]] = {}
        self._call_tasks: set[asyncio.Task[None]] = set()
        self._open_call_bytes = 0
        self._closed = False
        self._last_received_at = 0.0

    @property
    def closed(self) -> bool:
        """Whether the channel is closed."""
        return self._closed

    @callback
    def push(self, message: msgspec.Struct) -> bool:
        """Queue a one-way message.

        Returns:
            Whether the message was queued; it is lost if the stream closes before it is sent.
        """
        return self._write(EnvelopeKind.PUSH, 0, message)

    async def async_call(
        self, message: msgspec.Struct, timeout: float
    ) -> Result[MessageT, Refusal]:
        """Send a call and wait for its reply.

        Args:
            message: Message of the protocol.
            timeout: Seconds to wait for the reply.

        Returns:
            The reply, or a refusal `STREAM_CLOSED`, `PEER_TIMEOUT` or `BODY_TOO_LARGE`. Only the
            last tells that the peer didn't process the call.
        """
        correlation = self._next_correlation
        self._next_correlation += 1
        reply: asyncio.Future[MessageT] = asyncio.get_running_loop().create_future()
        self._pending_replies[correlation] = reply
        try:
            if not self._write(EnvelopeKind.CALL, correlation, message):
                if not (self._closed or self._stream.closed()):
                    return Error(Refusal(ResultCode.BODY_TOO_LARGE, "the call passes a frame"))
                return Error(Refusal(ResultCode.STREAM_CLOSED, "the stream is closed"))
            # `wait_for` can swallow a cancellation that arrives together with the reply.
            async with asyncio.timeout(timeout):
                return Ok(await reply)
        except TimeoutError:
            return Error(Refusal(ResultCode.PEER_TIMEOUT, f"no reply within {timeout} s"))
        except StreamClosedError:
            return Error(Refusal(ResultCode.STREAM_CLOSED, "the stream closed before the reply"))
        finally:
            self._pending_replies.pop(correlation, None)

    async def async_run(self) -> None:
        """Read messages until the stream ends, then call `on_closed`."""
        loop = asyncio.get_running_loop()
        self._last_received_at = loop.time()
        pinger = loop.create_task(self._async_ping())
        turn_bytes = 0
        try:
            # Frames that came before the close stay readable after it.
            while not self._closed:
                frame = await async_read_frame(self._stream)
                self._last_received_at = loop.time()
                self._dispatch(frame)
                turn_bytes += len(frame) + FRAME_WORK_BYTES
                if turn_bytes > MAX_TURN_BYTES:
                    # Reading doesn't wait while bytes are there.
                    await asyncio.sleep(0)
                    turn_bytes = 0
        except StreamClosedError:
            pass
        except (FrameTooLargeError, msgspec.MsgspecError) as error:
            log_event(EventCode.PEER_REFUSED, peer=self.peer_id, reason=error)
        finally:
            pinger.cancel()
            self.close()

    async def _async_ping(self) -> None:
        """Send keep-alive pings, and close the channel if the peer is silent for too long."""
        loop = asyncio.get_running_loop()
        while not self._closed:
            if loop.time() > self._last_received_at + SILENCE_TIMEOUT_S:
                log_event(EventCode.PEER_LOST, peer=self.peer_id, reason="silent")
                self.close()
                return
            self._write_envelope(Envelope(EnvelopeKind.PING, 0, _NO_MESSAGE))
            await asyncio.sleep(PING_INTERVAL_S)

    @callback
    def close(self) -> None:
        """Close the channel; pending calls fail with `STREAM_CLOSED`."""
        if self._closed:
            return
        self._closed = True
        self._stream.close()
        for reply in self._pending_replies.values():
            if not reply.done():
                reply.set_exception(StreamClosedError())
        for task in self._call_tasks:
            task.cancel()
        self._handlers.on_closed(self)

    @callback
    def _write(self, kind: EnvelopeKind, correlation: int, message: msgspec.Struct) -> bool:
        """Encode a message and queue it in an envelope."""
        return self._write_envelope(
            Envelope(kind, correlation, msgspec.Raw(_ENCODER.encode(message)))
        )

    def _write_envelope(self, envelope: Envelope) -> bool:
        """Queue an envelope; close the channel if the write buffer is full.

        An envelope that is larger than a frame is dropped.
        """
        if self._closed:
            return False
        try:
            write_frame(self._stream, _ENCODER.encode(envelope))
        except StreamClosedError:
            return False
        except FrameTooLargeError as error:
            reason = f"the message passes a frame: {error}"
            log_event(EventCode.COMPONENT_FAILED, component="channel", error=reason)
            return False
        except StreamBufferFullError as error:
            log_event(EventCode.PEER_LOST, peer=self.peer_id, reason=error)
            self.close()
            return False
        return True

    @callback
    def _dispatch(self, frame: bytes) -> None:
        """Dispatch a frame to its handler or pending call."""
        envelope = _ENVELOPE_DECODER.decode(frame)
        if envelope.kind is EnvelopeKind.PING:
            return
        message = self._handlers.decoder.decode(envelope.body)
        match envelope.kind:
            case EnvelopeKind.PUSH:
                self._handlers.on_push(self, message)
            case EnvelopeKind.REPLY:
                reply = self._pending_replies.get(envelope.correlation)
                if reply is not None and not reply.done():
                    reply.set_result(message)
            case EnvelopeKind.CALL:
                self._start_call(envelope.correlation, message, len(frame) + CALL_TASK_BYTES)

    def _start_call(self, correlation: int, message: MessageT, size: int) -> None:
        """Handle a call in a task; close the channel if the peer has too many open calls."""
        if self._open_call_bytes + size > MAX_OPEN_CALL_BYTES:
            reason = f"open calls pass {MAX_OPEN_CALL_BYTES} bytes"
            log_event(EventCode.PEER_REFUSED, peer=self.peer_id, reason=reason)
            self.close()
            return
        self._open_call_bytes += size
        task = asyncio.get_running_loop().create_task(self._async_handle_call(correlation, message))
        self._call_tasks.add(task)
        task.add_done_callback(lambda done: self._end_call(done, size))

    def _end_call(self, task: asyncio.Task[None], size: int) -> None:
        """Release the bytes of a call."""
        self._call_tasks.discard(task)
        self._open_call_bytes -= size

    async def _async_handle_call(self, correlation: int, message: Any) -> None:
        """Handle one call and send the reply."""
        reply = await self._handlers.async_on_call(self, message)
        self._write(EnvelopeKind.REPLY, correlation, reply)
