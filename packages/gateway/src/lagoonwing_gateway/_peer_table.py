"""Gateways to which this one may hand requests over, and which to ask first."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection

from lagoonwing_catalog.messages import PeerGateway
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import HostId, ServiceId
from lagoonwing_gateway.const import PEER_AVOIDANCE_S


class PeerTable:
    """Peers by what they reach, how they answered, and how much they do for this gateway."""

    def __init__(
        self, peers: Callable[[], tuple[PeerGateway, ...]], clock: Clock, rng: random.Random
    ) -> None:
        """Create the table.

        Args:
            peers: Returns the peers that a replica has told last.
            clock: Time source.
            rng: Random source for the choice between peers.
        """
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._avoided_until_by_id: dict[HostId, float] = {}
        self._active_by_id: Counter[HostId] = Counter()

    def has_any(self, service_id: ServiceId) -> bool:
        """Return whether any peer reaches a service, by what is known."""
        return bool(self._usable(service_id, ()))

    def choose(self, service_id: ServiceId, tried: Collection[HostId]) -> PeerGateway | None:
        """Return the less busy one of two random peers that reach a service, or None."""
        usable = self._usable(service_id, tried)
        if not usable:
            return None
        pair = self._rng.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda peer: self._active_by_id[peer.gateway_id])

    @callback
    def begin(self, peer: PeerGateway) -> None:
        """Count a request that a peer serves."""
        self._active_by_id[peer.gateway_id] += 1

    @callback
    def end(self, peer: PeerGateway) -> None:
        """Count the end of such a request."""
        self._active_by_id[peer.gateway_id] -= 1
        if self._active_by_id[peer.gateway_id] <= 0:
            del self._active_by_id[peer.gateway_id]

    @callback
    def avoid(self, peer: PeerGateway) -> None:
        """Avoid a peer that did not answer, or did not take a request."""
        now = self._clock.now()
        self._avoided_until_by_id = {
            peer_id: until for peer_id, until in self._avoided_until_by_id.items() if now < until
        }
        self._avoided_until_by_id[peer.gateway_id] = now + PEER_AVOIDANCE_S

    def _usable(self, service_id: ServiceId, tried: Collection[HostId]) -> list[PeerGateway]:
        """Return the peers that may be asked."""
        now = self._clock.now()
        return [
            peer
            for peer in self._peers()
            if service_id not in peer.unreachable_services
            and peer.gateway_id not in tried
            and now >= self._avoided_until_by_id.get(peer.gateway_id, 0.0)
        ]
