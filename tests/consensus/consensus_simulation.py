"""Simulation of replicas, network and disks, with seeded faults."""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec

from lagoonwing_consensus import (
    CoreSettings,
    Entry,
    EntryKind,
    HardState,
    InvariantError,
    Message,
    Output,
    Replica,
    ReplicaCore,
    ReplicaRole,
    ReplicaSet,
    RestoredState,
    Snapshot,
    encode_replica_set,
)
from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term

SETTINGS = CoreSettings(
    heartbeat_s=1.0,
    election_min_s=4.0,
    election_max_s=7.0,
    election_retry_min_s=0.6,
    election_retry_max_s=2.5,
    clock_drift_ratio=0.1,
    max_message_entries=3,
    max_inflight_messages=2,
    snapshot_chunk_bytes=24,
    snapshot_retry_s=2.0,
    voter_lost_s=9.0,
    learner_lag_entries=2,
)
HOSTS = ("a", "b", "c", "d")
FAULT_PHASE_S = 80.0
RECOVERY_S = 90.0
KEEP_ENTRIES = 3


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


@dataclass(frozen=True)
class Faults:
    """Fault rates of messages, and the kinds of fault events, in one schedule."""

    loss: float
    duplicate: float
    delayed: float
    kinds: tuple[str, ...]


@dataclass(frozen=True)
class InjectedBugs:
    """Bugs in the simulated I/O that a mutation may inject."""

    syncs: bool = True
    keeps_vote: bool = True
    wiped_disk_keeps_identity: bool = False


class Simulation:
    """One schedule: a phase of faults, then a phase in which the log must make progress.

    Attributes:
        hosts: Names of the hosts.
        initial_voter_count: Number of hosts whose replicas are voters from the start.
        others_join: Whether the other hosts start outside the replica set and have to join.
    """

    hosts = HOSTS
    initial_voter_count = 3
    others_join = False
    base_settings = SETTINGS

    def __init__(self, seed: int, bugs: InjectedBugs = InjectedBugs()) -> None:
        self.random = random.Random(seed)
        self._bugs = bugs
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._entry_by_position: dict[tuple[int, int], tuple[bytes, int]] = {}
        self.committed_by_index: dict[int, Entry] = {}
        self._hash_by_index: dict[int, bytes] = {}
        self._leader_by_term: dict[int, ReplicaId] = {}
        self.acknowledged_index = 0
        self._acknowledgements: list[tuple[float, int]] = []
        self._blocked: set[tuple[str, str]] = set()
        self._wiped: set[ReplicaId] = set()
        self._wipes = 0
        self._recovering = False
        self.recovered = False
        self._faults = self._choose_faults()
        self._settings = replace(self.base_settings, max_message_entries=self.random.choice((1, 3)))
        self.node_by_host = {host: self._make_node(host) for host in self.hosts}
        replicas = [node.disk.replica for node in self.node_by_host.values()]
        learners = () if self.others_join else tuple(replicas[self.initial_voter_count :])
        initial_set = ReplicaSet(tuple(replicas[: self.initial_voter_count]), learners)
        entry = Entry(LogIndex(1), Term(1), EntryKind.REPLICA_SET, encode_replica_set(initial_set))
        self.node_by_host["a"].disk.entries.append(entry)
        self.node_by_host["a"].disk.hard_state = HardState(Term(1))

    def run(self) -> None:
        """Run the schedule.

        Raises:
            ViolationError: An invariant was violated.
        """
        for host in self.hosts:
            self._start(host)
        self._schedule(1.0, self._propose)
        self._schedule(self.random.uniform(6.0, 14.0), self._cause_fault)
        self._schedule(FAULT_PHASE_S, self._end_faults)
        while self.now < FAULT_PHASE_S + RECOVERY_S and not self.recovered:
            self.step()
        if not self.recovered:
            raise ViolationError("progress: the log has not recovered after the faults ended")

    def step(self) -> None:
        """Run the next event."""
        self.now, _, action = heapq.heappop(self._events)
        try:
            action()
        except InvariantError as error:
            raise ViolationError(f"invariant: {error}") from error

    def isolate(self, hosts: list[str]) -> None:
        """Partition some hosts from the rest, in both directions."""
        self._blocked = {
            (sender, receiver)
            for sender in self.hosts
            for receiver in self.hosts
            if (sender in hosts) is not (receiver in hosts)
        }

    def heal(self) -> None:
        """End all network partitions."""
        self._blocked.clear()

    def kill(self, host: str) -> None:
        """Kill the process of a host; some of its unsynced output may reach the disk."""
        node = self.node_by_host[host]
        node.core = None
        node.role = ReplicaRole.FOLLOWER
        for _ in range(self.random.randint(0, len(node.unsynced))):
            node.disk.write(node.unsynced.popleft(), keeps_vote=self._bugs.keeps_vote)
        node.unsynced.clear()

    def local_now(self, node: Node) -> float:
        """Return the time on a node's clock."""
        return node.clock_offset + node.clock_rate * self.now

    def _choose_faults(self) -> Faults:
        """Choose the faults of this schedule."""
        choose = self.random.choice
        kinds = (
            "partition",
            "partition_one_way",
            "partition_one_way",
            "heal",
            "isolate_new_leader",
        ) + (
            "crash",
            "crash",
            "crash_all",
            "wipe",
            "snapshot",
        )
        return Faults(
            loss=choose((0.0, 0.0, 0.05, 0.2)),
            duplicate=choose((0.0, 0.1)),
            delayed=choose((0.0, 0.05, 0.3)),
            kinds=tuple(self.random.sample(kinds, self.random.randint(2, len(kinds)))),
        )

    def _make_node(self, host: str) -> Node:
        """Return a host with an empty disk."""
        drift = self.base_settings.clock_drift_ratio
        return Node(
            disk=Disk(_replica(host, 0)),
            clock_offset=self.random.uniform(0.0, 1000.0),
            clock_rate=self.random.uniform(1.0 - drift, 1.0 + drift),
        )

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an event."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay, self._sequence, action))

    def _start(self, host: str) -> None:
        """Start the process of a host from its disk."""
        node = self.node_by_host[host]
        disk = node.disk
        node.incarnation += 1
        node.applied, node.state_hash = _decode_state(disk.snapshot)
        restored = RestoredState(
            disk.hard_state, disk.snapshot, tuple(disk.entries), disk.snapshot.index
        )
        seed = self.random.getrandbits(32)
        node.role = ReplicaRole.FOLLOWER
        node.core = ReplicaCore(
            disk.replica.replica_id, self._settings, restored, seed, self.local_now(node)
        )
        self._process_output(host, node.core.start())
        self._tick(host, node.incarnation)

    def _tick(self, host: str, incarnation: int) -> None:
        """Run the periodic work of a process and check reads."""
        node = self.node_by_host[host]
        if node.core is None or node.incarnation != incarnation:
            return
        self._process_output(host, node.core.tick(self.local_now(node)))
        self._request_join(host)
        self._check_read(node)
        self._check_current(node)
        self._schedule(0.7, lambda: self._tick(host, incarnation))

    def _request_join(self, host: str) -> None:
        """Send the join request of a replica outside the set to all reachable peers."""
        node = self.node_by_host[host]
        replica = node.disk.replica
        was_wiped = replica.replica_id in self._wiped
        is_first = replica == _replica(host, 0) and not was_wiped
        if is_first and not (self.others_join and host in self.hosts[self.initial_voter_count :]):
            return
        for other, peer in self.node_by_host.items():
            if peer.core is not None and (host, other) not in self._blocked:
                self._process_output(other, peer.core.add_learner(replica, self.local_now(peer)))

    def _process_output(self, host: str, output: Output) -> None:
        """Carry out and check the output of a core."""
        node = self.node_by_host[host]
        core = node.core
        assert core is not None
        for entry in output.entries:
            self._check_entry(core, entry)
        if core.role is not node.role:
            node.role = core.role
            if core.role is ReplicaRole.LEADER:
                self._check_election(core)
                self._isolate_new_leader(host)
        if core.role is ReplicaRole.LEADER:
            self._check_lease(node)
        if output.snapshot is not None and output.snapshot.index > node.applied:
            node.applied, node.state_hash = _decode_state(output.snapshot)
            self._check_state(node)
        self._apply(node, output.committed)
        for message in output.immediate_messages:
            self._send(host, message)
        if not self._bugs.syncs:
            self._send_all(host, output)
            if output.entries:
                self._notify_persisted(host, output.entries[-1])
            output.messages.clear()
        elif not output.needs_sync and not node.unsynced:
            self._send_all(host, output)
            return
        node.unsynced.append(output)
        if len(node.unsynced) == 1:
            self._start_sync(host)

    def _start_sync(self, host: str) -> None:
        """Start a sync of all pending output."""
        node = self.node_by_host[host]
        incarnation, count = node.incarnation, len(node.unsynced)
        sync_s = self.random.choice((0.02, 0.02, 0.5))
        self._schedule(sync_s, lambda: self._end_sync(host, incarnation, count))

    def _end_sync(self, host: str, incarnation: int, count: int) -> None:
        """Finish a sync and release the output that waited for it."""
        node = self.node_by_host[host]
        if node.core is None or node.incarnation != incarnation:
            return
        outputs = [node.unsynced.popleft() for _ in range(count)]
        for output in outputs:
            node.disk.write(output, keeps_vote=self._bugs.keeps_vote)
        if node.unsynced:
            self._start_sync(host)
        for output in outputs:
            self._send_all(host, output)
            if output.entries:
                self._notify_persisted(host, output.entries[-1])

    def _notify_persisted(self, host: str, entry: Entry) -> None:
        """Notify a core that its entries are synced."""
        node = self.node_by_host[host]
        assert node.core is not None
        output = node.core.persisted(entry.index, entry.term, self.local_now(node))
        self._process_output(host, output)

    def _send_all(self, host: str, output: Output) -> None:
        """Send the messages that waited for a sync."""
        for message in output.messages:
            self._send(host, message)

    def _send(self, host: str, message: Message) -> None:
        """Send a message over the simulated network."""
        receiver = message.receiver.split("-")[0]
        if (host, receiver) in self._blocked:
            return
        faults = self._faults
        copies = 2 if self.random.random() < faults.duplicate else 1
        for _ in range(copies):
            if self._recovering or self.random.random() >= faults.loss:
                self._schedule(self._choose_delay(), lambda: self._deliver(receiver, message))

    def _choose_delay(self) -> float:
        """Return the network delay of a message."""
        if not self._recovering and self.random.random() < self._faults.delayed:
            return self.random.uniform(0.0, 18.0)
        return self.random.uniform(0.01, 0.2)

    def _deliver(self, host: str, message: Message) -> None:
        """Deliver a message if its receiver is running."""
        node = self.node_by_host[host]
        if node.core is None or message.receiver != node.disk.replica.replica_id:
            return
        self._process_output(host, node.core.step(message, self.local_now(node)))

    def _propose(self) -> None:
        """Propose commands on every replica that believes it is the leader."""
        self._schedule(self.random.uniform(0.5, 4.0), self._propose)
        for host, node in self.node_by_host.items():
            if node.core is not None and node.core.role is ReplicaRole.LEADER:
                commands = [self.random.randbytes(4) for _ in range(self.random.randint(0, 3))]
                self._process_output(host, node.core.propose(commands, self.local_now(node)))
        if self._recovering:
            self.recovered = self._has_recovered()

    def _cause_fault(self) -> None:
        """Cause or end one fault."""
        if self._recovering:
            return
        self._schedule(self.random.uniform(0.5, 6.0), self._cause_fault)
        host, other = self._choose_hosts()
        match self.random.choice(self._faults.kinds):
            case "partition":
                self.isolate([host] if self.random.random() < 0.6 else [host, other])
            case "partition_one_way":
                self._blocked.add((host, other))
            case "crash":
                self._crash_temporarily(host)
            case "crash_all":
                for crashing in self.hosts:
                    self._crash_temporarily(crashing)
            case "wipe":
                self._wipe(host)
            case "snapshot":
                self._take_snapshot(host)
            case "heal" | "isolate_new_leader":
                self.heal()

    def _choose_hosts(self) -> tuple[str, str]:
        """Return the target host of a fault, often a leader, and another host."""
        leaders = [
            host for host in self.hosts if self.node_by_host[host].role is ReplicaRole.LEADER
        ]
        shuffled = self.random.sample(self.hosts, len(self.hosts))
        if leaders and self.random.random() < 0.4:
            shuffled.sort(key=lambda host: host != leaders[0])
        return shuffled[0], shuffled[1]

    def _isolate_new_leader(self, host: str) -> None:
        """Partition a new leader before it sends its first entry."""
        if "isolate_new_leader" in self._faults.kinds and self.random.random() < 0.5:
            self.isolate([host])

    def _crash_temporarily(self, host: str) -> None:
        """Kill a process and restart it later."""
        if self.node_by_host[host].core is None:
            return
        self.kill(host)
        longest = self.random.choice((0.5, 14.0))
        self._schedule(self.random.uniform(0.1, longest), lambda: self.restart(host))

    def restart(self, host: str) -> None:
        """Start a process unless it is running."""
        if self.node_by_host[host].core is None:
            self._start(host)

    def _wipe(self, host: str) -> None:
        """Wipe a disk, if every replica set in use keeps a majority of its disks."""
        node = self.node_by_host[host]
        if not self.committed_by_index:
            # Until the first commit, only the bootstrap host's disk holds the log.
            return
        wiped_ids = self._wiped | {node.disk.replica.replica_id}
        if not all(_keeps_majority(replica_set, wiped_ids) for replica_set in self._sets_in_use()):
            return
        self.kill(host)
        self._wiped = wiped_ids
        self._wipes += 1
        keeps = self._bugs.wiped_disk_keeps_identity
        node.disk = Disk(node.disk.replica if keeps else _replica(host, self._wipes))
        self._schedule(self.random.uniform(0.1, 5.0), lambda: self.restart(host))

    def _sets_in_use(self) -> list[ReplicaSet]:
        """Return every replica set that some replica may still use."""
        sets = [
            node.core.replica_set for node in self.node_by_host.values() if node.core is not None
        ]
        for node in self.node_by_host.values():
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
        node = self.node_by_host[host]
        if node.core is None or node.applied <= node.core.snapshot_index or node.unsynced:
            return
        encoded = msgspec.msgpack.encode((node.applied, node.state_hash))
        snapshot = node.core.make_snapshot(LogIndex(node.applied), encoded)
        node.disk.write(Output(snapshot=snapshot), keeps_vote=True)
        node.core.compact(snapshot, KEEP_ENTRIES)

    def _end_faults(self) -> None:
        """End all faults and restart all hosts."""
        self._recovering = True
        self.heal()
        self._faults = Faults(0.0, 0.0, 0.0, ())
        for host in self.hosts:
            self.restart(host)

    def _has_recovered(self) -> bool:
        """Return whether replicas have caught up and all wanted voters are live."""
        cores = [node.core for node in self.node_by_host.values() if node.core is not None]
        leaders = [core for core in cores if core.is_term_ready]
        if len(leaders) != 1 or leaders[0].commit < max(self.committed_by_index, default=0):
            return False
        if any(core.commit < leaders[0].commit - 8 for core in cores):
            return False
        voter_ids = {voter.replica_id for voter in leaders[0].replica_set.voters}
        return len(voter_ids) == self.base_settings.voter_count and not voter_ids & self._wiped

    def _check_entry(self, core: ReplicaCore, entry: Entry) -> None:
        """Log matching: index and term identify one entry and its predecessor."""
        previous = core._state.log.term_at(LogIndex(entry.index - 1))
        if previous is None:
            return
        position = (entry.index, entry.term)
        known = self._entry_by_position.setdefault(position, (entry.payload, previous))
        if known != (entry.payload, previous):
            raise ViolationError(f"log matching: two entries at {position}")

    def _check_election(self, core: ReplicaCore) -> None:
        """Election safety and leader completeness."""
        first = self._leader_by_term.setdefault(core.term, core.replica_id)
        if first != core.replica_id:
            raise ViolationError(
                f"election safety: {first} and {core.replica_id} lead the same term"
            )
        log = core._state.log
        for index, entry in self.committed_by_index.items():
            if index > log.base_index and log.term_at(LogIndex(index)) != entry.term:
                raise ViolationError(f"leader completeness: committed entry {index} is missing")

    def _check_lease(self, node: Node) -> None:
        """Lease exclusivity: no two leaders hold a valid lease at the same time."""
        assert node.core is not None
        if not node.core.is_lease_valid(self.local_now(node)):
            return
        for other in self.node_by_host.values():
            if other is node or other.core is None:
                continue
            if other.core.is_lease_valid(self.local_now(other)):
                raise ViolationError("lease exclusivity: two leaders hold a valid lease")

    def _check_read(self, node: Node) -> None:
        """Reads under the lease see every change acknowledged before."""
        assert node.core is not None
        index = node.core.read_index(self.local_now(node))
        if index is not None and index < self.acknowledged_index:
            raise ViolationError(
                f"stale read: {index} after {self.acknowledged_index} was acknowledged"
            )

    def _check_current(self, node: Node) -> None:
        """A replica has every change acknowledged before its `current_at`."""
        assert node.core is not None
        local = node.core.current_at(self.local_now(node))
        if local is None:
            return
        current_at = (local - node.clock_offset) / node.clock_rate
        for acknowledged_at, index in reversed(self._acknowledgements):
            if acknowledged_at < current_at:
                if index > node.core.commit:
                    raise ViolationError(
                        f"freshness: {node.core.commit} committed here, {index} acknowledged at "
                        f"{acknowledged_at}, current at {current_at}"
                    )
                return

    def _apply(self, node: Node, committed: list[Entry]) -> None:
        """State machine safety, and revisions that increase by one."""
        for entry in committed:
            if entry.index != node.applied + 1:
                raise ViolationError(f"revision order: {entry.index} after {node.applied}")
            known = self.committed_by_index.setdefault(entry.index, entry)
            if known != entry:
                raise ViolationError(
                    f"state machine safety: two entries committed at {entry.index}"
                )
            node.applied = entry.index
            node.state_hash = hashlib.blake2s(
                node.state_hash + entry.payload, digest_size=16
            ).digest()
            self._check_state(node)
            assert node.core is not None
            if node.core.role is ReplicaRole.LEADER:
                self.acknowledged_index = max(self.acknowledged_index, entry.index)
                self._acknowledgements.append((self.now, self.acknowledged_index))

    def _check_state(self, node: Node) -> None:
        """Every replica has the same state at the same entry."""
        known = self._hash_by_index.setdefault(node.applied, node.state_hash)
        if known != node.state_hash:
            raise ViolationError(f"state machine safety: states differ at entry {node.applied}")


def _replica(host: str, number: int) -> Replica:
    """Return the replica on a host's disk after a number of wipes."""
    return Replica(ReplicaId(f"{host}-{number}"), HostId(host), f"127.0.0.{number + 1}", 1)


def _decode_state(snapshot: Snapshot) -> tuple[int, bytes]:
    """Return the applied index and the state of a snapshot."""
    if not snapshot.state:
        return 0, b""
    return msgspec.msgpack.decode(snapshot.state, type=tuple[int, bytes])


def _keeps_majority(replica_set: ReplicaSet, wiped_ids: set[ReplicaId]) -> bool:
    """Return whether a majority of voters keep their disks, also with one learner added."""
    voters = [voter.replica_id in wiped_ids for voter in replica_set.voters]
    learners = [learner.replica_id in wiped_ids for learner in replica_set.learners]
    enlarged = [*voters, *sorted(learners)[-1:]]
    return not voters or (2 * sum(voters) < len(voters) and 2 * sum(enlarged) < len(enlarged))


class FiveVoterSimulation(Simulation):
    """Simulation with five voters: three hosts bootstrap the log, three more join."""

    hosts = ("a", "b", "c", "d", "e", "f")
    others_join = True
    base_settings = replace(SETTINGS, voter_count=5)
