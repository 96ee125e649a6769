"""An answer that comes before the endpoint has read the request's body."""

from __future__ import annotations

from functools import partial

from raw_endpoint import answer, async_connect, async_read, match_response
from tornado.httputil import HTTPHeaders, RequestStartLine

# More than the sockets buffer.
BODY = b"x" * (16 * 1024 * 1024)


# Guards against request bodies, counted nowhere, that idle connections hold.
async def test_connection_whose_request_is_not_written_is_not_kept() -> None:
    """The answer is delivered, and the rest of the body is dropped with the connection."""
    async with async_connect() as connection:
        exchange = connection.client.send(
            RequestStartLine("POST", "/x", "HTTP/1.1"),
            HTTPHeaders(),
            BODY,
            partial(match_response, "a-1"),
            "a-1",
        )
        await connection.async_write(answer("a-1", 500))
        assert await async_read(exchange) == (500, b"done")
        assert connection.client.closed
        assert connection.idle == []
        assert connection.arrivals == []
