"""Server whose answers never end, or end only when the client closes."""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from enum import Enum
from functools import partial
from multiprocessing import get_context
from typing import Any

FILL = b"x" * 65536
DRIP_INTERVAL_S = 0.1
SETTLE_S = 0.2
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


_Key = tuple[Endless, bool]

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


class EndlessAnswers:
    """Process with a port for each part that has no end, at full speed or a byte now and then."""

    def __init__(self) -> None:
        context = get_context("spawn")
        keys = [(part, drips) for part in Endless for drips in (False, True)]
        self._open_by_key = {key: context.Value("i", 0) for key in keys}
        self._port_by_key = {key: context.Value("i", 0) for key in keys}
        self._process = context.Process(
            target=_run, args=(self._open_by_key, self._port_by_key), daemon=True
        )

    def start(self) -> None:
        """Start the process and wait until it listens."""
        self._process.start()
        while not all(port.value for port in self._port_by_key.values()):
            assert self._process.is_alive()
            time.sleep(0.02)

    def stop(self) -> None:
        """End the process."""
        self._process.terminate()
        self._process.join()

    def port(self, part: Endless, drips: bool) -> int:
        """Return the port that answers without end."""
        return int(self._port_by_key[part, drips].value)

    async def async_wait_closed(self, part: Endless, drips: bool, timeout: float) -> None:
        """Wait until the clients of all answers of a port have closed, and their tasks ended."""
        is_open = self._open_by_key[part, drips]
        ends_at = time.monotonic() + timeout
        while is_open.value:
            assert time.monotonic() < ends_at, f"{is_open.value} answers go on"
            await asyncio.sleep(0.02)
        await asyncio.sleep(SETTLE_S)


def _run(open_by_key: dict[_Key, Any], port_by_key: dict[_Key, Any]) -> None:
    """Listen on all ports until terminated."""
    asyncio.run(_async_run(open_by_key, port_by_key))


async def _async_run(open_by_key: dict[_Key, Any], port_by_key: dict[_Key, Any]) -> None:
    """Listen on all ports without end."""
    servers = []
    for key, port in port_by_key.items():
        serve = partial(_async_serve, *key, open_by_key[key])
        server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=1024)
        port.value = server.sockets[0].getsockname()[1]
        servers.append(server)
    await asyncio.Event().wait()


async def _async_serve(
    part: Endless,
    drips: bool,
    open_answers: Any,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer the first request of a connection until the client closes."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        head = await reader.readuntil(b"\r\n\r\n")
        open_answers.value += 1
        try:
            await _async_answer(part, drips, head, writer)
        finally:
            open_answers.value -= 1
    writer.close()


async def _async_answer(
    part: Endless, drips: bool, head: bytes, writer: asyncio.StreamWriter
) -> None:
    """Write until the client closes."""
    echoed = b"".join(_ECHOED.findall(head))
    frame = _DRIP.get(part, b"x") if drips else _FLOOD.get(part, FILL)
    writer.write(_BEGIN[part].replace(b"%s", echoed))
    while True:
        writer.write(frame)
        await writer.drain()
        await asyncio.sleep(DRIP_INTERVAL_S if drips else 0)
