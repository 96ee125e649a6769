"""Addresses of peers, from the settings."""

from __future__ import annotations

from lagoonwing_catalog.messages import ReplicaAddress
from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_core.models import HostAddress
from lagoonwing_core.settings import HostSettings, PeerSettings, ReplicaSettings


def own_address(settings: HostSettings) -> HostAddress:
    """Return where this process listens for its peers."""
    return HostAddress(
        host_id=HostId(settings.host_id),
        address=settings.address,
        port=settings.peer_port,
        failure_domain=FailureDomainId(settings.failure_domain),
    )


def peer_address(peer: PeerSettings | ReplicaSettings) -> HostAddress:
    """Return where another process listens for its peers."""
    return HostAddress(
        host_id=HostId(peer.host_id),
        address=peer.address,
        port=peer.port,
        failure_domain=FailureDomainId(peer.failure_domain),
    )


def replica_addresses(settings: HostSettings) -> tuple[HostAddress, ...]:
    """Return where each control replica listens."""
    return tuple(peer_address(replica) for replica in settings.replicas)


def split_listen(text: str) -> tuple[str, int]:
    """Return IP number and port of a checked listen address."""
    address, _, port = text.rpartition(":")
    return address, int(port)


def seed_addresses(settings: HostSettings) -> tuple[ReplicaAddress, ...]:
    """Return where registries may listen for their peers: on the same port on every host."""
    addresses = sorted({split_listen(seed)[0] for seed in settings.seeds})
    return tuple(
        ReplicaAddress(HostId(address), address, settings.peer_port) for address in addresses
    )
