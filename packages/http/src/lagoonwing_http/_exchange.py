"""One HTTP request and its response, as delivered by the connection's reader."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from tornado.httputil import HTTPHeaders

from lagoonwing_core.callback import callback
from lagoonwing_http._response_budget import HeldBytes, ResponseBudget, ResponseSource
from lagoonwing_http.const import MAX_BUFFERED_RESPONSE_BYTES
from lagoonwing_http.errors import AnswerBrokenError, AnswerTooLargeError, ForeignAnswerError


class ResponseMatch(Enum):
    """Which request a response belongs to.

    OWN: the one that waits for it. STALE: an earlier one on the connection, by the id that it
    names. UNKNOWN: it doesn't say so.
    """

    OWN = "own"
    STALE = "stale"
    UNKNOWN = "unknown"


ResponseMatcher = Callable[[HTTPHeaders], ResponseMatch]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        is_framed: Whether the end of the body can be distinguished from a lost connection.
    """

    status: int
    headers: HTTPHeaders
    is_framed: bool


class Exchange:
    """One request and its response.

    Attributes:
        match_response: Returns whether response headers belong to this request.
        source: Where the response comes from, for its budget and for read turns.
    """

    def __init__(self, match_response: ResponseMatcher) -> None:
        self.match_response = match_response
        self._head: ResponseHead | None = None
        self._head_ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._is_foreign = False
        self._chunks: deque[bytes] = deque()
        self._body: list[bytes] = []
        self._buffered_bytes = 0
        self._body_bytes = 0
        self._rest_bytes = 0
        self.source: ResponseSource = ()
        self._held: HeldBytes | None = None
        self._is_released = False
        self._gave_way = False
        self._data_ready: asyncio.Future[None] | None = None
        self._buffer_drained: asyncio.Future[None] | None = None
        self._timed_out = False
        self._finished = False
        self._broken = False
        self._idle_deadline = 0.0
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def finished(self) -> bool:
        """Whether the complete response has been received."""
        return self._finished

    @callback
    def count_in(self, budget: ResponseBudget, source: ResponseSource = ()) -> None:
        """Count the bytes of the response in a budget until the exchange is released."""
        self.source = source
        self._held = budget.open(self._give_way, source)

    @callback
    def set_rest(self, count: int) -> None:
        """Set the number of bytes that a reader of chunks still holds of the earlier ones."""
        self._rest_bytes = count
        self._update_held()

    async def async_read_head(self) -> ResponseHead:
        """Wait for the response status and headers.

        Raises:
            AnswerBrokenError: The connection closed first.
        """
        # Shielded, so that a reader whose wait timed out may wait again.
        await asyncio.shield(self._head_ready)
        if self._head is not None:
            return self._head
        # Raised here, as an exception that a future keeps would keep the frames of its readers.
        if self._is_foreign:
            raise ForeignAnswerError("the answer is not of this attempt")
        raise AnswerBrokenError("the connection ended before an answer")

    async def async_read_chunk(self, timeout: float) -> bytes | None:
        """Wait for the next chunk of the body; return `None` at its end.

        Args:
            timeout: Maximum time without data, in seconds.

        Raises:
            AnswerBrokenError: The connection closed before the body was complete.
            AnswerTooLargeError: The response gave way to others; the caller must close the
                connection.
            TimeoutError: No data was received within the timeout.
        """
        while not self._chunks:
            if self._gave_way:
                raise AnswerTooLargeError("the answer gave way, as answers take all memory")
            if self._is_released:
                raise AnswerBrokenError("the answer was given up")
            if self._finished:
                return None
            if self._broken:
                raise AnswerBrokenError("the connection ended in the middle of the answer")
            self._data_ready = asyncio.get_running_loop().create_future()
            self._timed_out = False
            self._arm_idle_timer(timeout)
            await self._data_ready
            if self._timed_out:
                raise TimeoutError
        data = b"".join(self._chunks) if len(self._chunks) > 1 else self._chunks[0]
        self._chunks.clear()
        self._buffered_bytes = 0
        self._update_held()
        self._resume_reading()
        return data

    async def async_read_body(self, timeout: float, max_bytes: int) -> bytes:
        """Wait for the complete body.

        Args:
            timeout: Maximum time until the body is complete, in seconds.
            max_bytes: Maximum size of the body.

        Raises:
            AnswerBrokenError: The connection closed before the body was complete.
            AnswerTooLargeError: The body exceeds `max_bytes`, or gave way to other responses; the
                caller must close the connection.
            TimeoutError: The body was not complete in time.
        """
        try:
            async with asyncio.timeout(timeout):
                while (chunk := await self.async_read_chunk(timeout)) is not None:
                    self._body_bytes += len(chunk)
                    if self._body_bytes > max_bytes:
                        raise AnswerTooLargeError(f"the answer exceeds {max_bytes} bytes")
                    # Not in a local variable: the traceback of an exception would keep it alive.
                    self._body.append(chunk)
                    self._update_held()
            return b"".join(self._body)
        finally:
            self._body.clear()

    @callback
    def release(self) -> None:
        """Drop the bytes of the response, those that still arrive too; nothing more can be read."""
        self._is_released = True
        self.cancel_idle_timer()
        self._chunks.clear()
        self._body.clear()
        self._buffered_bytes = 0
        if self._held is not None:
            self._held.close()
        self._resume_reading()
        self._wake()

    @callback
    def cancel_idle_timer(self) -> None:
        """Cancel the idle timer."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    @callback
    def on_head(self, head: ResponseHead) -> None:
        """Handle the response status and headers."""
        if not self._head_ready.done():
            self._head = head
            self._head_ready.set_result(None)

    @callback
    def on_data(self, data: bytes) -> asyncio.Future[None] | None:
        """Buffer a chunk of the body; a returned future pauses reading until it is done."""
        if self._is_released:
            return None
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        self._update_held()
        self._wake()
        if self._buffered_bytes < MAX_BUFFERED_RESPONSE_BYTES:
            return None
        self._buffer_drained = asyncio.get_running_loop().create_future()
        return self._buffer_drained

    @callback
    def on_finish(self) -> None:
        """Handle the end of a complete response."""
        if self._broken:
            return
        self._finished = True
        self.cancel_idle_timer()
        self._wake()

    @callback
    def on_mismatch(self) -> None:
        """Handle a response that belongs to another request."""
        if not self._head_ready.done():
            self._is_foreign = True
            self._head_ready.set_result(None)

    @callback
    def on_connection_lost(self) -> None:
        """Handle the loss of the connection."""
        if self._finished:
            return
        self._broken = True
        self.cancel_idle_timer()
        if not self._head_ready.done():
            self._head_ready.set_result(None)
        self._wake()

    def _update_held(self) -> None:
        """Count the bytes that are held now; the response may give way."""
        if self._held is not None:
            self._held.resize(self._buffered_bytes + self._body_bytes + self._rest_bytes)

    def _give_way(self) -> None:
        """Drop the response, since all responses together take too much memory."""
        self._gave_way = True
        self.release()

    def _resume_reading(self) -> None:
        """Let the connection read on, if it was paused."""
        if self._buffer_drained is not None and not self._buffer_drained.done():
            self._buffer_drained.set_result(None)

    def _arm_idle_timer(self, timeout: float) -> None:
        """Arm the idle timeout; the timer is reused, because each token is a separate wait."""
        loop = asyncio.get_running_loop()
        self._idle_deadline = loop.time() + timeout
        if self._idle_timer is not None and self._idle_timer.when() > self._idle_deadline:
            self.cancel_idle_timer()
        if self._idle_timer is None:
            self._idle_timer = loop.call_at(self._idle_deadline, self._on_idle_timer)

    def _on_idle_timer(self) -> None:
        """Fail the pending wait if it has timed out, otherwise re-arm the timer."""
        self._idle_timer = None
        if self._data_ready is None or self._data_ready.done():
            return
        loop = asyncio.get_running_loop()
        if loop.time() < self._idle_deadline:
            self._idle_timer = loop.call_at(self._idle_deadline, self._on_idle_timer)
            return
        self._timed_out = True
        self._data_ready.set_result(None)

    def _wake(self) -> None:
        """Wake the waiting reader."""
        if self._data_ready is not None and not self._data_ready.done():
            self._data_ready.set_result(None)
