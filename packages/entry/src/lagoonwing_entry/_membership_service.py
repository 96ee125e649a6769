"""Transports membership messages and passes endpoint records to the scheduler."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId
from lagoonwing_core.models import EndpointRecord
from lagoonwing_entry._directory import EndpointDirectory
from lagoonwing_entry._periodic_task import PeriodicTask
from lagoonwing_entry.ports import ControlPort, MembershipPort, SchedulerPort, SendPort
from lagoonwing_membership import (
    EndpointConflict,
    EndpointExpired,
    EndpointJoined,
    EndpointLeft,
    HostChanged,
    HostState,
    HostView,
    MembershipEvent,
)
from lagoonwing_wire import Channel, ChannelServer, Handlers, Identity, Link
from lagoonwing_wire.control_messages import EndpointSummary

PROTOCOL = "membership"


class MembershipService:
    """Runs membership ticks, sends their messages and receives those of peers."""

    name = "membership"

    def __init__(
        self,
        membership: MembershipPort,
        decoder: msgspec.msgpack.Decoder[Any],
        scheduler: SchedulerPort,
        directory: EndpointDirectory,
        control: ControlPort,
        identity: Identity,
        channels: ChannelServer | None,
        clock: Clock,
        tick_s: float,
    ) -> None:
        self._membership = membership
        self._scheduler = scheduler
        self._directory = directory
        self._control = control
        self._identity = identity
        self._clock = clock
        self._tick_s = tick_s
        self._handlers: Handlers[Any] = Handlers(
            decoder=decoder,
            on_push=self._on_push,
            async_on_call=_async_refuse_call,
            on_closed=lambda channel: None,
        )
        self._link_by_address: dict[tuple[str, int], Link] = {}
        self._record_by_id: dict[EndpointId, EndpointRecord] = {}
        self._refreshed_at = 0.0
        self._host_count = 0
        self._tick_task = PeriodicTask(self.name, self._async_tick, tick_s)
        if channels is not None:
            channels.register(PROTOCOL, self._handlers)

    async def async_setup(self) -> None:
        """Run the first tick and start the periodic ticks."""
        await self._async_send(self._membership.tick(self._clock.now()))
        self.refresh()
        self._tick_task.start()

    async def async_unload(self) -> None:
        """Stop the ticks and close the links."""
        self._tick_task.stop()
        for link in self._link_by_address.values():
            await link.async_unload()

    @callback
    def refresh_if_stale(self) -> None:
        """Refresh the records if ticks were delayed."""
        if self._clock.now() - self._refreshed_at > 2 * self._tick_s:
            self.refresh()

    @callback
    def refresh(self) -> None:
        """Pass changed records to the directory, the scheduler and control."""
        now = self._clock.now()
        self._refreshed_at = now
        records = {record.endpoint_id: record for record in self._membership.endpoints(now)}
        if _equal_except_sequence(records, self._record_by_id):
            return
        self._record_by_id = records
        self._directory.replace(records.values())
        self._scheduler.set_endpoints(records.values(), now)
        self._control.set_endpoints(map(_summary, records.values()))

    async def _async_tick(self) -> None:
        """Run one tick."""
        await self._async_send(self._membership.tick(self._clock.now()))
        self.refresh()
        hosts = self._membership.hosts(self._clock.now())
        self._report_host_count(hosts)
        await self._async_close_links(hosts)
        for event in self._membership.events():
            _log_membership_event(event)

    async def _async_close_links(self, hosts: Sequence[HostView]) -> None:
        """Close links to hosts that membership no longer lists."""
        known = {(host.address.address, host.address.port) for host in hosts}
        for key in self._link_by_address.keys() - known:
            await self._link_by_address.pop(key).async_unload()

    def _report_host_count(self, hosts: Sequence[HostView]) -> None:
        """Report to the scheduler how many hosts share the endpoints."""
        count = sum(host.state is not HostState.LOST for host in hosts)
        if count != self._host_count:
            self._host_count = count
            self._scheduler.set_entry_hosts(max(1, count))

    async def _async_send(self, sends: Sequence[SendPort]) -> None:
        """Push messages, opening links on first use."""
        for send in sends:
            key = (send.to.address, send.to.port)
            link = self._link_by_address.get(key)
            if link is None:
                link = Link(self._identity, *key, PROTOCOL, self._handlers)
                self._link_by_address[key] = link
                await link.async_setup()
            link.push(send.message)

    @callback
    def _on_push(self, channel: Channel[Any], message: Any) -> None:
        """Handle a message from a peer."""
        sends = self._membership.receive(channel.peer_id, message, self._clock.now())
        for send in sends:
            link = self._link_by_address.get((send.to.address, send.to.port))
            if link is not None:
                link.push(send.message)


async def _async_refuse_call(channel: Channel[Any], message: Any) -> msgspec.Struct:
    """Close the channel of a peer that makes a call; the protocol has only push messages."""
    channel.close()
    raise ConnectionError("the membership protocol does not support calls")


def _equal_except_sequence(
    new: dict[EndpointId, EndpointRecord], old: dict[EndpointId, EndpointRecord]
) -> bool:
    """Return whether two tables are equal except for the sequence numbers."""
    if new.keys() != old.keys():
        return False
    return all(
        _record_equal_except_sequence(record, old[endpoint_id])
        for endpoint_id, record in new.items()
    )


def _record_equal_except_sequence(new: EndpointRecord, old: EndpointRecord) -> bool:
    """Return whether two records are equal except for the sequence number."""
    if new is old:
        return True
    return msgspec.structs.replace(new, sequence=old.sequence) == old


def _summary(record: EndpointRecord) -> EndpointSummary:
    """Return the summary of an endpoint for control."""
    return EndpointSummary(
        endpoint_id=record.endpoint_id,
        failure_domain=record.failure_domain,
        models=record.models,
        layers=record.layers,
        layer_count=record.layer_count,
        service=record.service,
    )


def _log_membership_event(event: MembershipEvent) -> None:
    """Log a membership event."""
    match event:
        case EndpointJoined(endpoint_id=endpoint_id, incarnation=incarnation):
            log_event(EventCode.ENDPOINT_JOINED, endpoint=endpoint_id, incarnation=incarnation)
        case EndpointLeft(endpoint_id=endpoint_id, incarnation=incarnation):
            log_event(EventCode.ENDPOINT_LEAVING, endpoint=endpoint_id, incarnation=incarnation)
        case EndpointExpired(endpoint_id=endpoint_id, incarnation=incarnation):
            log_event(EventCode.ENDPOINT_EXPIRED, endpoint=endpoint_id, incarnation=incarnation)
        case EndpointConflict(endpoint_id=endpoint_id):
            log_event(EventCode.ENDPOINT_REFUSED, endpoint=endpoint_id, reason=event)
        case HostChanged(host_id=host_id, state=HostState.ALIVE):
            log_event(EventCode.HOST_JOINED, peer=host_id)
        case HostChanged(host_id=host_id, state=HostState.SUSPECT):
            log_event(EventCode.HOST_SUSPECTED, peer=host_id)
        case HostChanged(host_id=host_id, state=HostState.LOST):
            log_event(EventCode.HOST_LOST, peer=host_id)
