"""Finds out whether an endpoint answers this gateway at all."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.httputil import HTTPHeaders, RequestStartLine

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_gateway.const import PROBE_ATTEMPTS, PROBE_TIMEOUT_S, REACH_ANSWER_TIMEOUT_S
from lagoonwing_gateway.models import ConnectionReason
from lagoonwing_http import (
    AnswerBrokenError,
    ClientConnection,
    ConnectError,
    ResponseMatch,
    async_open_connection,
)


async def async_probe_reach(
    record: EndpointRecord, health_path: str, on_connect: Callable[[ConnectionReason], None]
) -> bool:
    """Return whether an endpoint answers a health check, whatever it says.

    An open connection is no proof: whatever stands between may accept it, and pass nothing on.
    """
    connection = await _async_connect(record, on_connect)
    if connection is None:
        return False
    try:
        exchange = connection.send(
            RequestStartLine("GET", health_path, "HTTP/1.1"),
            HTTPHeaders({"Host": record.socket_address, "Connection": "close"}),
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
    record: EndpointRecord, on_connect: Callable[[ConnectionReason], None]
) -> ClientConnection | None:
    """Connect to an endpoint; a single packet may be lost."""
    for _ in range(PROBE_ATTEMPTS):
        on_connect(ConnectionReason.PROBE_REACH)
        try:
            return await async_open_connection(
                record.address, record.port, PROBE_TIMEOUT_S, lambda connection: None
            )
        except ConnectError as error:
            if error.refused:
                return None
    return None
