"""Faults of hosts and links, chosen at random for each schedule."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import msgspec
from consensus_invariants import Invariants
from consensus_nodes import Disk, InjectedBugs, Node, replica_of

from lagoonwing_consensus import EntryKind, Output, ReplicaRole, ReplicaSet
from lagoonwing_core.ids import LogIndex, ReplicaId

KEEP_ENTRIES = 3
# A kind that stands here twice is chosen more often.
FAULT_KINDS = (
    "partition",
    "partition_one_way",
    "partition_one_way",
    "heal",
    "isolate_new_leader",
    "crash",
    "crash",
    "crash_all",
    "wipe",
    "snapshot",
)


@dataclass(frozen=True)
class Faults:
    """Fault rates of messages, and the kinds of fault events, in one schedule."""

    loss: float
    duplicate: float
    delayed: float
    kinds: tuple[str, ...]


def choose_faults(rng: random.Random) -> Faults:
    """Choose the faults of a schedule."""
    choose = rng.choice
    return Faults(
        loss=choose((0.0, 0.0, 0.05, 0.2)),
        duplicate=choose((0.0, 0.1)),
        delayed=choose((0.0, 0.05, 0.3)),
        kinds=tuple(rng.sample(FAULT_KINDS, rng.randint(2, len(FAULT_KINDS)))),
    )


class FaultySystem(Protocol):
    """What the injector needs of the simulation."""

    random: random.Random
    hosts: Sequence[str]
    node_by_host: Mapping[str, Node]
    invariants: Invariants
    bugs: InjectedBugs
    faults: Faults
    recovering: bool

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an event."""

    def isolate(self, hosts: list[str]) -> None:
        """Partition some hosts from the rest, in both directions."""

    def block(self, sender: str, receiver: str) -> None:
        """Block a link in one direction."""

    def heal(self) -> None:
        """End all network partitions."""

    def kill(self, host: str) -> None:
        """Kill the process of a host."""

    def restart(self, host: str) -> None:
        """Start a process unless it is running."""


class FaultInjector:
    """Causes and ends faults at random times.

    Attributes:
        wiped_ids: Replicas whose disks were wiped.
    """

    def __init__(self, simulation: FaultySystem) -> None:
        self.wiped_ids: set[ReplicaId] = set()
        self._simulation = simulation
        self._random = simulation.random
        self._wipes = 0

    def cause_fault(self) -> None:
        """Cause or end one fault."""
        if self._simulation.recovering:
            return
        self._simulation.schedule(self._random.uniform(0.5, 6.0), self.cause_fault)
        host, other = self._choose_hosts()
        match self._random.choice(self._simulation.faults.kinds):
            case "partition":
                self._simulation.isolate([host] if self._random.random() < 0.6 else [host, other])
            case "partition_one_way":
                self._simulation.block(host, other)
            case "crash":
                self._crash_temporarily(host)
            case "crash_all":
                for crashing in self._simulation.hosts:
                    self._crash_temporarily(crashing)
            case "wipe":
                self._wipe(host)
            case "snapshot":
                self._take_snapshot(host)
            case "heal" | "isolate_new_leader":
                self._simulation.heal()

    def _choose_hosts(self) -> tuple[str, str]:
        """Return the target host of a fault, often a leader, and another host."""
        leaders = [
            host
            for host in self._simulation.hosts
            if self._simulation.node_by_host[host].role is ReplicaRole.LEADER
        ]
        shuffled = self._random.sample(self._simulation.hosts, len(self._simulation.hosts))
        if leaders and self._random.random() < 0.4:
            shuffled.sort(key=lambda host: host != leaders[0])
        return shuffled[0], shuffled[1]

    def _crash_temporarily(self, host: str) -> None:
        """Kill a process and restart it later."""
        if self._simulation.node_by_host[host].core is None:
            return
        self._simulation.kill(host)
        longest = self._random.choice((0.5, 14.0))
        self._simulation.schedule(
            self._random.uniform(0.1, longest), lambda: self._simulation.restart(host)
        )

    def _wipe(self, host: str) -> None:
        """Wipe a disk, if every replica set in use keeps a majority of its disks."""
        node = self._simulation.node_by_host[host]
        if not self._simulation.invariants.committed_by_index:
            # Until the first commit, only the bootstrap host's disk holds the log.
            return
        wiped_ids = self.wiped_ids | {node.disk.replica.replica_id}
        if not all(keeps_majority(replica_set, wiped_ids) for replica_set in self._sets_in_use()):
            return
        self._simulation.kill(host)
        self.wiped_ids = wiped_ids
        self._wipes += 1
        keeps = self._simulation.bugs.wiped_disk_keeps_identity
        node.disk = Disk(node.disk.replica if keeps else replica_of(host, self._wipes))
        self._simulation.schedule(
            self._random.uniform(0.1, 5.0), lambda: self._simulation.restart(host)
        )

    def _sets_in_use(self) -> list[ReplicaSet]:
        """Return every replica set that some replica may still use."""
        sets = [
            node.core.replica_set
            for node in self._simulation.node_by_host.values()
            if node.core is not None
        ]
        for node in self._simulation.node_by_host.values():
            sets.append(node.disk.snapshot.replica_set)
            for output in (Output(entries=node.disk.entries), *node.unsynced):
                sets.extend(
                    msgspec.msgpack.decode(entry.payload, type=ReplicaSet)
                    for entry in output.entries
                    if entry.kind is EntryKind.REPLICA_SET
                )
        return sets

    def _take_snapshot(self, host: str) -> None:
        """Snapshot the state of a process and compact its log."""
        node = self._simulation.node_by_host[host]
        if node.core is None or node.applied <= node.core.snapshot_index or node.unsynced:
            return
        encoded = msgspec.msgpack.encode((node.applied, node.state_hash))
        snapshot = node.core.make_snapshot(LogIndex(node.applied), encoded)
        node.disk.write(Output(snapshot=snapshot), keeps_vote=True)
        node.core.compact(snapshot, KEEP_ENTRIES)


def keeps_majority(replica_set: ReplicaSet, wiped_ids: set[ReplicaId]) -> bool:
    """Return whether a majority of voters keep their disks, also with one learner added."""
    voters = [voter.replica_id in wiped_ids for voter in replica_set.voters]
    learners = [learner.replica_id in wiped_ids for learner in replica_set.learners]
    enlarged = [*voters, *sorted(learners)[-1:]]
    return not voters or (2 * sum(voters) < len(voters) and 2 * sum(enlarged) < len(enlarged))
