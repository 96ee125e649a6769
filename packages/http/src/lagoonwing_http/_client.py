"""HTTP client connections to endpoints that track whether a request may have been sent.

`tornado.httpclient` does not expose whether a failed request was sent at all, and cannot
distinguish a truncated response from a lost connection. Here each connection reads raw bytes in
a dedicated task, so that a close is detected immediately and no byte goes unnoticed that no request
asked for.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Hashable

from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import StreamClosedError

from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_http._answer_reader import AnswerReader
from lagoonwing_http._endpoint_stream import EndpointStream
from lagoonwing_http._exchange import Exchange, ResponseMatcher
from lagoonwing_http._read_turns import ReadTurns
from lagoonwing_http._response_parser import has_close_option
from lagoonwing_http._unrequested_bytes import (
    ArrivalMoment,
    OnUnrequestedBytes,
    UnrequestedBytes,
    log_unrequested_bytes,
)
from lagoonwing_http.const import (
    CONNECTION_READ_CHUNK_BYTES,
    LARGE_BODY_BYTES,
    LOGGED_BYTES,
    MAX_EARLIER_REQUESTS,
)
from lagoonwing_http.errors import AnswerBrokenError, ConnectError, ForeignAnswerError


class ClientConnection:
    """Connection to an endpoint that carries one exchange at a time.

    Attributes:
        was_used: Whether a request has been sent on it.
    """

    def __init__(
        self,
        stream: EndpointStream,
        peer: str,
        on_idle: Callable[[ClientConnection], None],
        on_unrequested: OnUnrequestedBytes | None = None,
        read_turns: ReadTurns | None = None,
    ) -> None:
        self.idle_since = 0.0
        self.was_used = False
        self._stream = stream
        self._peer = peer
        self._on_idle = on_idle
        self._on_unrequested = on_unrequested
        self._read_turns = read_turns or ReadTurns()
        self._reader: AnswerReader | None = None
        self._request_id: str | None = None
        self._request_ids: deque[str] = deque(maxlen=MAX_EARLIER_REQUESTS + 1)
        self._first_bytes = b""
        self._handled_bytes = 0
        self._pause: asyncio.Future[None] | None = None
        self._is_given_up = False
        self._is_last_request = False
        self._reader_task = asyncio.get_running_loop().create_task(self._async_read())

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream.closed()

    @callback
    def check_idle(self) -> bool:
        """Return whether an idle connection can be used; one on which bytes wait is closed."""
        if self.closed or self._stream.received_bytes != self._handled_bytes:
            return False
        waiting = self._stream.peek()
        if waiting is None:
            return True
        if waiting:
            self._report_unrequested(ArrivalMoment.IDLE, len(waiting), waiting)
        self.close()
        return False

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
            request_id: Id that answers to the request repeat, if they do.

        Raises:
            ConnectError: The connection was already closed, so nothing was sent.
        """
        if self._stream.closed():
            raise ConnectError(f"{self._peer}: the connection had ended")
        headers["Content-Length"] = str(len(body))
        head = _encode_head(start_line, headers)
        exchange = Exchange(match_response)
        if request_id:
            self._request_ids.append(request_id)
        self._reader = AnswerReader(exchange, start_line.method, frozenset(self._request_ids))
        self._request_id = request_id
        self._first_bytes = b""
        self._is_last_request = has_close_option(headers)
        self.was_used = True
        if len(body) > LARGE_BODY_BYTES:
            self._stream.write(head).add_done_callback(_retrieve_exception)
            written = self._stream.write(body)
        else:
            written = self._stream.write(head + body)
        written.add_done_callback(_retrieve_exception)
        return exchange

    @callback
    def close(self) -> None:
        """Close the connection; an unfinished exchange fails."""
        self._is_given_up = True
        # First, since the end of the connection completes a response without framing.
        if self._reader is not None:
            self._reader.exchange.on_connection_lost()
            self._reader = None
        self._stream.close()
        # The reader takes what is left in the stream, which would stay in memory.
        if self._pause is not None and not self._pause.done():
            self._pause.set_result(None)

    async def _async_read(self) -> None:
        """Read until the connection closes."""
        try:
            while True:
                data = await self._stream.read_bytes(CONNECTION_READ_CHUNK_BYTES, partial=True)
                turn = self._read_turns.request(self._source(), len(data))
                self._pause = self._on_bytes(data)
                # While the connection waits, only the exchange counts and holds the bytes.
                del data
                if self._pause is not None:
                    await self._pause
                if turn is not None:
                    await turn
                elif self._pause is None:
                    # A read that finds bytes at once doesn't let other tasks run.
                    await asyncio.sleep(0)
        except StreamClosedError:
            # A reset of a response without framing is a failure, its clean end completes it.
            if self._stream.error is None:
                self._on_end()
        finally:
            self.close()

    def _source(self) -> Hashable:
        """Return what the bytes count for in turns: the service of the request, if known."""
        source = () if self._reader is None else self._reader.exchange.source[:1]
        return source or self._peer

    def _on_bytes(self, data: bytes) -> asyncio.Future[None] | None:
        """Handle received bytes; a returned future pauses reading until it is done."""
        if self._is_given_up:
            # They may be the rest of an answer that nobody waits for any more.
            return None
        self._handled_bytes += len(data)
        reader = self._reader
        if reader is None:
            self._log_discarded("unsolicited")
            self._report_unrequested(ArrivalMoment.IDLE, len(data), data)
            self.close()
            return None
        self._first_bytes = (self._first_bytes + data[:LOGGED_BYTES])[:LOGGED_BYTES]
        stale_responses = reader.stale_responses
        try:
            pause = reader.feed(data)
        except AnswerBrokenError as error:
            self._refuse_answer(reader, error)
            return None
        if reader.stale_responses > stale_responses:
            self._log_discarded("of an earlier attempt")
            self._report_exchange(ArrivalMoment.BEFORE, reader)
        if reader.is_complete:
            self._on_answer_end(reader)
        return pause

    def _on_answer_end(self, reader: AnswerReader) -> None:
        """Reuse the connection after a complete answer, unless there were other bytes on it."""
        if reader.remainder:
            self._report_unrequested(ArrivalMoment.BEHIND, len(reader.remainder), reader.remainder)
        self._reader = None
        self._request_id = None
        is_clean = not reader.remainder and not reader.stale_responses
        is_kept = reader.keep_alive and not self._is_last_request
        # The rest of a request that the endpoint hasn't read would stay in memory.
        if not is_clean or not is_kept or self._stream.writing():
            self.close()
            return
        self._on_idle(self)

    def _on_end(self) -> None:
        """Handle the clean end of the connection."""
        if self._reader is None:
            return
        try:
            self._reader.feed_end()
        except AnswerBrokenError:
            self._reader.exchange.on_connection_lost()

    def _refuse_answer(self, reader: AnswerReader, error: AnswerBrokenError) -> None:
        """Fail the exchange because of bytes that are not its answer."""
        self._log_discarded(str(error))
        moment = ArrivalMoment.WITHIN if reader.has_begun else ArrivalMoment.BEFORE
        self._report_exchange(moment, reader)
        if isinstance(error, ForeignAnswerError):
            reader.exchange.on_mismatch()
        self.close()

    def _log_discarded(self, reason: str) -> None:
        """Log an answer that is not passed on."""
        log_event(
            EventCode.ANSWER_DISCARDED, peer=self._peer, reason=reason, request=self._request_id
        )

    def _report_exchange(self, moment: ArrivalMoment, reader: AnswerReader) -> None:
        """Report bytes that arrived in place of the due answer."""
        self._report_unrequested(moment, reader.received_bytes, self._first_bytes)

    def _report_unrequested(self, moment: ArrivalMoment, count: int, first: bytes) -> None:
        """Log and count bytes that no request asked for."""
        arrival = UnrequestedBytes(
            self._peer, moment, count, first[:LOGGED_BYTES], self._request_id
        )
        log_unrequested_bytes(arrival)
        if self._on_unrequested is not None:
            self._on_unrequested(arrival)


def _encode_head(start_line: RequestStartLine, headers: HTTPHeaders) -> bytes:
    """Return the bytes of a request up to its body.

    Raises:
        ValueError: A line break would add a header.
    """
    lines = [f"{start_line.method} {start_line.path} HTTP/1.1".encode()]
    lines += [f"{name}: {value}".encode("latin-1") for name, value in headers.get_all()]
    if any(b"\r" in line or b"\n" in line or b"\0" in line for line in lines):
        raise ValueError("a line of the request has a line break")
    return b"\r\n".join([*lines, b"", b""])


def _retrieve_exception(written: asyncio.Future[None]) -> None:
    """Retrieve the exception of a write, as the reader detects a broken stream."""
    if not written.cancelled():
        written.exception()


async def async_open_connection(
    address: str,
    port: int,
    timeout: float,
    on_idle: Callable[[ClientConnection], None],
    on_unrequested: OnUnrequestedBytes | None = None,
    read_turns: ReadTurns | None = None,
) -> ClientConnection:
    """Connect to an endpoint.

    Args:
        address: IP address.
        port: TCP port.
        timeout: Connect timeout in seconds.
        on_idle: Called when a response is complete and the connection can be reused.
        on_unrequested: Called when bytes arrive that no request asked for.
        read_turns: Turns that it shares with other connections, if any.

    Raises:
        ConnectError: The connection was refused or timed out.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    try:
        stream = EndpointStream(socket.socket(family, socket.SOCK_STREAM))
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
    stream.set_nodelay(True)
    return ClientConnection(stream, f"{address}:{port}", on_idle, on_unrequested, read_turns)
