"""HTTP client connections to endpoints that track whether a request may have been sent.

`tornado.httpclient` does not expose whether a failed request was sent at all, and cannot
distinguish a truncated response from a lost connection. Here each connection reads responses in
a dedicated task, so that a close or an unsolicited response is detected immediately.
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
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_http._exchange import Exchange, ResponseHead, ResponseMatch, ResponseMatcher
from lagoonwing_http._unrequested_bytes import (
    ArrivalObserver,
    ObservedStream,
    OnUnrequestedBytes,
    UnrequestedBytes,
    log_unrequested_bytes,
)
from lagoonwing_http.const import (
    CONNECTION_READ_CHUNK_BYTES,
    LARGE_BODY_BYTES,
    MAX_RESPONSE_HEADER_BYTES,
    MAX_STALE_BYTES,
    MAX_STALE_RESPONSES,
)
from lagoonwing_http.errors import ConnectError

# Token streams have no known length; readers limit how much they buffer.
_MAX_STREAM_BYTES = 1 << 40


class ClientConnection(HTTPMessageDelegate):
    """Connection to an endpoint that carries one exchange at a time.

    Attributes:
        was_used: Whether a request has been sent on it.
    """

    def __init__(
        self,
        stream: ObservedStream,
        peer: str,
        on_idle: Callable[[ClientConnection], None],
        on_unrequested: OnUnrequestedBytes | None = None,
    ) -> None:
        self.idle_since = 0.0
        self.was_used = False
        self._stream = stream
        self._peer = peer
        self._on_idle = on_idle
        self._on_unrequested = on_unrequested
        self._request_id: str | None = None
        self._observer = ArrivalObserver(peer, self._report_unrequested)
        stream.on_bytes = self._observer.on_bytes
        self._exchange: Exchange | None = None
        self._keep_alive = True
        self._is_framed = True
        self._is_stale = False
        self._stale_responses = 0
        self._stale_bytes = 0
        self._http_parameters = HTTP1ConnectionParameters(
            chunk_size=CONNECTION_READ_CHUNK_BYTES,
            max_header_size=MAX_RESPONSE_HEADER_BYTES,
            max_body_size=_MAX_STREAM_BYTES,
        )
        self._http = HTTP1Connection(stream, True, self._http_parameters)
        self._reader_task = asyncio.get_running_loop().create_task(self._async_read_responses())

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream.closed()

    @callback
    def send(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        match_response: ResponseMatcher,
        request_id: str | None = None,
    ) -> Exchange:
        """Write a request; after this call, bytes may have been sent.

        Args:
            start_line: Request line.
            headers: Request headers without `Content-Length`.
            body: Complete request body.
            match_response: Returns whether response headers belong to this request.
            request_id: Id that answers to the request repeat, for the log.

        Raises:
            ConnectError: The connection was already closed, so nothing was sent.
        """
        if self._stream.closed():
            raise ConnectError(f"{self._peer}: the connection had ended")
        exchange = Exchange(match_response)
        self._exchange = exchange
        self._request_id = request_id
        self._observer.on_request(request_id)
        self._stale_responses = self._stale_bytes = 0
        self.was_used = True
        headers["Content-Length"] = str(len(body))
        if len(body) > LARGE_BODY_BYTES:
            self._http.write_headers(start_line, headers)
            written = self._http.write(body)
        else:
            written = self._http.write_headers(start_line, headers, body)
        # The reader detects a broken stream; retrieving the exception avoids asyncio's warning.
        written.add_done_callback(lambda done: done.cancelled() or done.exception())
        self._http.finish()
        return exchange

    @callback
    def close(self) -> None:
        """Close the connection; an unfinished exchange fails."""
        # First, since the end of the connection completes a response without framing.
        self._fail_exchange()
        self._stream.close()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Handle response headers; an unsolicited response closes the connection."""
        if self._exchange is None or self._exchange.finished:
            self._log_discarded("unsolicited")
            self.close()
            return
        assert isinstance(start_line, ResponseStartLine)
        if 100 <= start_line.code < 200:
            return
        framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        framed = framed or start_line.code in (204, 304)
        self._is_framed = framed
        must_close = headers.get("Connection", "").lower() == "close"
        self._keep_alive = framed and not must_close and start_line.version == "HTTP/1.1"
        match self._exchange.match_response(headers):
            case ResponseMatch.OWN:
                self._exchange.on_head(ResponseHead(start_line.code, headers, framed))
            case ResponseMatch.STALE if self._keep_alive:
                self._begin_stale_response()
            case _:
                self._reject_response("not of this attempt")

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Handle a chunk of the response body."""
        if self._is_stale:
            self._stale_bytes += len(chunk)
            if self._stale_bytes > MAX_STALE_BYTES:
                self._reject_response("too many bytes of earlier answers")
            return None
        if self._exchange is None:
            return None
        return self._exchange.on_data(chunk)

    def finish(self) -> None:
        """Handle the end of the response; a reset of an unframed response is a failure."""
        if self._is_stale:
            return
        if not self._is_framed and self._stream.error is not None:
            self._fail_exchange()
            return
        if self._exchange is not None:
            self._exchange.on_finish()

    def on_connection_close(self) -> None:
        """Handle a connection that closed in the middle of a response."""
        self._fail_exchange()

    async def _async_read_responses(self) -> None:
        """Read responses until the connection closes."""
        try:
            while await self._http.read_response(self):
                if not self._keep_alive or self._stream.closed():
                    break
                if self._is_stale:
                    # The same reader goes on: the request that waits was written through it.
                    self._is_stale = False
                    continue
                self._exchange = None
                self._request_id = None
                self._observer.on_answer_end()
                self._http = HTTP1Connection(self._stream, True, self._http_parameters)
                self._on_idle(self)
        except (StreamClosedError, UnsatisfiableReadError):
            pass
        finally:
            self.close()

    def _begin_stale_response(self) -> None:
        """Read past a response to an earlier request, unless there were too many."""
        self._stale_responses += 1
        if self._stale_responses > MAX_STALE_RESPONSES:
            self._reject_response("too many earlier answers")
            return
        self._is_stale = True
        self._log_discarded("of an earlier attempt")

    def _reject_response(self, reason: str) -> None:
        """Fail the exchange because of a response that is not its own."""
        self._log_discarded(reason)
        if self._exchange is not None:
            self._exchange.on_mismatch()
        self.close()

    def _log_discarded(self, reason: str) -> None:
        """Log an answer that is not passed on."""
        log_event(
            EventCode.ANSWER_DISCARDED, peer=self._peer, reason=reason, request=self._request_id
        )

    def _report_unrequested(self, arrival: UnrequestedBytes) -> None:
        """Log and count bytes that no request asked for."""
        log_unrequested_bytes(arrival)
        if self._on_unrequested is not None:
            self._on_unrequested(arrival)

    def _fail_exchange(self) -> None:
        """Fail the exchange in progress."""
        if self._exchange is not None:
            self._exchange.on_connection_lost()


async def async_open_connection(
    address: str,
    port: int,
    timeout: float,
    on_idle: Callable[[ClientConnection], None],
    on_unrequested: OnUnrequestedBytes | None = None,
) -> ClientConnection:
    """Connect to an endpoint.

    Args:
        address: IP address.
        port: TCP port.
        timeout: Connect timeout in seconds.
        on_idle: Called when a response is complete and the connection can be reused.
        on_unrequested: Called when bytes arrive that no request asked for.

    Raises:
        ConnectError: The connection was refused or timed out.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    try:
        stream = ObservedStream(socket.socket(family, socket.SOCK_STREAM))
    except OSError as error:
        raise ConnectError(str(error)) from error
    try:
        async with asyncio.timeout(timeout):
            await stream.connect((address, port))
    except (OSError, OverflowError, StreamClosedError, TimeoutError) as error:
        stream.close()
        detail = str(error) or type(error).__name__
        cause = error.real_error if isinstance(error, StreamClosedError) else error
        refused = isinstance(cause, ConnectionRefusedError)
        raise ConnectError(f"{address}:{port}: {detail}", refused) from error
    except asyncio.CancelledError:
        stream.close()
        raise
    return ClientConnection(stream, f"{address}:{port}", on_idle, on_unrequested)
