"""A stream to a caller of HTTP/1.0 has no framing: the end of the connection completes it."""

from __future__ import annotations

import asyncio
import json

import pytest
from platform_deployment import Deployment

from lagoonwing_fakes.platform import make_caller_headers, make_document
from lagoonwing_fakes.platform.const import ADDRESS

TIMEOUT_S = 3.0


# Guards against complete streams whose caller waits for their end.
@pytest.mark.parametrize("option", ["close", "keep-alive"])
async def test_complete_stream_without_framing_ends_its_connection(
    deployment: Deployment, option: str
) -> None:
    """The connection ends even if the caller would have kept it."""
    routes = json.loads(make_document())["routes"]
    routes[2].update({"service": "plain"})
    await deployment.async_set_document(routes=routes)
    await deployment.async_add_endpoint("p-1", "plain")
    reader, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port)
    headers = make_caller_headers("stream", "a-1", deadline_ms=3_000)
    lines = ["POST /stream/x HTTP/1.0", *(f"{name}: {headers[name]}" for name in headers)]
    lines.append(f"Connection: {option}")
    writer.write("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())
    try:
        async with asyncio.timeout(TIMEOUT_S):
            answer = await reader.read()
    finally:
        writer.close()
    assert b" 200 " in answer.partition(b"\r\n")[0]
    assert answer.endswith(b"\n\n")
