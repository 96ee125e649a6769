"""Two entry hosts joined by membership over authenticated channels."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from entry_cell import ADDRESS, Cell, Host, PeerPlan, async_announce, async_until, chat_prompt
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.testing import bind_unused_port

from lagoonwing_core.ids import ModelId
from lagoonwing_fakes import FakeEndpoint, FakeKind, expected_text


def _unused_port() -> int:
    """Return a port that nothing listens on."""
    sock, port = bind_unused_port()
    sock.close()
    return port


@pytest.fixture
async def pair(tmp_path: Path) -> AsyncIterator[tuple[Cell, Host, Host, PeerPlan]]:
    """Two hosts that know each other."""
    cell = Cell(tmp_path)
    ports = (_unused_port(), _unused_port())
    plan = PeerPlan({"e1": ports[0], "e2": ports[1]})
    first = await cell.async_add_host(peers=plan)
    second = await cell.async_add_host(peers=plan)
    yield cell, first, second, plan
    await cell.async_close()


async def _async_announce_to(host: Host, fake: FakeEndpoint, sequence: int, state: str) -> None:
    """Announce to one host alone."""
    await async_announce(host.announce_address, {**fake.record(state), "sequence": sequence})


async def test_an_announcement_to_one_host_serves_at_the_other(
    pair: tuple[Cell, Host, Host, PeerPlan],
) -> None:
    """Records and leaves spread from host to host."""
    cell, first, second, _ = pair
    fake = await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1", announced=False)
    await _async_announce_to(first, fake, 1, "serving")
    directory = second.entry.directory
    await async_until(lambda: directory.models() == [ModelId("m1")])
    streamed = await second.async_stream("across")
    assert streamed.text == expected_text(chat_prompt("across"))
    await _async_announce_to(first, fake, 2, "leaving")
    await async_until(lambda: not directory.models())


async def test_garbage_on_the_peer_port_harms_nobody(
    pair: tuple[Cell, Host, Host, PeerPlan],
) -> None:
    """Strangers are cut off before any message is believed, and the host goes on."""
    cell, first, second, plan = pair
    for garbage in (b"\x00" * 100, b"\xff\xff\xff\xff", b"GET / HTTP/1.1\r\n\r\n"):
        stream = await TCPClient().connect(ADDRESS, plan.port_by_host["e1"])
        await stream.write(garbage)
        with pytest.raises(StreamClosedError):
            await asyncio.wait_for(stream.read_until(b"never"), 10)
    fake = await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1", announced=False)
    await _async_announce_to(second, fake, 1, "serving")
    await async_until(lambda: first.entry.directory.models())
    assert (await first.async_chat("still here")).code == 200
