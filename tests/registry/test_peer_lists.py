"""Which gateways may hand requests over to which others."""

from __future__ import annotations

from collections import Counter

import pytest

from lagoonwing_catalog.messages import HandoverAddress, PeerGateway
from lagoonwing_core.ids import FailureDomainId, HostId, ServiceId
from lagoonwing_registry._peer_lists import PeerRing
from lagoonwing_registry.const import PEERS_PER_GATEWAY

SERVICE = ServiceId("models")
DOMAINS = 19
SIZES = [4, 26, 78, 700]


def _gateways(count: int, cut_domains: int = 0) -> list[PeerGateway]:
    """Return gateways in several failure domains, of which some reach no endpoint."""
    return [
        PeerGateway(
            HostId(f"gateway-{number}"),
            HandoverAddress(f"10.0.{number // 250}.{number % 250}", 7_340),
            FailureDomainId(f"d-{number % DOMAINS}"),
            (SERVICE,) if number % DOMAINS < cut_domains else (),
        )
        for number in range(count)
    ]


@pytest.mark.parametrize("count", SIZES)
def test_each_gateway_is_a_peer_of_few_others(count: int) -> None:
    """Nobody is asked by all, and nobody has only itself."""
    gateways = _gateways(count)
    ring = PeerRing(gateways)
    asked: Counter[HostId] = Counter()
    for gateway in gateways:
        peers = ring.peers(gateway.gateway_id, gateway.failure_domain)
        assert len(peers) == min(PEERS_PER_GATEWAY, count - 1)
        assert gateway not in peers
        asked.update(peer.gateway_id for peer in peers)
    assert max(asked.values()) <= 2 * PEERS_PER_GATEWAY


@pytest.mark.parametrize("count", SIZES)
def test_gateways_that_are_cut_off_are_the_last_choice(count: int) -> None:
    """Gateways of a domain that has lost its endpoints get peers that have not."""
    gateways = _gateways(count, cut_domains=2)
    ring = PeerRing(gateways)
    able = sum(not gateway.unreachable_services for gateway in gateways)
    for gateway in gateways:
        peers = ring.peers(gateway.gateway_id, gateway.failure_domain)
        chosen = [peer for peer in peers if not peer.unreachable_services]
        is_able = not gateway.unreachable_services
        assert len(chosen) == min(PEERS_PER_GATEWAY, able - is_able)
        assert list(peers[: len(chosen)]) == chosen


@pytest.mark.parametrize("count", [78, 700])
def test_one_change_concerns_few_gateways(count: int) -> None:
    """A gateway that comes or goes changes the lists of those before it in the ring only."""
    gateways = _gateways(count)
    before, after = PeerRing(gateways), PeerRing(gateways[1:])
    changed = [
        gateway
        for gateway in gateways[1:]
        if before.peers(gateway.gateway_id, gateway.failure_domain)
        != after.peers(gateway.gateway_id, gateway.failure_domain)
    ]
    assert len(changed) <= 2 * PEERS_PER_GATEWAY
