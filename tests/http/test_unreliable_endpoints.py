"""No connection is kept to an endpoint that sends bytes that no request asked for."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from functools import partial

import pytest
from raw_endpoint import ADDRESS, TIMEOUT_S, answer, async_read, match_response
from tornado.httputil import HTTPHeaders, RequestStartLine

from lagoonwing_core.clock import ManualClock
from lagoonwing_http import ClientConnection, ConnectionPool, PoolSettings
from lagoonwing_http.const import UNREQUESTED_BYTES_MEMORY_S

POOL_SETTINGS = PoolSettings(connect_timeout_s=TIMEOUT_S, idle_timeout_s=600.0, max_idle=8)
SETTLE_S = 0.02


@dataclass
class StutteringEndpoint:
    """An endpoint that writes bytes behind its answers, and a pool of connections to it.

    Attributes:
        late_bytes: What it writes once an answer has been read.
        writers: Connections of the endpoint, in the order in which they were opened.
    """

    port: int
    pool: ConnectionPool[str]
    clock: ManualClock
    late_bytes: bytes = b""
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def async_acquire(self) -> ClientConnection:
        """Take a connection from the pool."""
        return await self.pool.async_acquire("key", ADDRESS, self.port, fresh=False)

    async def async_request(self, request_id: str) -> int:
        """Send a request and return the status."""
        connection = await self.async_acquire()
        exchange = connection.send(
            RequestStartLine("GET", "/x", "HTTP/1.1"),
            HTTPHeaders({"X-Id": request_id}),
            b"",
            partial(match_response, request_id),
            request_id,
        )
        status, _ = await async_read(exchange)
        await asyncio.sleep(SETTLE_S)
        return status

    async def async_serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                writer.write(answer(head.split("X-Id: ")[1].split("\r\n")[0]))
                if self.late_bytes:
                    await asyncio.sleep(SETTLE_S / 2)
                    writer.write(self.late_bytes)
        except (EOFError, ConnectionError):
            writer.close()


@pytest.fixture
async def endpoint() -> AsyncIterator[StutteringEndpoint]:
    """Run an endpoint with a pool."""
    clock = ManualClock()
    running = StutteringEndpoint(0, ConnectionPool(POOL_SETTINGS, clock), clock)
    server = await asyncio.start_server(running.async_serve, ADDRESS, 0)
    running.port = server.sockets[0].getsockname()[1]
    yield running
    running.pool.close()
    for writer in running.writers:
        writer.close()
    server.close()
    await server.wait_closed()


async def test_connections_to_a_sound_endpoint_are_kept(endpoint: StutteringEndpoint) -> None:
    """Requests one after another use one connection."""
    for number in range(3):
        assert await endpoint.async_request(f"a-{number}") == 200
    assert len(endpoint.writers) == 1


# Guards against a request whose answer stands behind bytes of an earlier one.
async def test_endpoint_that_stutters_gets_a_new_connection_for_each_request(
    endpoint: StutteringEndpoint,
) -> None:
    """Its other idle connections are closed, and none is kept for a while."""
    held = [await endpoint.async_acquire() for _ in range(2)]
    for connection in held:
        connection._on_idle(connection)
    endpoint.late_bytes = b"HTTP/1.1 2"
    assert await endpoint.async_request("a-0") == 200
    assert all(connection.closed for connection in held)
    endpoint.late_bytes = b""
    for number in range(1, 4):
        assert await endpoint.async_request(f"a-{number}") == 200
    assert len(endpoint.writers) == 5
    endpoint.clock.advance(UNREQUESTED_BYTES_MEMORY_S)
    for number in range(4, 7):
        assert await endpoint.async_request(f"a-{number}") == 200
    assert len(endpoint.writers) == 6


@pytest.mark.parametrize("late_bytes", [b"H", b""])
async def test_request_is_not_sent_where_bytes_or_an_end_wait_unread(
    endpoint: StutteringEndpoint, late_bytes: bytes
) -> None:
    """What came since the event loop last ran is found when a connection is taken."""
    assert await endpoint.async_request("a-0") == 200
    raw_socket = endpoint.writers[0].get_extra_info("socket")
    with raw_socket.dup() as duplicate:
        if late_bytes:
            duplicate.sendall(late_bytes)
        else:
            duplicate.shutdown(socket.SHUT_WR)
        # The event loop doesn't run in between.
        time.sleep(SETTLE_S)  # noqa: ASYNC251
        connection = await endpoint.async_acquire()
    assert not connection.was_used


async def test_request_is_not_sent_where_read_bytes_are_not_handled_yet(
    endpoint: StutteringEndpoint,
) -> None:
    """Bytes between the socket and the reader count as waiting."""
    assert await endpoint.async_request("a-0") == 200
    connection = await endpoint.async_acquire()
    assert connection.check_idle()
    connection._stream.received_bytes += 1
    assert not connection.check_idle()
