"""Channels to the other replicas, by host."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from expression import Result

from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import HostId
from lagoonwing_replication.const import PROTOCOL_NAME
from lagoonwing_replication.messages import PeerMessage
from lagoonwing_wire import Channel, ChannelServer, Handlers, Identity, Link


class Peers:
    """Sends to hosts over outbound links, or over channels that the hosts opened."""

    def __init__(
        self,
        identity: Identity,
        server: ChannelServer,
        on_push: Callable[[HostId, PeerMessage], None],
        async_on_call: Callable[[Channel[Any], PeerMessage], Any],
    ) -> None:
        self._identity = identity
        self._on_push = on_push
        self._link_by_host: dict[HostId, Link] = {}
        self._inbound_channel_by_host: dict[HostId, Channel[Any]] = {}
        self._handlers: Handlers[PeerMessage] = Handlers(
            decoder=msgspec.msgpack.Decoder(PeerMessage),
            on_push=self._handle_push,
            async_on_call=async_on_call,
            on_closed=self._remove_channel,
        )
        server.register(PROTOCOL_NAME, self._handlers, self._add_channel)

    @property
    def host_ids(self) -> Iterable[HostId]:
        """Hosts with an outbound link."""
        return self._link_by_host.keys()

    async def async_add(self, host_id: HostId, address: str, port: int) -> None:
        """Open a link to a host, unless there is one."""
        if host_id == self._identity.host_id or host_id in self._link_by_host:
            return
        link = Link(self._identity, address, port, PROTOCOL_NAME, self._handlers)
        self._link_by_host[host_id] = link
        await link.async_setup()

    async def async_unload(self) -> None:
        """Close every link."""
        for link in self._link_by_host.values():
            await link.async_unload()
        self._link_by_host.clear()

    @callback
    def push(self, host_id: HostId, message: PeerMessage) -> None:
        """Send a message; dropped if no channel is open."""
        link = self._link_by_host.get(host_id)
        if link is not None and link.push(message):
            return
        channel = self._inbound_channel_by_host.get(host_id)
        if channel is not None:
            channel.push(message)

    async def async_call(
        self, host_id: HostId, message: PeerMessage, timeout: float
    ) -> Result[PeerMessage, Refusal]:
        """Call a host over its outbound link."""
        return await self._link_by_host[host_id].async_call(message, timeout)

    @callback
    def _handle_push(self, channel: Channel[PeerMessage], message: PeerMessage) -> None:
        """Pass a push on with its sender's host ID."""
        self._on_push(channel.peer_id, message)

    @callback
    def _add_channel(self, channel: Channel[Any]) -> None:
        """Register a channel opened by a host."""
        self._inbound_channel_by_host[channel.peer_id] = channel

    @callback
    def _remove_channel(self, channel: Channel[PeerMessage]) -> None:
        """Remove a closed channel."""
        if self._inbound_channel_by_host.get(channel.peer_id) is channel:
            del self._inbound_channel_by_host[channel.peer_id]
