"""Hosts of the simulation with their disks and clocks."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

from lagoonwing_consensus import (
    Entry,
    HardState,
    Output,
    Replica,
    ReplicaCore,
    ReplicaRole,
    Snapshot,
)
from lagoonwing_core.ids import HostId, ReplicaId


class ViolationError(Exception):
    """An invariant was violated; the message starts with its name."""


@dataclass
class Disk:
    """Synced state of one replica."""

    replica: Replica
    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: list[Entry] = field(default_factory=list)

    def write(self, output: Output, *, keeps_vote: bool) -> None:
        """Write the durable part of an output."""
        if output.hard_state is not None:
            state = output.hard_state
            self.hard_state = state if keeps_vote else msgspec.structs.replace(state, vote=None)
        if output.snapshot is not None:
            self.snapshot = output.snapshot
            kept = [] if output.log_reset else self.entries
            self.entries = [entry for entry in kept if entry.index > self.snapshot.index]
        for entry in output.entries:
            self.entries = [kept for kept in self.entries if kept.index < entry.index]
            self.entries.append(entry)


@dataclass
class Node:
    """One host with its disk, its clock and, while running, its core."""

    disk: Disk
    clock_offset: float
    clock_rate: float
    core: ReplicaCore | None = None
    incarnation: int = 0
    unsynced: deque[Output] = field(default_factory=deque)
    applied: int = 0
    state_hash: bytes = b""
    role: ReplicaRole = ReplicaRole.FOLLOWER

    def local_now(self, now: float) -> float:
        """Return the time on the node's clock."""
        return self.clock_offset + self.clock_rate * now


@dataclass(frozen=True)
class InjectedBugs:
    """Bugs in the simulated I/O that a mutation may inject."""

    syncs: bool = True
    keeps_vote: bool = True
    wiped_disk_keeps_identity: bool = False


NO_BUGS = InjectedBugs()


def replica_of(host: str, number: int) -> Replica:
    """Return the replica on a host's disk after a number of wipes."""
    return Replica(ReplicaId(f"{host}-{number}"), HostId(host), f"127.0.0.{number + 1}", 1)


def decode_state(snapshot: Snapshot) -> tuple[int, bytes]:
    """Return the applied index and the state of a snapshot."""
    if not snapshot.state:
        return 0, b""
    return msgspec.msgpack.decode(snapshot.state, type=tuple[int, bytes])
