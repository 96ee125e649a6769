"""Two entry hosts connected by membership over authenticated channels."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from entry_client import async_announce, chat_prompt
from entry_cluster import Cluster, Host, PeerPorts, async_wait_until
from entry_const import ADDRESS
from ports import reserve_port
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from lagoonwing_core.ids import ModelId
from lagoonwing_fakes import FakeEndpoint, FakeKind, expected_text


@pytest.fixture
async def pair(tmp_path: Path) -> AsyncIterator[tuple[Cluster, Host, Host, PeerPorts]]:
    """Two hosts that are configured as peers."""
    cluster = Cluster(tmp_path)
    ports = (reserve_port(), reserve_port())
    plan = PeerPorts({"e1": ports[0], "e2": ports[1]})
    first = await cluster.async_add_host(peers=plan)
    second = await cluster.async_add_host(peers=plan)
    yield cluster, first, second, plan
    await cluster.async_close()


async def _async_announce_to(host: Host, fake: FakeEndpoint, sequence: int, state: str) -> None:
    """Announce an endpoint to one host only."""
    await async_announce(
        host.announce_address, {**fake.announcement_record(state), "sequence": sequence}
    )


async def test_announcement_propagates_to_the_other_host(
    pair: tuple[Cluster, Host, Host, PeerPorts],
) -> None:
    """Endpoint records and leaves propagate between hosts."""
    cluster, first, second, _ = pair
    fake = await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1", announced=False)
    await _async_announce_to(first, fake, 1, "serving")
    directory = second.entry.directory
    await async_wait_until(lambda: directory.models() == [ModelId("m1")])
    streamed = await second.async_stream("across")
    assert streamed.text == expected_text(chat_prompt("across"))
    await _async_announce_to(first, fake, 2, "leaving")
    await async_wait_until(lambda: not directory.models())


async def test_invalid_data_on_the_peer_port_closes_the_connection(
    pair: tuple[Cluster, Host, Host, PeerPorts],
) -> None:
    """Unauthenticated peers are disconnected before any message is processed; the host goes on."""
    cluster, first, second, plan = pair
    for garbage in (b"\x00" * 100, b"\xff\xff\xff\xff", b"GET / HTTP/1.1\r\n\r\n"):
        stream = await TCPClient().connect(ADDRESS, plan.port_by_host["e1"])
        await stream.write(garbage)
        with pytest.raises(StreamClosedError):
            await asyncio.wait_for(stream.read_until(b"never"), 10)
    fake = await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1", announced=False)
    await _async_announce_to(second, fake, 1, "serving")
    await async_wait_until(lambda: first.entry.directory.models())
    assert (await first.async_chat("still here")).code == 200
