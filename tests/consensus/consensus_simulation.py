"""Simulation of replicas and their network, with seeded faults."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import replace

from consensus_faults import FaultInjector, Faults, choose_faults
from consensus_invariants import Invariants
from consensus_nodes import (
    NO_BUGS,
    Disk,
    InjectedBugs,
    Node,
    ViolationError,
    decode_state,
    replica_of,
)

from lagoonwing_consensus import (
    CoreSettings,
    Entry,
    EntryKind,
    HardState,
    InvariantError,
    Message,
    Output,
    ReplicaCore,
    ReplicaRole,
    ReplicaSet,
    RestoredState,
    encode_replica_set,
)
from lagoonwing_core.ids import LogIndex, Term

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

    def __init__(self, seed: int, bugs: InjectedBugs = NO_BUGS) -> None:
        self.random = random.Random(seed)
        self.bugs = bugs
        self.invariants = Invariants()
        self._injector = FaultInjector(self)
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._blocked: set[tuple[str, str]] = set()
        self.recovering = False
        self.recovered = False
        self.faults = choose_faults(self.random)
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
            self.start(host)
        self.schedule(1.0, self._propose)
        self.schedule(self.random.uniform(6.0, 14.0), self._injector.cause_fault)
        self.schedule(FAULT_PHASE_S, self._end_faults)
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

    def block(self, sender: str, receiver: str) -> None:
        """Block a link in one direction."""
        self._blocked.add((sender, receiver))

    def heal(self) -> None:
        """End all network partitions."""
        self._blocked.clear()

    def kill(self, host: str) -> None:
        """Kill the process of a host; some of its unsynced output may reach the disk."""
        node = self.node_by_host[host]
        node.core = None
        node.role = ReplicaRole.FOLLOWER
        for _ in range(self.random.randint(0, len(node.unsynced))):
            node.disk.write(node.unsynced.popleft(), keeps_vote=self.bugs.keeps_vote)
        node.unsynced.clear()

    def _make_node(self, host: str) -> Node:
        """Return a host with an empty disk."""
        drift = self.base_settings.clock_drift_ratio
        return Node(
            disk=Disk(replica_of(host, 0)),
            clock_offset=self.random.uniform(0.0, 1000.0),
            clock_rate=self.random.uniform(1.0 - drift, 1.0 + drift),
        )

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an event."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay, self._sequence, action))

    def start(self, host: str) -> None:
        """Start the process of a host from its disk."""
        node = self.node_by_host[host]
        disk = node.disk
        node.incarnation += 1
        node.applied, node.state_hash = decode_state(disk.snapshot)
        restored = RestoredState(
            disk.hard_state, disk.snapshot, tuple(disk.entries), disk.snapshot.index
        )
        seed = self.random.getrandbits(32)
        node.role = ReplicaRole.FOLLOWER
        node.core = ReplicaCore(
            disk.replica.replica_id, self._settings, restored, seed, node.local_now(self.now)
        )
        self._process_output(host, node.core.start())
        self._tick(host, node.incarnation)

    def _tick(self, host: str, incarnation: int) -> None:
        """Run the periodic work of a process and check reads."""
        node = self.node_by_host[host]
        if node.core is None or node.incarnation != incarnation:
            return
        self._process_output(host, node.core.tick(node.local_now(self.now)))
        self._request_join(host)
        self.invariants.check_read(node, self.now)
        self.invariants.check_current(node, self.now)
        self.schedule(0.7, lambda: self._tick(host, incarnation))

    def _request_join(self, host: str) -> None:
        """Send the join request of a replica outside the set to all reachable peers."""
        node = self.node_by_host[host]
        replica = node.disk.replica
        was_wiped = replica.replica_id in self._injector.wiped_ids
        is_first = replica == replica_of(host, 0) and not was_wiped
        if is_first and not (self.others_join and host in self.hosts[self.initial_voter_count :]):
            return
        for other, peer in self.node_by_host.items():
            if peer.core is not None and (host, other) not in self._blocked:
                self._process_output(
                    other, peer.core.add_learner(replica, peer.local_now(self.now))
                )

    def _process_output(self, host: str, output: Output) -> None:
        """Carry out and check the output of a core."""
        node = self.node_by_host[host]
        core = node.core
        assert core is not None
        for entry in output.entries:
            self.invariants.check_entry(core, entry)
        if core.role is not node.role:
            node.role = core.role
            if core.role is ReplicaRole.LEADER:
                self.invariants.check_election(core)
                self._isolate_new_leader(host)
        if core.role is ReplicaRole.LEADER:
            self.invariants.check_lease(node, self.node_by_host.values(), self.now)
        if output.snapshot is not None and output.snapshot.index > node.applied:
            node.applied, node.state_hash = decode_state(output.snapshot)
            self.invariants.check_state(node)
        self.invariants.apply(node, output.committed, self.now)
        for message in output.immediate_messages:
            self._send(host, message)
        if not self.bugs.syncs:
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
        self.schedule(sync_s, lambda: self._end_sync(host, incarnation, count))

    def _end_sync(self, host: str, incarnation: int, count: int) -> None:
        """Finish a sync and release the output that waited for it."""
        node = self.node_by_host[host]
        if node.core is None or node.incarnation != incarnation:
            return
        outputs = [node.unsynced.popleft() for _ in range(count)]
        for output in outputs:
            node.disk.write(output, keeps_vote=self.bugs.keeps_vote)
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
        output = node.core.persisted(entry.index, entry.term, node.local_now(self.now))
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
        faults = self.faults
        copies = 2 if self.random.random() < faults.duplicate else 1
        for _ in range(copies):
            if self.recovering or self.random.random() >= faults.loss:
                self.schedule(self._choose_delay(), lambda: self._deliver(receiver, message))

    def _choose_delay(self) -> float:
        """Return the network delay of a message."""
        if not self.recovering and self.random.random() < self.faults.delayed:
            return self.random.uniform(0.0, 18.0)
        return self.random.uniform(0.01, 0.2)

    def _deliver(self, host: str, message: Message) -> None:
        """Deliver a message if its receiver is running."""
        node = self.node_by_host[host]
        if node.core is None or message.receiver != node.disk.replica.replica_id:
            return
        self._process_output(host, node.core.step(message, node.local_now(self.now)))

    def _propose(self) -> None:
        """Propose commands on every replica that believes it is the leader."""
        self.schedule(self.random.uniform(0.5, 4.0), self._propose)
        for host, node in self.node_by_host.items():
            if node.core is not None and node.core.role is ReplicaRole.LEADER:
                commands = [self.random.randbytes(4) for _ in range(self.random.randint(0, 3))]
                self._process_output(host, node.core.propose(commands, node.local_now(self.now)))
        if self.recovering:
            self.recovered = self._has_recovered()

    def _isolate_new_leader(self, host: str) -> None:
        """Partition a new leader before it sends its first entry."""
        if "isolate_new_leader" in self.faults.kinds and self.random.random() < 0.5:
            self.isolate([host])

    def restart(self, host: str) -> None:
        """Start a process unless it is running."""
        if self.node_by_host[host].core is None:
            self.start(host)

    def _end_faults(self) -> None:
        """End all faults and restart all hosts."""
        self.recovering = True
        self.heal()
        self.faults = Faults(0.0, 0.0, 0.0, ())
        for host in self.hosts:
            self.restart(host)

    def _has_recovered(self) -> bool:
        """Return whether replicas have caught up and all wanted voters are live."""
        cores = [node.core for node in self.node_by_host.values() if node.core is not None]
        leaders = [core for core in cores if core.is_term_ready]
        if len(leaders) != 1 or leaders[0].commit < max(
            self.invariants.committed_by_index, default=0
        ):
            return False
        if any(core.commit < leaders[0].commit - 8 for core in cores):
            return False
        voter_ids = {voter.replica_id for voter in leaders[0].replica_set.voters}
        return (
            len(voter_ids) == self.base_settings.voter_count
            and not voter_ids & self._injector.wiped_ids
        )


class FiveVoterSimulation(Simulation):
    """Simulation with five voters: three hosts bootstrap the log, three more join."""

    hosts = ("a", "b", "c", "d", "e", "f")
    others_join = True
    base_settings = replace(SETTINGS, voter_count=5)
