"""Server whose answers never end, or end only when the client closes."""

from __future__ import annotations

import asyncio
import contextlib
import re
from enum import Enum

FILL = b"x" * 65536
DRIP_INTERVAL_S = 0.1
_HEAD = b"HTTP/1.1 200 OK\r\n%s"
_CHUNKED = b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n"
_ECHOED = re.compile(rb"(?im)^(?:x-request-id|x-attempt|x-lagoonwing-attempt-id):[^\r]*\r\n")


class Endless(Enum):
    """Part of an answer that has no end."""

    STATUS_LINE = "status line"
    HEAD = "head"
    INTERIM = "interim heads"
    BODY_IN_CHUNKS = "body in chunks"
    BODY_WITHOUT_LENGTH = "body without length"
    CHUNK_EXTENSION = "chunk extension"
    TRAILERS = "trailers"


_BEGIN = {
    Endless.STATUS_LINE: b"HTTP/1.1 200 ",
    Endless.HEAD: _HEAD + b"X-Fill: ",
    Endless.INTERIM: b"",
    Endless.BODY_IN_CHUNKS: _CHUNKED,
    Endless.BODY_WITHOUT_LENGTH: _HEAD + b"\r\n",
    Endless.CHUNK_EXTENSION: _CHUNKED + b"1;",
    Endless.TRAILERS: _CHUNKED + b"1\r\nx\r\n0\r\n",
}
_FLOOD = {
    Endless.INTERIM: b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2048,
    Endless.BODY_IN_CHUNKS: b"%x\r\n%s\r\n" % (len(FILL), FILL),
    Endless.TRAILERS: b"X-Fill: x\r\n" * 4096,
}
_DRIP = {
    Endless.INTERIM: b"HTTP/1.1 103 Early Hints\r\n\r\n",
    Endless.BODY_IN_CHUNKS: b"1\r\nx\r\n",
    Endless.TRAILERS: b"X-Fill: x\r\n",
}


class EndlessServer:
    """Answers each request without end.

    Attributes:
        port: Port that it listens on.
        requests: Number of requests that came.
    """

    def __init__(self, part: Endless, drips: bool, frame: bytes | None = None) -> None:
        self.port = 0
        self.requests = 0
        self._open_answers = 0
        self._all_closed = asyncio.Event()
        self._drips = drips
        self._begin = _BEGIN[part]
        self._frame = frame or (_DRIP.get(part, b"x") if drips else _FLOOD.get(part, FILL))
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_setup(self) -> None:
        """Start listening on a free loopback port."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def async_unload(self) -> None:
        """Stop listening and end all answers."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def async_wait_closed(self, timeout: float) -> None:
        """Wait until the clients of all answers have closed their connections."""
        async with asyncio.timeout(timeout):
            await self._all_closed.wait()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the first request of a connection without end."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            self._open_answers += 1
            self._all_closed.clear()
            try:
                await self._async_answer(head, writer)
            finally:
                self._open_answers -= 1
                if not self._open_answers:
                    self._all_closed.set()
        writer.close()

    async def _async_answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        """Write until the client closes."""
        echoed = b"".join(_ECHOED.findall(head))
        writer.write(self._begin.replace(b"%s", echoed))
        while True:
            writer.write(self._frame)
            await writer.drain()
            await asyncio.sleep(DRIP_INTERVAL_S if self._drips else 0)
