"""An endpoint whose test writes each byte, and a client connection to it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial

from tornado.httputil import HTTPHeaders, RequestStartLine

from lagoonwing_http import (
    ClientConnection,
    Exchange,
    ResponseMatch,
    UnrequestedBytes,
    async_open_connection,
)

ADDRESS = "127.0.0.1"
TIMEOUT_S = 5.0
ID_HEADER = "X-Id"


def answer(request_id: str, status: int = 200, body: bytes = b"done") -> bytes:
    """Return the bytes of an answer."""
    head = f"HTTP/1.1 {status} S\r\n{ID_HEADER}: {request_id}\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def match_response(request_id: str, headers: HTTPHeaders) -> ResponseMatch:
    """Match a response by its id."""
    return ResponseMatch.OWN if headers.get(ID_HEADER) == request_id else ResponseMatch.STALE


@dataclass
class RawConnection:
    """A connection and the endpoint's side of it."""

    client: ClientConnection
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    arrivals: list[UnrequestedBytes]
    idle: list[ClientConnection] = field(default_factory=list)

    async def async_send(self, request_id: str, method: str = "GET") -> Exchange:
        """Send a request and wait until the endpoint has read it."""
        exchange = self.client.send(
            RequestStartLine(method, "/x", "HTTP/1.1"),
            HTTPHeaders(),
            b"",
            partial(match_response, request_id),
            request_id,
        )
        await self.reader.readuntil(b"\r\n\r\n")
        return exchange

    async def async_write(self, data: bytes) -> None:
        """Write bytes as the endpoint, and let the client read them, unless it has closed."""
        with contextlib.suppress(ConnectionError):
            self.writer.write(data)
            await self.writer.drain()
        await asyncio.sleep(0.02)


async def async_read(exchange: Exchange) -> tuple[int, bytes]:
    """Return status and body of an answer."""
    async with asyncio.timeout(TIMEOUT_S):
        head = await exchange.async_read_head()
        return head.status, await exchange.async_read_body(TIMEOUT_S, 1 << 20)


@asynccontextmanager
async def async_connect() -> AsyncIterator[RawConnection]:
    """Open a connection to an endpoint of its own."""
    accepted: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await accepted.put((reader, writer))

    server = await asyncio.start_server(accept, ADDRESS, 0)
    port = server.sockets[0].getsockname()[1]
    arrivals: list[UnrequestedBytes] = []
    idle: list[ClientConnection] = []
    client = await async_open_connection(ADDRESS, port, TIMEOUT_S, idle.append, arrivals.append)
    reader, writer = await accepted.get()
    try:
        yield RawConnection(client, reader, writer, arrivals, idle)
    finally:
        client.close()
        writer.close()
        server.close()
        await server.wait_closed()
