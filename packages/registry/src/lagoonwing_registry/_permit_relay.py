"""Passes the demand for permits to the leader, which issues them, and the permits back."""

from __future__ import annotations

import asyncio
from typing import Any

from lagoonwing_catalog.messages import PermitDemand, PermitGrant, RelayedDemand, RelayedGrant
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_registry._limit_relay import LimitRelay
from lagoonwing_registry._peers import Peers
from lagoonwing_registry._permit_issuer import PermitIssuer
from lagoonwing_registry._subscribers import Subscribers
from lagoonwing_registry.const import PERMIT_INTERVAL_S
from lagoonwing_replication import ReplicatedLog
from lagoonwing_wire import Channel


class PermitRelay:
    """Demand and permits of the gateways that follow this replica; all of them if it leads."""

    def __init__(
        self,
        log: ReplicatedLog,
        limits: LimitRelay,
        subscribers: Subscribers,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._log = log
        self._limits = limits
        self._subscribers = subscribers
        self._peers = peers
        self._issuer = PermitIssuer(clock)
        self._pending = RelayedDemand({}, {})
        self._replica_by_gateway: dict[HostId, HostId] = {}
        self._is_leading = False
        self._work_available = asyncio.Event()

    @callback
    def record_demand(self, channel: Channel[Any], demand: PermitDemand) -> None:
        """Store the demand of a gateway that follows this replica."""
        domain = self._subscribers.failure_domain(channel)
        if domain is not None:
            self._replica_by_gateway.pop(channel.peer_id, None)
            self._add_pending(channel.peer_id, domain, demand)

    @callback
    def record_relayed(self, replica_id: HostId, relayed: RelayedDemand) -> None:
        """Store the demand of gateways that follow another replica."""
        for gateway_id, demand in relayed.demand_by_gateway.items():
            domain = relayed.domain_by_gateway[gateway_id]
            self._replica_by_gateway[gateway_id] = replica_id
            self._add_pending(gateway_id, domain, demand)

    @callback
    def deliver(self, relayed: RelayedGrant) -> None:
        """Push grants to gateways that follow this replica."""
        for gateway_id, grant in relayed.grant_by_gateway.items():
            self._subscribers.push_to(gateway_id, grant)

    async def async_run(self) -> None:
        """Issue permits or pass on the demand for them until cancelled."""
        while True:
            await self._work_available.wait()
            self.process()
            if not self._issuer.has_demand:
                self._work_available.clear()
            await asyncio.sleep(PERMIT_INTERVAL_S)

    @callback
    def process(self) -> None:
        """Issue the permits that are due, or pass on the demand for them."""
        pending, self._pending = self._pending, RelayedDemand({}, {})
        is_leading = self._log.lease_term() is not None
        if is_leading != self._is_leading:
            self._is_leading = is_leading
            self._issuer.clear()
        if is_leading:
            self._issue(pending)
            return
        leader = self._log.status().leader
        if leader is not None and pending.demand_by_gateway:
            self._peers.push(leader, pending)

    def _issue(self, pending: RelayedDemand) -> None:
        """Issue permits as the leader."""
        for gateway_id, demand in pending.demand_by_gateway.items():
            self._issuer.update(gateway_id, pending.domain_by_gateway[gateway_id], demand)
        limited_by_service = self._limits.limited_by_service(self._subscribers.all_suspects())
        answered_ids = frozenset(pending.demand_by_gateway)
        relayed_by_replica: dict[HostId, dict[HostId, PermitGrant]] = {}
        for gateway_id, grant in self._issuer.issue(limited_by_service, answered_ids).items():
            replica_id = self._replica_by_gateway.get(gateway_id)
            if replica_id is None:
                self._subscribers.push_to(gateway_id, grant)
            else:
                relayed_by_replica.setdefault(replica_id, {})[gateway_id] = grant
        for replica_id, grants in relayed_by_replica.items():
            self._peers.push(replica_id, RelayedGrant(grants))

    def _add_pending(
        self, gateway_id: HostId, domain: FailureDomainId, demand: PermitDemand
    ) -> None:
        """Store a demand until the next turn."""
        self._pending.demand_by_gateway[gateway_id] = demand
        self._pending.domain_by_gateway[gateway_id] = domain
        self._work_available.set()
