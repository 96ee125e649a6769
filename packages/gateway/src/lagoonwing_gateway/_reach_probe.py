"""Finds out whether an endpoint, or another gateway, answers this gateway at all."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.httputil import HTTPHeaders, RequestStartLine

from lagoonwing_gateway.const import PROBE_ATTEMPTS, PROBE_TIMEOUT_S, REACH_ANSWER_TIMEOUT_S
from lagoonwing_http import (
    AnswerBrokenError,
    ClientConnection,
    ConnectError,
    ResponseMatch,
    async_open_connection,
)


def _ignore_connect() -> None:
    """Ignore that a connection is opened."""


async def async_probe_reach(
    address: str, port: int, path: str, on_connect: Callable[[], None] = _ignore_connect
) -> bool:
    """Return whether a server answers a request, whatever it says.

    An open connection is no proof: whatever stands between may accept it, and pass nothing on.

    Args:
        address: IP address of the server.
        port: TCP port of the server.
        path: Path of the request.
        on_connect: Called before each attempt to connect.
    """
    connection = await _async_connect(address, port, on_connect)
    if connection is None:
        return False
    try:
        exchange = connection.send(
            RequestStartLine("GET", path, "HTTP/1.1"),
            HTTPHeaders({"Host": f"{address}:{port}", "Connection": "close"}),
            b"",
            lambda headers: ResponseMatch.OWN,
        )
        async with asyncio.timeout(REACH_ANSWER_TIMEOUT_S):
            await exchange.async_read_head()
        return True
    except (AnswerBrokenError, ConnectError, TimeoutError):
        return False
    finally:
        connection.close()


async def _async_connect(
    address: str, port: int, on_connect: Callable[[], None]
) -> ClientConnection | None:
    """Open a connection; a single packet may be lost."""
    for _ in range(PROBE_ATTEMPTS):
        on_connect()
        try:
            return await async_open_connection(
                address, port, PROBE_TIMEOUT_S, lambda connection: None
            )
        except ConnectError as error:
            if error.refused:
                return None
    return None
