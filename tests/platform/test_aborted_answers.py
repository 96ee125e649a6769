"""A stream that is broken off doesn't look complete to its caller."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from platform_deployment import Deployment

from lagoonwing_fakes.platform import WorkHandler, make_caller_headers, make_document
from lagoonwing_fakes.platform.const import ADDRESS
from lagoonwing_platform.const import HEADER_SIGNATURE

TIMEOUT_S = 5.0
EVENT = b"id: 1\ndata: token\n\n"
PAUSE_S = 0.05


async def _async_break_off(handler: WorkHandler) -> None:
    """Send one event and end the connection within the next one."""
    handler.endpoint.executed_ids.append(handler.attempt_id)
    handler.set_header(HEADER_SIGNATURE, "stamp")
    handler.write(EVENT + EVENT[:5])
    await handler.flush()
    await asyncio.sleep(PAUSE_S)
    connection: Any = handler.request.connection
    connection.stream.close()
    handler._finished = True


async def _async_start(deployment: Deployment) -> None:
    """Lead streams that can't be resumed to an endpoint that breaks them off."""
    routes = json.loads(make_document())["routes"]
    routes[2].update({"service": "plain", "resumable": False})
    await deployment.async_set_document(routes=routes)
    endpoint = await deployment.async_add_endpoint("p-1", "plain")
    endpoint.handler_override = _async_break_off


async def _async_answer(deployment: Deployment, version: str) -> bytes:
    """Request a stream and return the bytes up to the end of the connection."""
    reader, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port)
    headers = make_caller_headers("stream", "a-1", deadline_ms=3_000)
    lines = [f"POST /stream/x HTTP/{version}", *(f"{name}: {headers[name]}" for name in headers)]
    writer.write("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.read()
    finally:
        writer.close()


async def test_aborted_chunked_stream_has_no_last_chunk(deployment: Deployment) -> None:
    """A caller of HTTP/1.1 gets what arrived, and no end."""
    await _async_start(deployment)
    answer = await _async_answer(deployment, "1.1")
    assert EVENT in answer
    assert not answer.endswith(b"0\r\n\r\n")


# Guards against streams without framing that end like complete ones when they are broken off.
async def test_aborted_stream_without_framing_ends_with_a_reset(deployment: Deployment) -> None:
    """A caller of HTTP/1.0 can tell a complete stream by its clean end only."""
    await _async_start(deployment)
    with pytest.raises(ConnectionResetError):
        await _async_answer(deployment, "1.0")
