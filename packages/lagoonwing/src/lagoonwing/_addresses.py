"""Addresses of peers, from the settings."""

from __future__ import annotations

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
