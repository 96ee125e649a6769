"""Responses that are written to a caller, who may read slowly."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_http._response_budget import HeldBytes, ResponseBudget
from lagoonwing_http.const import LARGE_BODY_BYTES

# Option of a socket whose close resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResponseWriter:
    """Writes one response; bytes that the caller hasn't taken count in the budget."""

    def __init__(self, connection: HTTP1Connection, budget: ResponseBudget) -> None:
        self._connection = connection
        self._budget = budget
        self._held: HeldBytes | None = None
        self._is_framed = True

    @property
    def waiting_bytes(self) -> int:
        """Number of bytes that the caller hasn't taken."""
        stream = self._connection.stream
        if stream is None or stream.closed():
            return 0
        return len(stream._write_buffer)

    @callback
    def write_headers(
        self, start_line: ResponseStartLine, headers: HTTPHeaders, content: bytes | None
    ) -> None:
        """Write the head and the first bytes of the body."""
        # Together with its head a large body would be copied.
        is_large = content is not None and len(content) > LARGE_BODY_BYTES
        first = None if is_large else content
        ignore_write_failure(self._connection.write_headers(start_line, headers, first))
        # The connection adds a header if it writes the response in chunks.
        self._is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if is_large and content is not None:
            self.write(content)
        else:
            self._count_waiting()

    @callback
    def write(self, content: bytes) -> None:
        """Write bytes of the body."""
        ignore_write_failure(self._connection.write(content))
        self._count_waiting()

    @callback
    def finish(self) -> None:
        """Complete the response; without framing the end of the connection completes it.

        Raises:
            StreamClosedError: The caller closed the connection.
        """
        stream = self._connection.stream
        self._connection.finish()
        if self._is_framed or stream is None or stream.closed():
            return
        # The connection would be kept for a caller of HTTP/1.0 that asks for keep-alive.
        written = stream.write(b"")
        ignore_write_failure(written)
        written.add_done_callback(lambda done: stream.close())

    @callback
    def abort(self) -> None:
        """Close the connection, so that the response is recognisably incomplete."""
        stream = self._connection.stream
        if stream is None or stream.closed():
            return
        if not self._is_framed:
            # The clean end of the connection would complete the response.
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.close()

    async def async_wait_written(self) -> None:
        """Wait until the caller's connection has taken all bytes, or is closed."""
        stream = self._connection.stream
        if stream is None or not stream.writing():
            return
        with contextlib.suppress(StreamClosedError):
            await stream.write(b"")

    def _count_waiting(self) -> None:
        """Count the bytes that wait, until they are written."""
        count = self.waiting_bytes
        if count == 0:
            self._release()
            return
        if self._held is None:
            self._held = self._budget.open(self._give_way)
            written = self._connection.stream.write(b"")
            written.add_done_callback(self._on_written)
        self._held.resize(count)

    def _on_written(self, written: asyncio.Future[None]) -> None:
        """Count what was written since, if anything."""
        if not written.cancelled():
            written.exception()
        self._release()
        self._count_waiting()

    def _release(self) -> None:
        """Release the bytes that waited."""
        if self._held is not None:
            self._held.close()
            self._held = None

    def _give_way(self) -> None:
        """Break the response off."""
        log_event(EventCode.CALLER_LOST, reason="answers take all memory")
        self.abort()


def ignore_write_failure(written: asyncio.Future[None]) -> None:
    """Ignore a failed write; the connection's close callback handles it."""
    written.add_done_callback(lambda done: done.cancelled() or done.exception())
