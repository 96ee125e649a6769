"""Settings of one replica's shell."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from lagoonwing_consensus import CoreSettings
from lagoonwing_core.ids import HostId
from lagoonwing_replication.const import KEEP_ENTRIES, SNAPSHOT_ENTRIES


@dataclass(frozen=True, slots=True)
class ReplicaHost:
    """A host that holds a replica of the log from the beginning.

    Attributes:
        address: IP number on which it listens for its peers.
        port: TCP port on which it listens for its peers.
        is_voter: Whether its first replica votes; otherwise it begins as a learner.
    """

    host_id: HostId
    address: str
    port: int
    is_voter: bool


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Settings of one replica.

    Attributes:
        host_id: Host of this replica; one of `hosts`.
        folder: Folder that belongs to this replica alone.
        hosts: The same on every host. A new log is formed once all of them are up, each with
            an empty folder; later they only tell where to look for the log.
        own: This host, where `hosts` doesn't name it: it can only join.
        may_found: Whether a new log may be formed at all.
        snapshot_entries: Entries applied after which a snapshot is taken.
        keep_entries: Entries kept after a snapshot for replicas that lag a little.
        core: Timings and limits; the same on every host.
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
        """The entry of this host.

        Raises:
            ValueError: `hosts` doesn't name it.
        """
        for host in self.hosts:
            if host.host_id == self.host_id:
                return host
        if self.own is not None:
            return self.own
        raise ValueError(f"hosts doesn't name {self.host_id}")

    @property
    def bootstrap_host_id(self) -> HostId:
        """The host that forms a new log: the first voter by id."""
        return min(host.host_id for host in self.hosts if host.is_voter)
