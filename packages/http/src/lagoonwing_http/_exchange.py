"""One request to an endpoint and its answer, as the connection's reader hands it over."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from lagoonwing_core.callback import callback
from lagoonwing_http.const import MAX_UNREAD_ANSWER_BYTES
from lagoonwing_http.errors import AnswerBrokenError, ForeignAnswerError


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
