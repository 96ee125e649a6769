"""Settings of one replica."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from lagoonwing_consensus import CoreSettings
from lagoonwing_core.ids import HostId
from lagoonwing_replication.const import KEEP_ENTRIES, SNAPSHOT_ENTRIES


@dataclass(frozen=True, slots=True)
class ReplicaHost:
    """A host with an initial replica of the log.

    Attributes:
        address: IP address on which it listens for its peers.
        port: TCP port on which it listens for its peers.
        is_voter: Whether its initial replica is a voter; otherwise it starts as a learner.
    """

    host_id: HostId
    address: str
    port: int
    is_voter: bool


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Settings of one replica.

    Attributes:
        host_id: Host of this replica.
        folder: Data folder, used by this replica only.
        hosts: Initial hosts, the same on every host. A new log is bootstrapped once all of them are
            up, each with an empty folder; later they serve only as seeds to find the log.
        own: This host, if it is not in `hosts`; it can only join an existing log.
        may_found: Whether this host may bootstrap a new log.
        snapshot_entries: Number of applied entries between snapshots.
        keep_entries: Number of entries kept after a snapshot for slightly lagging replicas.
        core: Settings of the consensus core; the same on every host.
    """

    host_id: HostId
    folder: Path
    hosts: tuple[ReplicaHost, ...]
    own: ReplicaHost | None = None
    may_found: bool = True
    snapshot_entries: int = SNAPSHOT_ENTRIES
    keep_entries: int = KEEP_ENTRIES
    core: CoreSettings = field(default_factory=CoreSettings)

    @property
    def own_host(self) -> ReplicaHost:
        """Address and role of this host.

        Raises:
            ValueError: This host is neither in `hosts` nor given as `own`.
        """
        for host in self.hosts:
            if host.host_id == self.host_id:
                return host
        if self.own is not None:
            return self.own
        raise ValueError(f"host {self.host_id} is not in the list of hosts")

    @property
    def bootstrap_host_id(self) -> HostId:
        """The host that bootstraps a new log: the voter with the lowest host ID."""
        return min(host.host_id for host in self.hosts if host.is_voter)
