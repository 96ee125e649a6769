"""HTTP connections to endpoints that know whether any byte may have left.

`tornado.httpclient` hides whether a failed request was sent at all, and can't tell a
truncated answer from a lost connection. Here each connection reads its answers in a task of
its own, so that a close, or an answer that nobody asked for, is noticed at once.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_entry.const import (
    CONNECTION_READ_CHUNK_BYTES,
    MAX_ANSWER_HEADER_BYTES,
    MAX_UNREAD_ANSWER_BYTES,
)
from lagoonwing_entry.errors import AnswerBrokenError, ConnectError, ForeignAnswerError

# A stream of tokens has no end known in advance; readers bound what they keep.
_MAX_STREAM_BYTES = 1 << 40


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer.

    Attributes:
        framed: Whether the end of the body can be told from a lost connection.
    """

    status: int
    headers: HTTPHeaders
    framed: bool


class Exchange:
    """One request and its answer.

    Attributes:
        accepts: Whether the headers of an answer show that it belongs to this request.
    """

    def __init__(self, accepts: Callable[[HTTPHeaders], bool]) -> None:
        self.accepts = accepts
        self._head: asyncio.Future[AnswerHead] = asyncio.get_running_loop().create_future()
        self._chunks: deque[bytes] = deque()
        self._unread_bytes = 0
        self._readable: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._finished = False
        self._broken = False
        self._silent_at = 0.0
        self._silence_timer: asyncio.TimerHandle | None = None

    @property
    def finished(self) -> bool:
        """Whether the answer has arrived whole."""
        return self._finished

    async def async_head(self) -> AnswerHead:
        """Wait for status and headers.

        Raises:
            AnswerBrokenError: The connection ended first.
        """
        return await self._head

    async def async_chunk(self, timeout: float) -> bytes | None:
        """Wait for the next part of the body; nothing at its proper end.

        Args:
            timeout: Longest silence, in seconds.

        Raises:
            AnswerBrokenError: The connection ended before the body was whole.
            TimeoutError: Nothing came in time.
        """
        while not self._chunks:
            if self._finished:
                return None
            if self._broken:
                raise AnswerBrokenError("the connection ended in the middle of the answer")
            self._readable = asyncio.get_running_loop().create_future()
            self._watch_silence(timeout)
            await self._readable
        data = b"".join(self._chunks) if len(self._chunks) > 1 else self._chunks[0]
        self._chunks.clear()
        self._unread_bytes = 0
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        return data

    @callback
    def stop_watch(self) -> None:
        """Stop to watch for silence."""
        if self._silence_timer is not None:
            self._silence_timer.cancel()
            self._silence_timer = None

    @callback
    def on_head(self, head: AnswerHead) -> None:
        """Take status and headers."""
        if not self._head.done():
            self._head.set_result(head)

    @callback
    def on_data(self, data: bytes) -> asyncio.Future[None] | None:
        """Take a part of the body; the result, if any, holds the connection back."""
        self._chunks.append(data)
        self._unread_bytes += len(data)
        self._wake()
        if self._unread_bytes < MAX_UNREAD_ANSWER_BYTES:
            return None
        self._drained = asyncio.get_running_loop().create_future()
        return self._drained

    @callback
    def on_finish(self) -> None:
        """Note the proper end."""
        self._finished = True
        self.stop_watch()
        self._wake()

    @callback
    def on_foreign(self) -> None:
        """Note that another request's answer came."""
        if not self._head.done():
            self._head.set_exception(ForeignAnswerError("the answer is not of this attempt"))
            self._head.exception()

    @callback
    def on_broken(self) -> None:
        """Note that nothing more will come."""
        if self._finished:
            return
        self._broken = True
        self.stop_watch()
        if not self._head.done():
            self._head.set_exception(AnswerBrokenError("the connection ended before an answer"))
            # The reader may have gone; an unread exception would only warn about it.
            self._head.exception()
        self._wake()

    def _watch_silence(self, timeout: float) -> None:
        """Let the reader time out; one timer serves many waits, for each token is a wait."""
        loop = asyncio.get_running_loop()
        self._silent_at = loop.time() + timeout
        if self._silence_timer is not None and self._silence_timer.when() > self._silent_at:
            self.stop_watch()
        if self._silence_timer is None:
            self._silence_timer = loop.call_at(self._silent_at, self._on_silence_timer)

    def _on_silence_timer(self) -> None:
        """Time the reader out if it still waits for what it began to wait for long ago."""
        self._silence_timer = None
        if self._readable is None or self._readable.done():
            return
        loop = asyncio.get_running_loop()
        if loop.time() < self._silent_at:
            self._silence_timer = loop.call_at(self._silent_at, self._on_silence_timer)
            return
        self._readable.set_exception(TimeoutError())

    def _wake(self) -> None:
        """Wake the reader."""
        if self._readable is not None and not self._readable.done():
            self._readable.set_result(None)


class ClientConnection(HTTPMessageDelegate):
    """One connection to an endpoint, for one exchange at a time."""

    def __init__(
        self, stream: IOStream, peer: str, on_idle: Callable[[ClientConnection], None]
    ) -> None:
        self.idle_since = 0.0
        self._stream = stream
        self._peer = peer
        self._on_idle = on_idle
        self._exchange: Exchange | None = None
        self._keep_alive = True
        self._parameters = HTTP1ConnectionParameters(
            chunk_size=CONNECTION_READ_CHUNK_BYTES,
            max_header_size=MAX_ANSWER_HEADER_BYTES,
            max_body_size=_MAX_STREAM_BYTES,
        )
        self._http = HTTP1Connection(stream, True, self._parameters)
        self._task = asyncio.get_running_loop().create_task(self._async_read_answers())

    @property
    def closed(self) -> bool:
        """Whether the connection can no longer be used."""
        return self._stream.closed()

    @callback
    def send(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        accepts: Callable[[HTTPHeaders], bool],
    ) -> Exchange:
        """Write a request; from here on bytes may have left.

        Args:
            start_line: Method and path.
            headers: Headers without the length.
            body: Whole body.
            accepts: Whether the headers of an answer show that it belongs to this request.

        Raises:
            ConnectError: The connection had already ended, so no byte was sent.
        """
        if self._stream.closed():
            raise ConnectError(f"{self._peer}: the connection had ended")
        exchange = Exchange(accepts)
        self._exchange = exchange
        headers["Content-Length"] = str(len(body))
        written = self._http.write_headers(start_line, headers, body)
        # The reader notices a broken stream; an unread future would only warn about it again.
        written.add_done_callback(lambda done: done.cancelled() or done.exception())
        self._http.finish()
        return exchange

    @callback
    def close(self) -> None:
        """End the connection; an unfinished exchange is broken."""
        self._stream.close()
        self._break()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the head of an answer; one that nobody asked for ends the connection."""
        if self._exchange is None or self._exchange.finished:
            log_event(EventCode.ANSWER_DISCARDED, peer=self._peer, reason="unsolicited")
            self.close()
            return
        assert isinstance(start_line, ResponseStartLine)
        if 100 <= start_line.code < 200:
            return
        if not self._exchange.accepts(headers):
            log_event(EventCode.ANSWER_DISCARDED, peer=self._peer, reason="not of this attempt")
            self._exchange.on_foreign()
            self.close()
            return
        framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        framed = framed or start_line.code in (204, 304)
        closes = headers.get("Connection", "").lower() == "close"
        self._keep_alive = framed and not closes and start_line.version == "HTTP/1.1"
        self._exchange.on_head(AnswerHead(start_line.code, headers, framed))

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Take a part of the body."""
        if self._exchange is None:
            return None
        return self._exchange.on_data(chunk)

    def finish(self) -> None:
        """Take the proper end of the answer."""
        if self._exchange is not None:
            self._exchange.on_finish()

    def on_connection_close(self) -> None:
        """Note that the connection ended in the middle of an answer."""
        self._break()

    async def _async_read_answers(self) -> None:
        """Read answers until the connection ends."""
        try:
            while await self._http.read_response(self):
                if not self._keep_alive or self._stream.closed():
                    break
                self._exchange = None
                self._http = HTTP1Connection(self._stream, True, self._parameters)
                self._on_idle(self)
        except (StreamClosedError, UnsatisfiableReadError):
            pass
        finally:
            self.close()

    def _break(self) -> None:
        """Break the exchange that is under way."""
        if self._exchange is not None:
            self._exchange.on_broken()


async def async_open_connection(
    address: str, port: int, timeout: float, on_idle: Callable[[ClientConnection], None]
) -> ClientConnection:
    """Connect to an endpoint.

    Args:
        address: IP number.
        port: TCP port.
        timeout: Seconds to wait.
        on_idle: Called when an answer has ended and the connection can be used again.

    Raises:
        ConnectError: The connection was refused or not answered in time.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    try:
        stream = IOStream(socket.socket(family, socket.SOCK_STREAM))
    except OSError as error:
        raise ConnectError(str(error)) from error
    try:
        async with asyncio.timeout(timeout):
            await stream.connect((address, port))
    except (OSError, StreamClosedError, TimeoutError) as error:
        stream.close()
        detail = str(error) or type(error).__name__
        cause = error.real_error if isinstance(error, StreamClosedError) else error
        refused = isinstance(cause, ConnectionRefusedError)
        raise ConnectError(f"{address}:{port}: {detail}", refused) from error
    except asyncio.CancelledError:
        stream.close()
        raise
    return ClientConnection(stream, f"{address}:{port}", on_idle)
