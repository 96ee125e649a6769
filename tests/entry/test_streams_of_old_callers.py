"""A stream to a caller of HTTP/1.0 has no framing: the end of the connection completes it."""

from __future__ import annotations

import asyncio
import json

import pytest
from entry_client import chat, request_bytes
from entry_cluster import Cluster

from lagoonwing_fakes import FakeKind

TIMEOUT_S = 3.0


# Guards against complete streams whose caller waits for their end.
@pytest.mark.parametrize("option", [b"close", b"keep-alive"])
async def test_complete_stream_without_framing_ends_its_connection(
    cluster: Cluster, option: bytes
) -> None:
    """The connection ends even if the caller would have kept it."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    body = json.dumps(chat("x [tokens=3]", stream=True)).encode()
    request = request_bytes("/v1/chat/completions", body).replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    request = request.replace(b"Connection: close", b"Connection: " + option, 1)
    async with asyncio.timeout(TIMEOUT_S):
        answer = await host.async_send_raw(request)
    assert answer.endswith(b"data: [DONE]\n\n")
