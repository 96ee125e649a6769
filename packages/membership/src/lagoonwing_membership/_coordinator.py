"""Membership of one entry host: tables, and the systems that run over them."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from expression import Error, Ok, Result

from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import HostId, Incarnation
from lagoonwing_core.models import EndpointRecord, HostAddress
from lagoonwing_membership import const
from lagoonwing_membership._endpoints import EndpointTable
from lagoonwing_membership._freshness import MessageAges, PauseDetector
from lagoonwing_membership._hosts import HostEntry, HostTable
from lagoonwing_membership._prober import ProbeDirectly, ProbeSystem, ProbeThrough
from lagoonwing_membership._spread import Outgoing, SpreadSystem
from lagoonwing_membership.models import (
    Ack,
    Digest,
    HostChanged,
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
    ) -> None:
        """Create the tables.

        Args:
            self_address: Where this host listens for its peers.
            incarnation: Start time of this process in milliseconds.
            seeds: Hosts to ask first; may name this host.
            settings: Periods and timeouts.
            seed: Seed of every random choice.
        """
        self._settings = settings or MembershipSettings()
        rng = random.Random(seed)
        self._ages = MessageAges(incarnation)
        self._pauses = PauseDetector()
        self._hosts = HostTable(self_address, incarnation)
        self._endpoints = EndpointTable(self._settings.record_life_s)
        self._prober = ProbeSystem(self._hosts, self._settings, rng, self._host_changed)
        self._spread = SpreadSystem(
            self._endpoints, self._hosts, self._settings, rng, self._ages.header_for
        )
        self._relay_by_number: dict[int, _Relay] = {}
        self._host_news_due: set[HostId] = set()
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
        self._note_restart(from_host, header.incarnation, now)
        return self._address(self._dispatch(from_host, message, transit, now))

    def _dispatch(
        self, from_host: HostId, message: MembershipMessage, transit: float, now: float
    ) -> list[Outgoing]:
        """Hand a message to the system that it concerns."""
        match message:
            case Ping(number=number, hosts=hosts):
                self._merge_hosts(hosts, now)
                own_id = self._hosts.own.address.host_id
                return [(from_host, self._ack(from_host, number, own_id, now))]
            case PingRequest(number=number, target=target, hosts=hosts):
                self._merge_hosts(hosts, now)
                return self._relay_probe(from_host, number, target, now)
            case Ack(number=number, target=target, hosts=hosts):
                self._merge_hosts(hosts, now)
                return self._take_ack(from_host, number, target, now)
            case Push(renewals=renewals, records=records, hosts=hosts):
                self._merge_hosts(hosts, now)
                self._spread.receive_records(records, transit, now)
                return self._spread.receive_renewals(from_host, renewals, transit, now)
            case Digest(renewals=renewals, last=last):
                self._synced = self._synced or (last and math.isfinite(transit))
                return self._spread.receive_renewals(from_host, renewals, transit, now)
            case Summary():
                return self._spread.answer_summary(from_host, message, now)
            case Pull():
                return self._spread.answer_pull(from_host, message, now)

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
                    rumours = self._rumours(helper)
                    sends.append((helper, PingRequest(header, number, target, rumours)))
        sends.extend(self._push_host_news(now))
        sends.extend(self._spread.tick(now))
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

    def _merge_hosts(self, hosts: Iterable[HostNews], now: float) -> None:
        """Take news of hosts in and refute what is wrong of this one."""
        for news in hosts:
            if news.address.host_id == self._hosts.own.address.host_id:
                self._refute(news)
                continue
            known = self._hosts.host_by_id.get(news.address.host_id)
            was_alive = known is not None and known.state is HostState.ALIVE
            old_incarnation = known.incarnation if known is not None else None
            if not self._hosts.merge(news, now):
                continue
            entry = self._hosts.host_by_id[news.address.host_id]
            rejoined = entry.incarnation != old_incarnation or not was_alive
            if entry.state is HostState.ALIVE and rejoined:
                self._spread.request_digest(news.address.host_id)
            self._host_changed(entry)

    def _note_restart(self, host_id: HostId, incarnation: Incarnation, now: float) -> None:
        """Hold a known host for alive that is heard with a new incarnation."""
        known = self._hosts.host_by_id.get(host_id)
        if known is not None and incarnation > known.incarnation:
            self._merge_hosts([HostNews(known.address, incarnation, 0, HostState.ALIVE)], now)

    def _refute(self, news: HostNews) -> None:
        """Tell everyone at once where this host is wrongly held for suspect or lost."""
        if self._hosts.refute(news):
            self._ages.incarnation = self._hosts.own.incarnation
            self._host_news_due.add(self._hosts.own.address.host_id)

    def _push_host_news(self, now: float) -> list[Outgoing]:
        """Tell every host of changed beliefs, the host concerned included, which may refute."""
        known = [self._hosts.own, *self._hosts.host_by_id.values()]
        news = tuple(
            entry.news() for entry in known if entry.address.host_id in self._host_news_due
        )[: const.MAX_HOST_NEWS_PER_MESSAGE]
        self._host_news_due.clear()
        if not news:
            return []
        return [
            (host_id, Push(self._ages.header_for(host_id, now), hosts=news))
            for host_id in self._hosts.host_by_id
        ]

    def _host_changed(self, entry: HostEntry) -> None:
        """Note a change of belief for the log and for the other hosts."""
        self._host_news_due.add(entry.address.host_id)
        self._endpoints.events.append(
            HostChanged(entry.address.host_id, entry.incarnation, entry.state)
        )

    def _ping(self, target: HostId, number: int, now: float) -> Ping:
        """Return a probe of a host."""
        return Ping(self._ages.header_for(target, now), number, self._rumours(target))

    def _ack(self, to: HostId, number: int, target: HostId, now: float) -> Ack:
        """Return the answer to a probe."""
        return Ack(self._ages.header_for(to, now), number, target, self._rumours(to))

    def _rumours(self, host_id: HostId) -> tuple[HostNews, ...]:
        """Return the host news to add to a message."""
        return self._hosts.rumours_for(host_id, introduce=not self._ages.knows_us(host_id))

    def _tell_outdated(self, host_id: HostId, now: float) -> Outgoing:
        """Tell a process with too low an incarnation what is known of it."""
        return host_id, Push(self._ages.header_for(host_id, now), hosts=self._rumours(host_id))

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
        return [
            Send(self._hosts.host_by_id[host_id].address, message)
            for host_id, message in sends
            if host_id in self._hosts.host_by_id
        ]
