"""Exchanges work reports with other entry hosts and shares the endpoint capacity with them."""

from __future__ import annotations

from typing import Any

import msgspec

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import HostId
from lagoonwing_core.models import HostAddress
from lagoonwing_entry._periodic_task import PeriodicTask
from lagoonwing_entry._request_runner import RequestRunner
from lagoonwing_entry.ports import MembershipPort, SchedulerPort
from lagoonwing_membership import HostState
from lagoonwing_policy.sharing import SharingSystem, WorkReport
from lagoonwing_policy.sharing.const import REPORT_INTERVAL_S
from lagoonwing_wire import Channel, ChannelServer, Handlers, Identity, Link

PROTOCOL = "sharing"


class CapacitySharing:
    """Pushes work reports to all live entry hosts of the cluster and applies capacity shares."""

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
            decoder=msgspec.msgpack.Decoder(WorkReport),
            on_push=self._on_work_report,
            async_on_call=_async_refuse_call,
            on_closed=lambda channel: None,
        )
        self._link_by_host: dict[HostId, Link] = {}
        self._update_task = PeriodicTask(self.name, self._async_update_shares, REPORT_INTERVAL_S)
        if channels is not None:
            channels.register(PROTOCOL, self._handlers)

    async def async_setup(self) -> None:
        """Start sharing."""
        self._update_task.start()

    async def async_unload(self) -> None:
        """Stop sharing and close the links."""
        self._update_task.stop()
        for link in self._link_by_host.values():
            await link.async_unload()

    async def _async_update_shares(self) -> None:
        """Report this host's work to the other hosts and apply this host's share."""
        now = self._clock.now()
        hosts = [
            view.address for view in self._membership.hosts(now) if view.state is not HostState.LOST
        ]
        work = self._scheduler.member_work(now)
        report = self._sharing.make_report(work)
        for address in hosts:
            if address.host_id != self._identity.host_id:
                (await self._async_link(address)).push(report)
        shares = self._sharing.shares(
            work, [address.host_id for address in hosts], self._scheduler.slots_by_pool(), now
        )
        self._scheduler.set_shares(shares, now)
        self._runner.run_scheduler()

    async def _async_link(self, address: HostAddress) -> Link:
        """Return the link to a host, opening it on first use."""
        link = self._link_by_host.get(address.host_id)
        if link is None:
            link = Link(self._identity, address.address, address.port, PROTOCOL, self._handlers)
            self._link_by_host[address.host_id] = link
            await link.async_setup()
        return link

    @callback
    def _on_work_report(self, channel: Channel[Any], message: WorkReport) -> None:
        """Record a peer's work report."""
        self._sharing.receive(channel.peer_id, message, self._clock.now())


async def _async_refuse_call(channel: Channel[Any], message: Any) -> msgspec.Struct:
    """Close the channel of a peer that makes a call; the protocol has only push messages."""
    channel.close()
    raise ConnectionError("the sharing protocol does not support calls")
