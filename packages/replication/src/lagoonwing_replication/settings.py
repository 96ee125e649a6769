"""Settings of one replica."""

from __future__ import annotations

from collections.abc import Callable
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
        initial_hosts: Initial hosts, the same on every host. A new log is bootstrapped once all of
            them are up, each with an empty folder; later they serve only as seeds to find the log.
        read_seeds: Returns further hosts that may know the log; they may change while this host
            waits to join.
        joining_host: This host, if it is not in `initial_hosts`; it can only join an existing log.
        may_bootstrap: Whether this host may bootstrap a new log.
        snapshot_entries: Number of applied entries between snapshots.
        keep_entries: Number of entries kept after a snapshot for slightly lagging replicas.
        core: Settings of the consensus core; the same on every host.
    """

    host_id: HostId
    folder: Path
    initial_hosts: tuple[ReplicaHost, ...]
    read_seeds: Callable[[], tuple[ReplicaHost, ...]] = tuple
    joining_host: ReplicaHost | None = None
    may_bootstrap: bool = True
    snapshot_entries: int = SNAPSHOT_ENTRIES
    keep_entries: int = KEEP_ENTRIES
    core: CoreSettings = field(default_factory=CoreSettings)

    @property
    def local_host(self) -> ReplicaHost:
        """Address and role of this host.

        Raises:
            ValueError: This host is neither in `initial_hosts` nor given as `joining_host`.
        """
        for host in self.initial_hosts:
            if host.host_id == self.host_id:
                return host
        if self.joining_host is not None:
            return self.joining_host
        raise ValueError(f"host {self.host_id} is not in the list of hosts")

    @property
    def bootstrap_host_id(self) -> HostId:
        """The host that bootstraps a new log: the voter with the lowest host ID."""
        return min(host.host_id for host in self.initial_hosts if host.is_voter)
