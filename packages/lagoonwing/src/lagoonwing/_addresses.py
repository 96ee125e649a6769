"""Peer addresses from the settings."""

from __future__ import annotations

from lagoonwing_catalog.messages import ReplicaAddress
from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_core.models import HostAddress
from lagoonwing_core.settings import HostSettings, PeerSettings, ReplicaSettings


def own_address(settings: HostSettings) -> HostAddress:
    """Return the peer address of this process."""
    return HostAddress(
        host_id=HostId(settings.host_id),
        address=settings.address,
        port=settings.peer_port,
        failure_domain=FailureDomainId(settings.failure_domain),
    )


def peer_address(peer: PeerSettings | ReplicaSettings) -> HostAddress:
    """Return the peer address of another process."""
    return HostAddress(
        host_id=HostId(peer.host_id),
        address=peer.address,
        port=peer.port,
        failure_domain=FailureDomainId(peer.failure_domain),
    )


def replica_addresses(settings: HostSettings) -> tuple[HostAddress, ...]:
    """Return the peer addresses of all control replicas."""
    return tuple(peer_address(replica) for replica in settings.replicas)


def split_listen_address(text: str) -> tuple[str, int]:
    """Split a validated listen address into IP address and port."""
    address, _, port = text.rpartition(":")
    return address, int(port)


def seed_addresses(settings: HostSettings) -> tuple[ReplicaAddress, ...]:
    """Return the possible peer addresses of registries; all hosts use the same port."""
    addresses = sorted({split_listen_address(seed)[0] for seed in settings.seeds})
    return tuple(
        ReplicaAddress(HostId(address), address, settings.peer_port) for address in addresses
    )
