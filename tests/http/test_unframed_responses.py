"""A response to a caller of HTTP/1.0 that has no length: its connection ends after all bytes."""

from __future__ import annotations

import asyncio

import pytest
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from lagoonwing_http import ResponseBudget, ResponseWriter

ADDRESS = "127.0.0.1"
# More than the buffers of the sockets hold, so that bytes wait when the response is finished.
BODY = b"x" * (16 * 1024 * 1024)
PAUSE_S = 0.2
TIMEOUT_S = 5.0


def _respond(request: HTTPServerRequest) -> None:
    """Write a response without a length."""
    connection = request.connection
    assert isinstance(connection, HTTP1Connection)
    writer = ResponseWriter(connection, ResponseBudget(2 * len(BODY)))
    writer.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), HTTPHeaders(), BODY)
    writer.finish()


# Guards against a close that cuts the bytes which a slow caller has not taken yet.
@pytest.mark.parametrize("option", ["close", "keep-alive"])
async def test_slow_caller_gets_all_bytes_before_the_end(option: str) -> None:
    """The connection ends after the last byte, not with the call that finishes the response."""
    server = HTTPServer(_respond)
    sockets = bind_sockets(0, ADDRESS)
    server.add_sockets(sockets)
    reader, writer = await asyncio.open_connection(ADDRESS, sockets[0].getsockname()[1])
    try:
        writer.write(f"GET / HTTP/1.0\r\nConnection: {option}\r\n\r\n".encode())
        await asyncio.sleep(PAUSE_S)
        async with asyncio.timeout(TIMEOUT_S):
            answer = await reader.read()
    finally:
        writer.close()
        server.stop()
        await server.close_all_connections()
    assert len(answer.partition(b"\r\n\r\n")[2]) == len(BODY)
