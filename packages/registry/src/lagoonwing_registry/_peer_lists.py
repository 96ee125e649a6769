"""Which gateways may hand requests over to which others.

The gateways form a ring in the order of a hash of their ids. Each one gets those that follow it, so
that each is a peer of equally few others, however many there are.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from hashlib import blake2b
from itertools import chain, islice

from lagoonwing_catalog.messages import PeerGateway
from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_registry.const import PEERS_PER_GATEWAY


class PeerRing:
    """Gateways that take requests of others."""

    def __init__(self, gateways: Iterable[PeerGateway]) -> None:
        self._ring = sorted(gateways, key=lambda gateway: _position(gateway.gateway_id))
        self._positions = [_position(gateway.gateway_id) for gateway in self._ring]

    def peers(self, gateway_id: HostId, failure_domain: FailureDomainId) -> tuple[PeerGateway, ...]:
        """Return the peers of a gateway, the preferred ones first.

        Those that reach all services come first, and among them those of other failure domains, as
        the gateways of one are often cut off together.
        """
        start = bisect_right(self._positions, _position(gateway_id))
        ranked: tuple[list[PeerGateway], ...] = ([], [], [], [])
        for gateway in chain(self._ring[start:], self._ring[:start]):
            if gateway.gateway_id == gateway_id:
                continue
            is_near = gateway.failure_domain == failure_domain
            ranked[2 * bool(gateway.unreachable_services) + is_near].append(gateway)
            if len(ranked[0]) == PEERS_PER_GATEWAY:
                break
        return tuple(islice(chain(*ranked), PEERS_PER_GATEWAY))


def _position(gateway_id: HostId) -> int:
    """Return the position of a gateway in the ring, the same at every replica."""
    return int.from_bytes(blake2b(gateway_id.encode(), digest_size=8).digest(), "big")
