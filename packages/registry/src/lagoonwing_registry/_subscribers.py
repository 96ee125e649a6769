"""Gateways subscribed to this replica, and the loads they report."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from lagoonwing_catalog import CatalogStateMachine
from lagoonwing_catalog.messages import (
    CatalogMessage,
    Delta,
    Freshness,
    HandoverAddress,
    LoadReport,
    PeerGateway,
    PeerList,
    ReplicaAddress,
    ReplicaGateways,
    ReplicaList,
    ReplicaLoad,
    Subscribe,
)
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, FailureDomainId, HostId, Revision
from lagoonwing_registry._load_totals import LoadTotals, lowest_slowdowns
from lagoonwing_registry._peer_lists import PeerRing
from lagoonwing_registry.const import (
    GATEWAY_TIMEOUT_S,
    GATEWAYS_REFRESH_INTERVAL_S,
    GATEWAYS_TTL_S,
)
from lagoonwing_wire import Channel

_EMPTY_REPORT = LoadReport({})


@dataclass(slots=True)
class _Subscriber:
    """A subscribed gateway.

    Attributes:
        pushed_revision: Last revision sent to the gateway.
        report: Last load report of the gateway.
        handover: Address at which it takes requests of other gateways, if it does.
        pushed_replicas: Last list of replicas sent to the gateway.
        pushed_peers: Last list of peers sent to the gateway.
        ring: Ring that this list was taken from.
    """

    pushed_revision: Revision
    failure_domain: FailureDomainId
    last_message_at: float
    handover: HandoverAddress | None
    report: LoadReport = _EMPTY_REPORT
    pushed_replicas: tuple[ReplicaAddress, ...] = ()
    pushed_peers: tuple[PeerGateway, ...] = ()
    ring: PeerRing | None = None


@dataclass(slots=True)
class _RemoteLoad:
    """What another replica reported.

    Attributes:
        gateways: Gateways that follow it and take requests of others.
        gateways_until: Time until which these are valid.
    """

    load: ReplicaLoad
    last_message_at: float
    gateways: tuple[PeerGateway, ...] = ()
    gateways_until: float = -math.inf

    def current_gateways(self, now: float) -> tuple[PeerGateway, ...]:
        """Return its gateways, unless it has not repeated them."""
        return self.gateways if now <= self.gateways_until else ()

    def reads_gateways(self, now: float) -> bool:
        """Return whether it reads the gateways of others: it says so, or has sent its own."""
        return self.load.reads_gateways or now <= self.gateways_until


class Subscribers:
    """Pushes catalog changes and loads to subscribed gateways."""

    def __init__(
        self,
        state_machine: CatalogStateMachine,
        age: Callable[[], float],
        replicas: Callable[[], tuple[ReplicaAddress, ...]],
        clock: Clock,
    ) -> None:
        self._state_machine = state_machine
        self._age = age
        self._replicas = replicas
        self._clock = clock
        self._subscriber_by_channel: dict[Channel[Any], _Subscriber] = {}
        self._remote_by_host: dict[HostId, _RemoteLoad] = {}
        self._known_gateways: frozenset[PeerGateway] = frozenset()
        self._ring = PeerRing(())
        self._sent_gateways: tuple[PeerGateway, ...] = ()
        self._sent_readers: tuple[HostId, ...] = ()
        self._sent_gateways_at = 0.0

    @callback
    def add(self, channel: Channel[Any], request: Subscribe) -> None:
        """Subscribe a gateway to all changes after a revision."""
        subscriber = _Subscriber(
            request.after, request.failure_domain, self._clock.now(), request.handover
        )
        self._subscriber_by_channel[channel] = subscriber
        self._push_changes(channel)

    @callback
    def remove(self, channel: Channel[Any]) -> None:
        """Remove a gateway whose channel was closed."""
        self._subscriber_by_channel.pop(channel, None)

    @callback
    def update_report(self, channel: Channel[Any], report: LoadReport) -> None:
        """Store the load report of a gateway."""
        subscriber = self._subscriber_by_channel.get(channel)
        if subscriber is not None:
            subscriber.report = report
            subscriber.last_message_at = self._clock.now()

    @callback
    def update_remote(self, host_id: HostId, load: ReplicaLoad) -> None:
        """Store the loads of the gateways subscribed to another replica."""
        known = self._remote_by_host.setdefault(host_id, _RemoteLoad(load, 0.0))
        known.load = load
        known.last_message_at = self._clock.now()

    @callback
    def update_remote_gateways(self, host_id: HostId, message: ReplicaGateways) -> None:
        """Store the gateways that follow another replica, if its loads are known."""
        remote = self._remote_by_host.get(host_id)
        if remote is not None:
            remote.gateways = message.gateways
            remote.gateways_until = self._clock.now() + GATEWAYS_TTL_S

    def gateways(self) -> int:
        """Return the number of live gateways known to this replica."""
        remote_gateways = sum(remote.load.gateways for remote in self._remote_by_host.values())
        return len(self._subscriber_by_channel) + remote_gateways

    @callback
    def push_to_gateways(self, message: CatalogMessage) -> None:
        """Push a message to all gateways."""
        for channel in self._subscriber_by_channel:
            channel.push(message)

    @callback
    def push_to(self, gateway_id: HostId, message: CatalogMessage) -> None:
        """Push a message to one gateway, if it is subscribed here."""
        for channel in self._subscriber_by_channel:
            if channel.peer_id == gateway_id:
                channel.push(message)

    def failure_domain(self, channel: Channel[Any]) -> FailureDomainId | None:
        """Return the failure domain of a gateway, if it is subscribed here."""
        subscriber = self._subscriber_by_channel.get(channel)
        return None if subscriber is None else subscriber.failure_domain

    def all_suspects(self) -> tuple[EndpointId, ...]:
        """Return the endpoints suspected by any gateway."""
        remote = (remote.load.suspects for remote in self._remote_by_host.values())
        return _union(self._suspects(), *remote)

    @callback
    def push_changes(self) -> None:
        """Push pending changes to all gateways."""
        for channel in list(self._subscriber_by_channel):
            self._push_changes(channel)

    @callback
    def push_loads(self) -> ReplicaLoad:
        """Push the load of the others to each gateway; return the sum at this replica."""
        now = self._clock.now()
        self._drop_unresponsive(now)
        totals = LoadTotals()
        reports = [subscriber.report for subscriber in self._subscriber_by_channel.values()]
        for report in reports:
            totals.add(report)
        local_load = ReplicaLoad(
            len(reports),
            totals.loads(),
            self._suspects(),
            totals.pressures(),
            lowest_slowdowns(reports),
            totals.transfers(),
            reads_gateways=True,
        )
        remote_loads = [remote.load for remote in self._remote_by_host.values()]
        suspects = _union(local_load.suspects, *(load.suspects for load in remote_loads))
        slowdown_by_id = lowest_slowdowns((local_load, *remote_loads))
        freshness = Freshness(self._state_machine.state.revision, self._age(), self.gateways())
        for load in remote_loads:
            totals.add(load)
        for channel, subscriber in list(self._subscriber_by_channel.items()):
            totals.add(subscriber.report, -1)
            channel.push(freshness)
            channel.push(totals.summary(suspects, slowdown_by_id))
            totals.add(subscriber.report)
        return local_load

    @callback
    def push_replicas(self) -> None:
        """Push the list of replicas to each gateway that has another one."""
        replicas = self._replicas()
        for channel, subscriber in self._subscriber_by_channel.items():
            if subscriber.pushed_replicas != replicas and channel.push(ReplicaList(replicas)):
                subscriber.pushed_replicas = replicas

    @callback
    def push_peers(self) -> ReplicaGateways | None:
        """Push its peers to each gateway; return the gateways here if other replicas need them.

        A gateway that takes no requests of others is of an older build, which would close the
        channel on a list of peers.
        """
        now = self._clock.now()
        local = tuple(sorted(self._local_gateways(), key=lambda gateway: gateway.gateway_id))
        remotes = self._remote_by_host.values()
        remote = (gateway for host in remotes for gateway in host.current_gateways(now))
        # A gateway that has just changed its replica is known by both for a while.
        gateway_by_id = {gateway.gateway_id: gateway for gateway in (*remote, *local)}
        gateways = frozenset(gateway_by_id.values())
        if gateways != self._known_gateways:
            self._known_gateways = gateways
            self._ring = PeerRing(gateways)
        for channel, subscriber in self._subscriber_by_channel.items():
            if subscriber.handover is not None and subscriber.ring is not self._ring:
                self._push_peers_to(channel, subscriber)
        return self._take_gateways(local)

    def readers_of_gateways(self) -> tuple[HostId, ...]:
        """Return the replicas that read which gateways follow others."""
        now = self._clock.now()
        remotes = self._remote_by_host.items()
        return tuple(host_id for host_id, remote in remotes if remote.reads_gateways(now))

    @callback
    def _push_peers_to(self, channel: Channel[Any], subscriber: _Subscriber) -> None:
        """Push its peers to one gateway if they have changed."""
        peers = self._ring.peers(channel.peer_id, subscriber.failure_domain)
        if subscriber.pushed_peers != peers and not channel.push(PeerList(peers)):
            return
        subscriber.pushed_peers = peers
        subscriber.ring = self._ring

    def _local_gateways(self) -> Iterator[PeerGateway]:
        """Yield the gateways that follow this replica and take requests of others."""
        for channel, subscriber in self._subscriber_by_channel.items():
            report = subscriber.report
            if subscriber.handover is not None and not report.is_draining:
                yield PeerGateway(
                    channel.peer_id,
                    subscriber.handover,
                    subscriber.failure_domain,
                    report.unreachable_services,
                )

    @callback
    def _take_gateways(self, gateways: tuple[PeerGateway, ...]) -> ReplicaGateways | None:
        """Return what to send to the other replicas; None while they know it."""
        now = self._clock.now()
        readers = self.readers_of_gateways()
        is_due = now >= self._sent_gateways_at + GATEWAYS_REFRESH_INTERVAL_S
        if (gateways, readers) == (self._sent_gateways, self._sent_readers) and not is_due:
            return None
        self._sent_gateways, self._sent_readers, self._sent_gateways_at = gateways, readers, now
        return ReplicaGateways(gateways)

    def _suspects(self) -> tuple[EndpointId, ...]:
        """Return the endpoints suspected by any gateway subscribed here."""
        return _union(
            *(subscriber.report.suspects for subscriber in self._subscriber_by_channel.values())
        )

    def _drop_unresponsive(self, now: float) -> None:
        """Close channels of unresponsive gateways and drop loads of unresponsive replicas."""
        for channel, subscriber in list(self._subscriber_by_channel.items()):
            if now > subscriber.last_message_at + GATEWAY_TIMEOUT_S:
                channel.close()
                self.remove(channel)
        for host_id, remote in list(self._remote_by_host.items()):
            if now > remote.last_message_at + GATEWAY_TIMEOUT_S:
                del self._remote_by_host[host_id]

    def _push_changes(self, channel: Channel[Any]) -> None:
        """Push pending changes to one gateway."""
        subscriber = self._subscriber_by_channel[channel]
        state = self._state_machine.state
        if state.revision <= subscriber.pushed_revision:
            return
        is_full = subscriber.pushed_revision == 0 or subscriber.pushed_revision < state.last_evicted
        after = Revision(0) if is_full else subscriber.pushed_revision
        document = None
        if state.stored is not None and state.stored.revision > after:
            document = state.stored.compressed_document
        delta = Delta(state.revision, is_full, document, state.changed_after(after), after)
        if channel.push(delta):
            subscriber.pushed_revision = state.revision


def _union(*groups: tuple[Any, ...]) -> tuple[Any, ...]:
    """Return the sorted union of groups."""
    return tuple(sorted({item for group in groups for item in group}))
