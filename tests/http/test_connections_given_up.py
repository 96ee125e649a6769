"""What an endpoint sends on a connection that was closed on this side says nothing about it."""

from __future__ import annotations

import asyncio

from raw_endpoint import RawConnection, async_connect

from lagoonwing_http import Exchange

HEAD = b"HTTP/1.1 200 OK\r\nX-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
# More than one read, less than the sockets buffer.
CHUNKS = 100
ARRIVAL_S = 0.02
# After so many turns of the event loop waiting bytes are read, but their reader has not yet run.
TURNS_TO_READ = 2


async def _async_give_up(connection: RawConnection, exchange: Exchange) -> None:
    """Close the connection as a caller does who leaves, and let its reader end."""
    connection.client.close()
    exchange.release()
    await asyncio.sleep(ARRIVAL_S)


# Guards against an endpoint that counts as unreliable since a caller left amid its answer.
async def test_rest_of_an_answer_that_was_given_up_is_not_unrequested() -> None:
    """Bytes that were read before the close, but not yet handled, are the answer's own."""
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1")
        await connection.async_write(HEAD)
        for _ in range(CHUNKS):
            connection.writer.write(CHUNK)
        await exchange.async_read_chunk(1.0)
        await _async_give_up(connection, exchange)
        assert connection.arrivals == []


async def test_bytes_that_arrive_with_the_close_are_not_unrequested() -> None:
    """The close happens in the same turn of the event loop in which bytes were read."""
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1")
        await connection.async_write(HEAD)
        connection.writer.write(CHUNK)
        for _ in range(TURNS_TO_READ):
            await asyncio.sleep(0)
        await _async_give_up(connection, exchange)
        assert connection.arrivals == []
