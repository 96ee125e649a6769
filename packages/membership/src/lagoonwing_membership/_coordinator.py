"""Membership of one entry host: tables, and the systems that run over them."""

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
from lagoonwing_membership._cells import CellSystem
from lagoonwing_membership._endpoints import EndpointTable
from lagoonwing_membership._freshness import MessageAges, PauseDetector
from lagoonwing_membership._host_news import HostNewsSystem
from lagoonwing_membership._hosts import HostTable
from lagoonwing_membership._prober import ProbeDirectly, ProbeSystem, ProbeThrough
from lagoonwing_membership._spread import Outgoing, SpreadSystem
from lagoonwing_membership.models import (
    Ack,
    CapacityRow,
    CellDigest,
    CellId,
    CellSettings,
    CellSummaries,
    CellSummary,
    Digest,
    HostNews,
    HostState,
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
class _Relay:
    """A probe made for another host."""

    origin: HostId
    origin_number: int
    expires: float


class Membership:
    """What one entry host knows of the other hosts of its cell and of endpoints.

    Free of I/O: the shell calls `tick` every `TICK_S`, hands received messages to `receive`,
    and pushes the messages that both return. Every message may be lost, doubled or late.
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
            self_address: Where this host listens for its peers.
            incarnation: Start time of this process in milliseconds.
            seeds: Hosts to ask first; may name this host.
            settings: Periods and timeouts.
            seed: Seed of every random choice.
            cells: Place of this host's cell among others; by default there are no others.
        """
        self._settings = settings or MembershipSettings()
        rng = random.Random(seed)
        self._ages = MessageAges(incarnation)
        self._pauses = PauseDetector()
        self._hosts = HostTable(self_address, incarnation)
        self._endpoints = EndpointTable(self._settings.record_life_s)
        self._spread = SpreadSystem(
            self._endpoints, self._hosts, self._settings, rng, self._ages.header_for
        )
        self._host_news = HostNewsSystem(
            self._hosts, self._ages, self._endpoints.events.append, self._spread.request_digest
        )
        self._prober = ProbeSystem(self._hosts, self._settings, rng, self._host_news.changed)
        self._cells = CellSystem(
            cells or CellSettings(CellId("")), self._hosts, rng, self._ages.header_for
        )
        self._running_by_id: Mapping[EndpointId, int] = {}
        self._relay_by_number: dict[int, _Relay] = {}
        self._started: float | None = None
        self._synced = False
        self._seed_ids = self._add_seeds(seeds)

    def _add_seeds(self, seeds: Iterable[HostAddress]) -> frozenset[HostId]:
        """Hold the seeds for lost until they answer, so that they are pinged now and then."""
        others = [seed for seed in seeds if seed.host_id != self._hosts.own.address.host_id]
        for seed in others:
            self._hosts.merge(HostNews(seed, Incarnation(0), 0, HostState.LOST), 0.0)
        return frozenset(seed.host_id for seed in others)

    @callback
    def announce(self, record: EndpointRecord, now: float) -> Result[None, Refusal]:
        """Take in what an endpoint announces of itself to this host.

        Args:
            record: The announcement; state `leaving` is final for its incarnation.
            now: Time on the runtime's clock, in seconds.

        Returns:
            A refusal if a later announcement, the end of the incarnation or another address
            of the same incarnation is known, or if the record or the table is too large.
            What is announced before the first tick counts only with the next renewal.
        """
        result = self._endpoints.announce(record, self._input_age(now), now)
        if result.is_error():
            return Error(result.error)
        self._spread.note(record.endpoint_id, result.ok, own=True)
        return Ok(None)

    @callback
    def receive(self, from_host: HostId, message: MembershipMessage, now: float) -> list[Send]:
        """Take in a message of another host.

        Args:
            from_host: Host that the channel has authenticated.
            message: The message.
            now: Time on the runtime's clock, in seconds.

        Returns:
            Messages to push.
        """
        self._observe(now)
        if from_host == self._hosts.own.address.host_id:
            return []
        header = message.header
        if self._ages.is_outdated(from_host, header):
            return self._address([self._tell_outdated(from_host, now)])
        transit = self._ages.observe(from_host, header, now)
        self._host_news.note_restart(from_host, header.incarnation, now)
        return self._address(self._dispatch(from_host, message, transit, now))

    def _dispatch(
        self, from_host: HostId, message: MembershipMessage, transit: float, now: float
    ) -> list[Outgoing]:
        """Hand a message to the system that it concerns."""
        match message:
            case Ping(number=number, hosts=hosts):
                self._host_news.merge(hosts, now)
                own_id = self._hosts.own.address.host_id
                return [(from_host, self._ack(from_host, number, own_id, now))]
            case PingRequest(number=number, target=target, hosts=hosts):
                self._host_news.merge(hosts, now)
                return self._relay_probe(from_host, number, target, now)
            case Ack(number=number, target=target, hosts=hosts):
                self._host_news.merge(hosts, now)
                return self._take_ack(from_host, number, target, now)
            case Push(renewals=renewals, records=records, hosts=hosts):
                self._host_news.merge(hosts, now)
                self._spread.receive_records(records, transit, now)
                return self._spread.receive_renewals(from_host, renewals, transit, now)
            case Digest(renewals=renewals, last=last):
                self._synced = self._synced or (last and math.isfinite(transit))
                return self._spread.receive_renewals(from_host, renewals, transit, now)
            case Summary():
                return self._spread.answer_summary(from_host, message, now)
            case Pull():
                return self._spread.answer_pull(from_host, message, now)
            case CellDigest():
                return self._cells.receive_digest(from_host, message, now)
            case CellSummaries():
                self._cells.receive_summaries(message, transit, now)
                return []

    @callback
    def tick(self, now: float) -> list[Send]:
        """Move every system on.

        Returns:
            Messages to push.
        """
        self._observe(now)
        if self._started is None:
            self._started = now
        self._endpoints.tick(now)
        self._spread.forget_pulls()
        self._forget_hosts(now)
        self._expire_relays(now)
        sends: list[Outgoing] = []
        for command in self._prober.tick(now):
            match command:
                case ProbeDirectly(target=target, number=number):
                    sends.append((target, self._ping(target, number, now)))
                case ProbeThrough(helper=helper, target=target, number=number):
                    header = self._ages.header_for(helper, now)
                    rumours = self._host_news.rumours(helper)
                    sends.append((helper, PingRequest(header, number, target, rumours)))
        sends.extend(self._host_news.tick(now))
        sends.extend(self._spread.tick(now))
        sends.extend(self._cells.tick(lambda: self._capacity(now), now))
        return self._address(sends)

    @callback
    def endpoints(self, now: float) -> list[EndpointRecord]:
        """Return the records of endpoints that may get new work now.

        Ages are judged at the call, so that a process which stood still never acts on records
        that expired meanwhile. Empty until a peer has told what it knows, or none answered
        within the join grace: an announcement from before a leave must not win here.
        """
        if not self._is_ready(now):
            return []
        return [entry.record for entry in self._endpoints.live(now) if entry.record is not None]

    def _is_ready(self, now: float) -> bool:
        """Return whether this host knows enough to give endpoints work."""
        if self._synced:
            return True
        return self._started is not None and now - self._started >= self._settings.join_grace_s

    @callback
    def set_running(self, running_by_id: Mapping[EndpointId, int]) -> None:
        """Set the attempts known to run on endpoints, for the cell's summary.

        Args:
            running_by_id: Attempts by endpoint; one that is missing is idle.
        """
        self._running_by_id = running_by_id

    @callback
    def other_cells(self, now: float) -> list[CellSummary]:
        """Return what is known of other cells.

        A cell's representatives know every row, its other hosts those with most free slots.
        """
        return self._cells.summaries(now)

    def _capacity(self, now: float) -> tuple[CapacityRow, ...]:
        """Return what this cell has."""
        return capacity_rows(self.endpoints(now), self._running_by_id)

    @callback
    def hosts(self, now: float) -> tuple[HostView, ...]:
        """Return what is believed of every host of the cell, this one included."""
        return self._hosts.views()

    @callback
    def events(self) -> list[MembershipEvent]:
        """Return the events since the last call, for the log."""
        drained = list(self._endpoints.events)
        self._endpoints.events.clear()
        return drained

    def _input_age(self, now: float) -> float:
        """Return how long, at most, an announcement may have waited before it was read."""
        if self._started is None:
            # Nothing tells how long this process stood still before its first tick.
            return math.inf
        self._observe(now)
        return self._pauses.input_age(now)

    def _observe(self, now: float) -> None:
        """Notice a pause of this process before anything is read."""
        if self._pauses.observe(now):
            self._prober.restart(now)

    def _ping(self, target: HostId, number: int, now: float) -> Ping:
        """Return a probe of a host."""
        return Ping(self._ages.header_for(target, now), number, self._host_news.rumours(target))

    def _ack(self, to: HostId, number: int, target: HostId, now: float) -> Ack:
        """Return the answer to a probe."""
        return Ack(self._ages.header_for(to, now), number, target, self._host_news.rumours(to))

    def _tell_outdated(self, host_id: HostId, now: float) -> Outgoing:
        """Tell a process with too low an incarnation what is known of it."""
        return host_id, Push(
            self._ages.header_for(host_id, now), hosts=self._host_news.rumours(host_id)
        )

    def _relay_probe(
        self, origin: HostId, origin_number: int, target: HostId, now: float
    ) -> list[Outgoing]:
        """Probe a host for another one."""
        if target not in self._hosts.host_by_id or len(self._relay_by_number) >= const.MAX_RELAYS:
            return []
        number = self._prober.next_number()
        expires = now + self._settings.probe_end_s
        self._relay_by_number[number] = _Relay(origin, origin_number, expires)
        return [(target, self._ping(target, number, now))]

    def _take_ack(
        self, from_host: HostId, number: int, target: HostId, now: float
    ) -> list[Outgoing]:
        """Close a probe, or pass its answer on to the host that asked for it."""
        relay = self._relay_by_number.pop(number, None) if target == from_host else None
        if relay is None:
            self._prober.acknowledged(target, number)
            return []
        return [(relay.origin, self._ack(relay.origin, relay.origin_number, target, now))]

    def _expire_relays(self, now: float) -> None:
        """Drop probes for others that were not answered in time."""
        for number, relay in list(self._relay_by_number.items()):
            if now >= relay.expires:
                del self._relay_by_number[number]

    def _forget_hosts(self, now: float) -> None:
        """Drop hosts that have been lost for long, seeds excepted."""
        for host_id, entry in list(self._hosts.host_by_id.items()):
            if host_id in self._seed_ids or entry.state is not HostState.LOST:
                continue
            if now - entry.since >= const.HOST_FORGET_S:
                del self._hosts.host_by_id[host_id]
                self._ages.forget(host_id)

    def _address(self, sends: Iterable[Outgoing]) -> list[Send]:
        """Add the addresses of hosts that are still known."""
        addressed: list[Send] = []
        for host_id, message in sends:
            address = self._address_of(host_id)
            if address is not None:
                addressed.append(Send(address, message))
        return addressed

    def _address_of(self, host_id: HostId) -> HostAddress | None:
        """Return where a host of this cell or another listens."""
        entry = self._hosts.host_by_id.get(host_id)
        return entry.address if entry is not None else self._cells.address_of(host_id)
