"""Settings of the registry."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_core.ids import FailureDomainId, HostId


@dataclass(frozen=True, slots=True)
class RegistrySettings:
    """Settings of one registry process.

    Attributes:
        address: IP address for connections from peers.
        peer_port: TCP port for connections from peers, the same on every host.
        announce_interval_s: Interval at which endpoints announce themselves.
    """

    host_id: HostId
    failure_domain: FailureDomainId
    address: str
    peer_port: int
    announce_interval_s: float
