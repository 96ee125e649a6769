"""Entry hosts whose replies have no end or no sense: the load run goes on and reports them."""

from __future__ import annotations

import asyncio
import tracemalloc
from collections.abc import AsyncIterator

import pytest
from endless_server import Endless, EndlessAnswers

from lagoonctl.load import LoadPlan, MemberLoad, Target, async_run_load
from lagoonctl.load.const import CONNECT_TIMEOUT_S
from lagoonwing_core.ids import MemberId

TIMEOUT_S = 1.0
END_S = TIMEOUT_S + CONNECT_TIMEOUT_S + 3.0
# Of some 20 requests at a time.
MAX_HELD_BYTES = 64 * 1024 * 1024

ODD_REPLIES = {
    "retry after": b"HTTP/1.1 429 No\r\nRetry-After: soon\r\nContent-Length: 0\r\n\r\n",
    "result code": b"HTTP/1.1 429 No\r\nX-Result-Code: x\r\nContent-Length: 0\r\n\r\n",
    "outcome": b'HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\ndata: {"outcome": "x"}\n',
    "nested": b"HTTP/1.1 200 OK\r\nContent-Length: 50007\r\n\r\ndata: " + b"[" * 50000 + b"\n",
    "status": b"HTTP/1.1 OK\r\n\r\n",
}


def _plan(port: int, streamed: bool) -> LoadPlan:
    """Return a plan of some 20 requests."""
    member = MemberLoad(MemberId("a"), "key", 400.0)
    target = Target("127.0.0.1", port)
    return LoadPlan((target,), (member,), duration_s=0.05, timeout_s=TIMEOUT_S, streamed=streamed)


@pytest.fixture
async def odd_port(reply: bytes) -> AsyncIterator[int]:
    """Port of an entry host that replies with the same bytes to each request."""

    async def async_reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(async_reply, "127.0.0.1", 0)
    yield server.sockets[0].getsockname()[1]
    server.close()


@pytest.mark.parametrize("streamed", [True, False])
@pytest.mark.parametrize("drips", [False, True])
@pytest.mark.parametrize("part", Endless)
async def test_reply_without_end_is_cut(
    endless_answers: EndlessAnswers, part: Endless, drips: bool, streamed: bool
) -> None:
    """Requests end in time with bounded memory, and the run reports them."""
    tracemalloc.start()
    try:
        async with asyncio.timeout(END_S):
            report = await async_run_load(_plan(endless_answers.port(part, drips), streamed))
        assert tracemalloc.get_traced_memory()[1] < MAX_HELD_BYTES
        assert report.results
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("reply", ODD_REPLIES.values(), ids=ODD_REPLIES.keys())
async def test_odd_reply_does_not_end_the_run(odd_port: int) -> None:
    """A reply that can't be read counts as a result of its request."""
    report = await async_run_load(_plan(odd_port, True))
    assert report.results
