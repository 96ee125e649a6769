"""Responses over HTTP to whoever sent a request: a caller, or another gateway for its caller."""

from __future__ import annotations

from collections.abc import Callable
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_gateway.const import MAX_CALLER_BUFFER_BYTES
from lagoonwing_http import ResponseBudget, ResponseWriter


class HttpResponder:
    """Sends the response to a request; how a refusal is written is left to the protocol."""

    def __init__(
        self,
        connection: HTTP1Connection,
        budget: ResponseBudget,
        method: str,
        is_draining: Callable[[], bool],
    ) -> None:
        self.is_disconnected = False
        self._is_started = False
        self._connection = connection
        self._writer = ResponseWriter(connection, budget)
        self._has_body = method != "HEAD"
        self._is_draining = is_draining
        self._on_disconnect: Callable[[], object] = _noop
        connection.set_close_callback(self._on_close)

    @property
    def is_started(self) -> bool:
        """Whether the head of the response was written."""
        return self._is_started

    @callback
    def set_on_disconnect(self, on_disconnect: Callable[[], object]) -> None:
        """Set the callback for when the caller closes the connection."""
        self._on_disconnect = on_disconnect

    @callback
    def send_response(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a complete response."""
        headers["Content-Length"] = str(len(body))
        self._write_headers(status, headers, body if self._has_body else None)
        self.finish()

    @callback
    def start_stream(self, status: int, headers: HTTPHeaders, content: bytes) -> None:
        """Send the headers and the first bytes of a streamed response."""
        self._write_headers(status, headers, content or None)

    @callback
    def write(self, content: bytes) -> bool:
        """Send bytes of a streamed response; return whether the caller is still connected."""
        if self.is_disconnected:
            return False
        if self._writer.waiting_bytes > MAX_CALLER_BUFFER_BYTES:
            log_event(EventCode.CALLER_LOST, reason="the caller reads too slowly")
            self.abort()
            return False
        self._writer.write(content)
        return True

    @callback
    def finish(self) -> None:
        """Complete a response."""
        if self.is_disconnected:
            return
        try:
            self._writer.finish()
        except StreamClosedError:
            self._on_close()

    @callback
    def abort(self) -> None:
        """Close the connection, so that the response is recognisably incomplete."""
        if not self.is_disconnected:
            self._writer.abort()

    async def async_wait_written(self) -> None:
        """Wait until the caller's connection has taken all bytes, or is closed."""
        await self._writer.async_wait_written()

    def _write_headers(self, status: int, headers: HTTPHeaders, content: bytes | None) -> None:
        """Write response headers and the first bytes of the body."""
        if self.is_disconnected:
            return
        self._is_started = True
        if self._is_draining():
            headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Status"))
        self._writer.write_headers(start_line, headers, content)

    @callback
    def _on_close(self) -> None:
        """Handle a closed caller connection."""
        if self.is_disconnected:
            return
        self.is_disconnected = True
        self._on_disconnect()


def _noop() -> None:
    """Do nothing."""
