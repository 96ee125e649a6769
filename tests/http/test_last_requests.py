"""A request that asks its endpoint to close the connection is the last one on it."""

from __future__ import annotations

from functools import partial

import pytest
from raw_endpoint import answer, async_connect, async_read, match_response
from tornado.httputil import HTTPHeaders, RequestStartLine


# Guards against requests on a connection that the endpoint was asked to close.
@pytest.mark.parametrize("option", ["close", "Close", "x, close"])
async def test_connection_that_was_to_be_closed_is_not_kept(option: str) -> None:
    """The answer is delivered though it doesn't repeat the option."""
    async with async_connect() as connection:
        exchange = connection.client.send(
            RequestStartLine("GET", "/x", "HTTP/1.1"),
            HTTPHeaders({"Connection": option}),
            b"",
            partial(match_response, "a-1"),
            "a-1",
        )
        await connection.async_write(answer("a-1"))
        assert await async_read(exchange) == (200, b"done")
        assert connection.client.closed
        assert connection.idle == []
        assert connection.arrivals == []
