"""HTTP connections to endpoints that know whether any byte may have left.

`tornado.httpclient` hides whether a failed request was sent at all, and can't tell a
truncated answer from a lost connection. Here each connection reads its answers in a task of
its own, so that a close, or an answer that nobody asked for, is noticed at once.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

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
from lagoonwing_http._exchange import AnswerHead, Exchange
from lagoonwing_http.const import (
    CONNECTION_READ_CHUNK_BYTES,
    MAX_ANSWER_HEADER_BYTES,
)
from lagoonwing_http.errors import ConnectError

# A stream of tokens has no end known in advance; readers bound what they keep.
_MAX_STREAM_BYTES = 1 << 40


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
        self._framed = True
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
        self._framed = framed
        closes = headers.get("Connection", "").lower() == "close"
        self._keep_alive = framed and not closes and start_line.version == "HTTP/1.1"
        self._exchange.on_head(AnswerHead(start_line.code, headers, framed))

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Take a part of the body."""
        if self._exchange is None:
            return None
        return self._exchange.on_data(chunk)

    def finish(self) -> None:
        """Take the proper end of the answer; without framing a reset is none."""
        if not self._framed and self._stream.error is not None:
            self._break()
            return
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
