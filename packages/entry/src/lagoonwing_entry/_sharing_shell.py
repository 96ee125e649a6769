"""Tells other entry hosts of the work here and divides the endpoints' capacity with them."""

from __future__ import annotations

from typing import Any

import msgspec

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import HostId
from lagoonwing_core.models import HostAddress
from lagoonwing_entry._periodic import Periodic
from lagoonwing_entry._request_runner import RequestRunner
from lagoonwing_entry.ports import MembershipPort, SchedulerPort
from lagoonwing_membership import HostState
from lagoonwing_policy.sharing import SharingSystem, WorkNews
from lagoonwing_policy.sharing.const import NEWS_PERIOD_S
from lagoonwing_wire import Channel, ChannelServer, Handlers, Identity, Link

PROTOCOL = "sharing"


class SharingShell:
    """Pushes news of work to every live entry host of the cell and applies the shares."""

    name = "sharing"

    def __init__(
        self,
        sharing: SharingSystem,
        scheduler: SchedulerPort,
        membership: MembershipPort,
        runner: RequestRunner,
        identity: Identity,
        channels: ChannelServer | None,
        clock: Clock,
    ) -> None:
        self._sharing = sharing
        self._scheduler = scheduler
        self._membership = membership
        self._runner = runner
        self._identity = identity
        self._clock = clock
        self._handlers: Handlers[Any] = Handlers(
            decoder=msgspec.msgpack.Decoder(WorkNews),
            on_push=self._on_news,
            async_on_call=_async_refuse_call,
            on_closed=lambda channel: None,
        )
        self._link_by_host: dict[HostId, Link] = {}
        self._rounds = Periodic(self.name, self._async_divide_once, NEWS_PERIOD_S)
        if channels is not None:
            channels.register(PROTOCOL, self._handlers)

    async def async_setup(self) -> None:
        """Start to divide."""
        self._rounds.start()

    async def async_unload(self) -> None:
        """Stop to divide and close the links."""
        self._rounds.stop()
        for link in self._link_by_host.values():
            await link.async_unload()

    async def _async_divide_once(self) -> None:
        """Tell the others of the work here, and take this host's share."""
        now = self._clock.now()
        hosts = [
            view.address for view in self._membership.hosts(now) if view.state is not HostState.LOST
        ]
        rows = self._scheduler.work(now)
        news = self._sharing.news(rows)
        for address in hosts:
            if address.host_id != self._identity.host_id:
                (await self._async_link(address)).push(news)
        shares = self._sharing.shares(
            rows, [address.host_id for address in hosts], self._scheduler.slots_by_pool(), now
        )
        self._scheduler.set_shares(shares, now)
        self._runner.pump()

    async def _async_link(self, address: HostAddress) -> Link:
        """Return the link to a host, opened with the first news."""
        link = self._link_by_host.get(address.host_id)
        if link is None:
            link = Link(self._identity, address.address, address.port, PROTOCOL, self._handlers)
            self._link_by_host[address.host_id] = link
            await link.async_setup()
        return link

    @callback
    def _on_news(self, channel: Channel[Any], message: WorkNews) -> None:
        """Keep a peer's news."""
        self._sharing.receive(channel.peer_id, message, self._clock.now())


async def _async_refuse_call(channel: Channel[Any], message: Any) -> msgspec.Struct:
    """End a channel whose peer calls: sharing has only pushes."""
    channel.close()
    raise ConnectionError("sharing has no calls")
