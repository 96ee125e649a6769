"""Coordinator of membership: the tables of one entry host and the protocols over them."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import EndpointId, HostId, Incarnation
from lagoonwing_core.models import EndpointRecord, HostAddress
from lagoonwing_membership import const
from lagoonwing_membership._capacity import capacity_rows
from lagoonwing_membership._cells import CellGossip
from lagoonwing_membership._endpoint_gossip import EndpointGossip, Outgoing
from lagoonwing_membership._endpoints import EndpointTable
from lagoonwing_membership._freshness import MessageAges, PauseDetector
from lagoonwing_membership._host_gossip import HostGossip
from lagoonwing_membership._hosts import HostTable
from lagoonwing_membership._prober import DirectProbe, IndirectProbe, Prober
from lagoonwing_membership.models import (
    Ack,
    CapacityRow,
    CellDigest,
    CellId,
    CellSettings,
    CellSummaries,
    CellSummary,
    Digest,
    HostState,
    HostUpdate,
    HostView,
    MembershipEvent,
    MembershipMessage,
    MembershipSettings,
    Ping,
    PingRequest,
    Pull,
    Push,
    Send,
    Summary,
)


@dataclass(frozen=True, slots=True)
class _RelayedProbe:
    """Probe made on behalf of another host."""

    origin: HostId
    origin_number: int
    expires: float


class Membership:
    """View of one entry host on the other hosts of its cell and on endpoints.

    Free of I/O: the caller runs `tick` every `TICK_S`, passes received messages to `receive`,
    and sends the messages that both return. Any message may be lost, duplicated or delayed.
    """

    def __init__(
        self,
        self_address: HostAddress,
        incarnation: Incarnation,
        seeds: Iterable[HostAddress],
        settings: MembershipSettings | None = None,
        seed: int = 0,
        cells: CellSettings | None = None,
    ) -> None:
        """Create the tables.

        Args:
            self_address: Address at which this host listens for peers.
            incarnation: Start time of this process in milliseconds.
            seeds: Initial contact hosts; may include this host.
            settings: Intervals and timeouts.
            seed: Seed of the random number generator.
            cells: Identity and contacts of this host's cell; by default there are no other cells.
        """
        self._settings = settings or MembershipSettings()
        rng = random.Random(seed)
        self._ages = MessageAges(incarnation)
        self._pauses = PauseDetector()
        self._hosts = HostTable(self_address, incarnation)
        self._endpoints = EndpointTable(self._settings.record_ttl_s)
        self._endpoint_gossip = EndpointGossip(
            self._endpoints, self._hosts, self._settings, rng, self._ages.header_for
        )
        self._host_gossip = HostGossip(
            self._hosts,
            self._ages,
            self._endpoints.events.append,
            self._endpoint_gossip.request_digest,
        )
        self._prober = Prober(self._hosts, self._settings, rng, self._host_gossip.notify_changed)
        self._cells = CellGossip(
            cells or CellSettings(CellId("")), self._hosts, rng, self._ages.header_for
        )
        self._running_by_id: Mapping[EndpointId, int] = {}
        self._relay_by_number: dict[int, _RelayedProbe] = {}
        self._started: float | None = None
        self._synced = False
        self._seed_ids = self._add_seeds(seeds)

    def _add_seeds(self, seeds: Iterable[HostAddress]) -> frozenset[HostId]:
        """Add the seeds as lost until they answer, so that they are pinged periodically."""
        others = [seed for seed in seeds if seed.host_id != self._hosts.own.address.host_id]
        for seed in others:
            self._hosts.merge(HostUpdate(seed, Incarnation(0), 0, HostState.LOST), 0.0)
        return frozenset(seed.host_id for seed in others)

    @callback
    def announce(self, record: EndpointRecord, now: float) -> Result[None, Refusal]:
        """Handle an announcement made by an endpoint to this host.

        Args:
            record: The announcement; state `leaving` is final for its incarnation.
            now: Time on the runtime's clock, in seconds.

        Returns:
            A refusal if a later announcement, a leave of the incarnation or another address of
            the same incarnation is known, or if the record is too large or the table is full.
            An announcement before the first tick takes effect only with the next renewal.
        """
        result = self._endpoints.announce(record, self._input_age(now), now)
        if result.is_error():
            return Error(result.error)
        self._endpoint_gossip.queue_push(record.endpoint_id, result.ok, own=True)
        return Ok(None)

    @callback
    def receive(self, from_host: HostId, message: MembershipMessage, now: float) -> list[Send]:
        """Handle a message of another host.

        Args:
            from_host: Sender as authenticated by the channel.
            message: The message.
            now: Time on the runtime's clock, in seconds.

        Returns:
            Messages to send.
        """
        self._detect_pause(now)
        if from_host == self._hosts.own.address.host_id:
            return []
        header = message.header
        if self._ages.is_outdated(from_host, header):
            return self._with_addresses([self._notify_outdated(from_host, now)])
        transit = self._ages.observe(from_host, header, now)
        self._host_gossip.handle_restart(from_host, header.incarnation, now)
        return self._with_addresses(self._dispatch(from_host, message, transit, now))

    def _dispatch(
        self, from_host: HostId, message: MembershipMessage, transit: float, now: float
    ) -> list[Outgoing]:
        """Dispatch a message to its handler."""
        match message:
            case Ping(number=number, hosts=hosts):
                self._host_gossip.merge(hosts, now)
                own_id = self._hosts.own.address.host_id
                return [(from_host, self._ack(from_host, number, own_id, now))]
            case PingRequest(number=number, target=target, hosts=hosts):
                self._host_gossip.merge(hosts, now)
                return self._relay_probe(from_host, number, target, now)
            case Ack(number=number, target=target, hosts=hosts):
                self._host_gossip.merge(hosts, now)
                return self._handle_ack(from_host, number, target, now)
            case Push(renewals=renewals, records=records, hosts=hosts):
                self._host_gossip.merge(hosts, now)
                self._endpoint_gossip.receive_records(records, transit, now)
                return self._endpoint_gossip.receive_renewals(from_host, renewals, transit, now)
            case Digest(renewals=renewals, last=last):
                self._synced = self._synced or (last and math.isfinite(transit))
                return self._endpoint_gossip.receive_renewals(from_host, renewals, transit, now)
            case Summary():
                return self._endpoint_gossip.answer_summary(from_host, message, now)
            case Pull():
                return self._endpoint_gossip.answer_pull(from_host, message, now)
            case CellDigest():
                return self._cells.receive_digest(from_host, message, now)
            case CellSummaries():
                self._cells.receive_summaries(message, transit, now)
                return []

    @callback
    def tick(self, now: float) -> list[Send]:
        """Run the periodic work of every protocol.

        Returns:
            Messages to send.
        """
        self._detect_pause(now)
        if self._started is None:
            self._started = now
        self._endpoints.tick(now)
        self._endpoint_gossip.prune_pulls()
        self._remove_lost_hosts(now)
        self._expire_relays(now)
        sends: list[Outgoing] = []
        for command in self._prober.tick(now):
            match command:
                case DirectProbe(target=target, number=number):
                    sends.append((target, self._ping(target, number, now)))
                case IndirectProbe(helper=helper, target=target, number=number):
                    header = self._ages.header_for(helper, now)
                    updates = self._host_gossip.updates_for(helper)
                    sends.append((helper, PingRequest(header, number, target, updates)))
        sends.extend(self._host_gossip.tick(now))
        sends.extend(self._endpoint_gossip.tick(now))
        sends.extend(self._cells.tick(lambda: self._capacity(now), now))
        return self._with_addresses(sends)

    @callback
    def endpoints(self, now: float) -> list[EndpointRecord]:
        """Return the records of endpoints that are eligible for new work.

        Ages are checked at the call, so that a process resumed after a pause never uses records
        that expired meanwhile. The list is empty until a peer has sent a complete digest or the
        join grace has passed; otherwise an announcement older than a leave could be accepted.
        """
        if not self._is_ready(now):
            return []
        return [entry.record for entry in self._endpoints.live(now) if entry.record is not None]

    def _is_ready(self, now: float) -> bool:
        """Return whether this host is synchronized with a peer or past its join grace."""
        if self._synced:
            return True
        return self._started is not None and now - self._started >= self._settings.join_grace_s

    @callback
    def set_running(self, running_by_id: Mapping[EndpointId, int]) -> None:
        """Set the attempts known to be running on endpoints, for the cell's summary.

        Args:
            running_by_id: Number of attempts by endpoint; a missing endpoint is idle.
        """
        self._running_by_id = running_by_id

    @callback
    def other_cells(self, now: float) -> list[CellSummary]:
        """Return the capacity summaries of other cells.

        Representatives hold every row; other hosts hold those with the most free slots.
        """
        return self._cells.summaries(now)

    def _capacity(self, now: float) -> tuple[CapacityRow, ...]:
        """Return the capacity rows of this cell."""
        return capacity_rows(self.endpoints(now), self._running_by_id)

    @callback
    def hosts(self, now: float) -> tuple[HostView, ...]:
        """Return the state of every host of the cell, this one included."""
        return self._hosts.views()

    @callback
    def events(self) -> list[MembershipEvent]:
        """Return and clear the events since the last call."""
        drained = list(self._endpoints.events)
        self._endpoints.events.clear()
        return drained

    def _input_age(self, now: float) -> float:
        """Return an upper bound of the time that an announcement was queued before it was read."""
        if self._started is None:
            # A pause before the first tick cannot be detected.
            return math.inf
        self._detect_pause(now)
        return self._pauses.input_age(now)

    def _detect_pause(self, now: float) -> None:
        """Reset the prober after a pause of this process; called before input is handled."""
        if self._pauses.observe(now):
            self._prober.reset(now)

    def _ping(self, target: HostId, number: int, now: float) -> Ping:
        """Return a ping with piggybacked host updates."""
        return Ping(
            self._ages.header_for(target, now), number, self._host_gossip.updates_for(target)
        )

    def _ack(self, to: HostId, number: int, target: HostId, now: float) -> Ack:
        """Return an ack with piggybacked host updates."""
        return Ack(
            self._ages.header_for(to, now), number, target, self._host_gossip.updates_for(to)
        )

    def _notify_outdated(self, host_id: HostId, now: float) -> Outgoing:
        """Send a process with an outdated incarnation the known state of its host."""
        return host_id, Push(
            self._ages.header_for(host_id, now), hosts=self._host_gossip.updates_for(host_id)
        )

    def _relay_probe(
        self, origin: HostId, origin_number: int, target: HostId, now: float
    ) -> list[Outgoing]:
        """Probe a host on behalf of another one."""
        if (
            target not in self._hosts.host_by_id
            or len(self._relay_by_number) >= const.MAX_RELAYED_PROBES
        ):
            return []
        number = self._prober.next_number()
        expires = now + self._settings.probe_end_s
        self._relay_by_number[number] = _RelayedProbe(origin, origin_number, expires)
        return [(target, self._ping(target, number, now))]

    def _handle_ack(
        self, from_host: HostId, number: int, target: HostId, now: float
    ) -> list[Outgoing]:
        """Close an own probe, or forward the ack to the host that requested the probe."""
        relay = self._relay_by_number.pop(number, None) if target == from_host else None
        if relay is None:
            self._prober.acknowledged(target, number)
            return []
        return [(relay.origin, self._ack(relay.origin, relay.origin_number, target, now))]

    def _expire_relays(self, now: float) -> None:
        """Drop relayed probes that were not answered in time."""
        for number, relay in list(self._relay_by_number.items()):
            if now >= relay.expires:
                del self._relay_by_number[number]

    def _remove_lost_hosts(self, now: float) -> None:
        """Drop hosts that have been lost for longer than the retention, seeds excepted."""
        for host_id, entry in list(self._hosts.host_by_id.items()):
            if host_id in self._seed_ids or entry.state is not HostState.LOST:
                continue
            if now - entry.since >= const.LOST_HOST_RETENTION_S:
                del self._hosts.host_by_id[host_id]
                self._ages.forget(host_id)

    def _with_addresses(self, sends: Iterable[Outgoing]) -> list[Send]:
        """Resolve recipients to addresses; messages to unknown hosts are dropped."""
        addressed: list[Send] = []
        for host_id, message in sends:
            address = self._address_of(host_id)
            if address is not None:
                addressed.append(Send(address, message))
        return addressed

    def _address_of(self, host_id: HostId) -> HostAddress | None:
        """Return the address of a host of this cell or another."""
        entry = self._hosts.host_by_id.get(host_id)
        return entry.address if entry is not None else self._cells.address_of(host_id)
