"""The gateway's copy of the catalog misses no change, however late a replica answers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec
import pytest
from ports import reserve_port
from registry_cluster import KEY, async_wait_until, make_follower

from lagoonwing_catalog import make_stored_document
from lagoonwing_catalog.const import PROTOCOL
from lagoonwing_catalog.messages import (
    CATALOG_DECODER,
    Delta,
    Freshness,
    Refused,
    ReplicaAddress,
    Subscribe,
    Subscribed,
)
from lagoonwing_core.ids import HostId, Revision
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_fakes.platform import make_document
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_platform.documents import decode_document
from lagoonwing_wire import Channel, ChannelServer, Handlers, Identity

ADDRESS = "127.0.0.1"
REVISION = Revision(6)
FRESHNESS_INTERVAL_S = 0.1


class ScriptedReplica:
    """A replica whose answers to `Subscribe` a test decides.

    Attributes:
        subscribes: Received subscriptions, with their channels.
        answer: Answers one subscription; returns whether it is accepted.
    """

    def __init__(self) -> None:
        self.port = reserve_port(ADDRESS)
        self.subscribes: list[tuple[Channel[Any], Subscribe]] = []
        self.answer: Callable[[Channel[Any], Subscribe], bool] = lambda channel, message: True
        self._identity = Identity(HostId(ADDRESS), KEY)
        self._server = ChannelServer(self._identity, ADDRESS, self.port)
        self._server.register(
            PROTOCOL,
            Handlers(
                decoder=CATALOG_DECODER,
                on_push=lambda channel, message: None,
                async_on_call=self._async_on_call,
                on_closed=lambda channel: None,
            ),
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def seed(self) -> ReplicaAddress:
        """Address of the replica."""
        return ReplicaAddress(HostId(ADDRESS), ADDRESS, self.port)

    async def async_setup(self) -> None:
        """Start listening."""
        await self._server.async_setup()

    async def async_unload(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        await self._server.async_unload()

    async def _async_on_call(self, channel: Channel[Any], message: Any) -> msgspec.Struct:
        """Answer a subscription, or keep silent."""
        assert isinstance(message, Subscribe)
        self.subscribes.append((channel, message))
        if not self.answer(channel, message):
            await asyncio.sleep(60.0)
            return Refused(ResultCode.NO_QUORUM, "late")
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._async_push_freshness(channel)))
        loop.call_soon(channel.push, full_delta())
        return Subscribed((self.seed,), 1)

    async def _async_push_freshness(self, channel: Channel[Any]) -> None:
        """Say again and again that the state is current."""
        while channel.push(Freshness(REVISION, 0.0, 1)):  # noqa: ASYNC110
            await asyncio.sleep(FRESHNESS_INTERVAL_S)


def full_delta() -> Delta:
    """Return the whole state."""
    source = make_document(version=3)
    document = make_stored_document(decode_document(source).ok, source)
    return Delta(REVISION, True, document.compressed_document, (), Revision(0))


@pytest.fixture
async def replica() -> AsyncIterator[ScriptedReplica]:
    """Run a scripted replica."""
    running = ScriptedReplica()
    await running.async_setup()
    yield running
    await running.async_unload()


@pytest.fixture
async def follower(replica: ScriptedReplica) -> AsyncIterator[CatalogFollower]:
    """Run a follower of the scripted replica."""
    running = make_follower(lambda: (replica.seed,))
    yield running
    await running.async_unload()


# Guards against a gateway that takes a push for changes after a revision it never had: the whole
# state that follows it then looks old, and the configuration in it is lost.
async def test_changes_after_an_unknown_revision_are_not_applied(
    replica: ScriptedReplica, follower: CatalogFollower
) -> None:
    """A push of later changes only does not hide the changes before them."""

    def push_later_changes(channel: Channel[Any], message: Subscribe) -> bool:
        if len(replica.subscribes) == 1:
            channel.push(Delta(REVISION, False, None, (), Revision(REVISION - 1)))
        return True

    replica.answer = push_later_changes
    await follower.async_setup()
    await async_wait_until(lambda: follower.revision == REVISION)
    assert follower.routes is not None
    assert follower.routes.version == 3


# Guards against a replica that goes on pushing to a gateway that no longer expects an answer: the
# changes that it pushed meanwhile are not sent again.
async def test_subscription_without_answer_is_ended(
    replica: ScriptedReplica, follower: CatalogFollower
) -> None:
    """The channel of a subscription that got no answer in time is not used again."""
    replica.answer = lambda channel, message: len(replica.subscribes) > 1
    await follower.async_setup()
    await async_wait_until(lambda: follower.routes is not None)
    channels = [channel for channel, _ in replica.subscribes]
    assert len(set(map(id, channels))) == len(channels) == 2
    assert channels[0].closed
