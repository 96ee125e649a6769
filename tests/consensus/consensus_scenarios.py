"""Scripted schedules for invariants that random ones exercise too rarely."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from consensus_faults import Faults
from consensus_nodes import Disk, InjectedBugs, ViolationError
from consensus_simulation import HOSTS, SETTINGS, Simulation

from lagoonwing_consensus import (
    AppendRequest,
    Entry,
    EntryKind,
    HardState,
    Output,
    Replica,
    ReplicaCore,
    ReplicaRole,
    ReplicaSet,
    RestoredState,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
    encode_replica_set,
)
from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term

NO_FAULTS = Faults(0.0, 0.0, 0.0, ())


class ScriptedSimulation(Simulation):
    """Schedule without random faults."""

    def __init__(self, seed: int, bugs: InjectedBugs) -> None:
        super().__init__(seed, bugs)
        self.faults = NO_FAULTS
        for host in HOSTS:
            self.start(host)

    def run_for(self, seconds: float) -> None:
        """Run the schedule for some time."""
        end = self.now + seconds
        self.schedule(seconds, lambda: None)
        while self.now < end:
            self.step()

    def has_ready_leader(self) -> bool:
        """Return whether some replica leads and has committed an entry of its term."""
        return any(node.core and node.core.is_term_ready for node in self.node_by_host.values())

    def leader_host(self) -> str:
        """Return the only host that leads.

        Raises:
            ViolationError: None leads, or several do.
        """
        leaders = [
            host
            for host in HOSTS
            if (core := self.node_by_host[host].core) and core.role is ReplicaRole.LEADER
        ]
        if len(leaders) != 1:
            raise ViolationError(f"progress: {len(leaders)} leaders")
        return leaders[0]

    def term(self) -> int:
        """Return the leader's term."""
        core = self.node_by_host[self.leader_host()].core
        return 0 if core is None else core.term


def check_returning_replica(seed: int, bugs: InjectedBugs) -> None:
    """A follower that returns after a long partition doesn't depose the leader."""
    simulation = ScriptedSimulation(seed, bugs)
    simulation.run_for(20.0)
    leader = simulation.leader_host()
    term = simulation.term()
    follower = next(host for host in HOSTS[:3] if host != leader)
    simulation.isolate([follower])
    # Shorter than the time after which the follower would be demoted.
    simulation.run_for(SETTINGS.voter_lost_s - 1.0)
    simulation.heal()
    simulation.run_for(10.0)
    if simulation.term() != term:
        raise ViolationError("stable leadership: a returning replica deposed the leader")


def check_partitioned_leader_steps_down(seed: int, bugs: InjectedBugs) -> None:
    """A partitioned leader steps down after the maximum election timeout."""
    simulation = ScriptedSimulation(seed, bugs)
    simulation.run_for(20.0)
    leader = simulation.leader_host()
    simulation.isolate([leader])
    simulation.run_for(2.0 * SETTINGS.election_max_s)
    core = simulation.node_by_host[leader].core
    if core is None or core.role is ReplicaRole.LEADER:
        raise ViolationError("quorum check: a partitioned leader has not stepped down")


def check_former_leader_is_reelected_early(seed: int, bugs: InjectedBugs) -> None:
    """After a power loss on all hosts, the former leader need not wait for its own lease."""
    simulation = ScriptedSimulation(seed, bugs)
    simulation.run_for(20.0)
    leader = simulation.leader_host()
    for host in HOSTS[:3]:
        simulation.kill(host)
    simulation.run_for(1.0)
    for host in HOSTS[:3]:
        simulation.restart(host)
    simulation.run_for(0.75 * SETTINGS.election_min_s)
    if simulation.leader_host() != leader:
        raise ViolationError("progress: the former leader has not been re-elected")


def check_early_vote_only_for_former_leader(seed: int, bugs: InjectedBugs) -> None:
    """Before the lease expires, only its holder gets a vote, and only for a later term."""
    followed = HardState(Term(4), last_leader_id=VOTERS[1].replica_id)
    early = 0.5 * SETTINGS.election_min_s
    for candidate, term, expected in ((1, 5, True), (2, 5, False), (1, 4, False)):
        core = _start(Disk(VOTERS[0], followed), seed)
        request = _vote_request(core, VOTERS[candidate], term)
        if _is_granted(core.step(request, early)) is not expected:
            raise ViolationError(
                f"lease exclusivity: early vote for candidate {candidate} in term {term}"
            )


def check_lost_voter_is_replaced(seed: int, bugs: InjectedBugs) -> None:
    """A lost voter is replaced, so a second loss still leaves a majority."""
    simulation = ScriptedSimulation(seed, bugs)
    simulation.run_for(20.0)
    first = simulation.leader_host()
    simulation.kill(first)
    simulation.run_for(40.0)
    simulation.kill(simulation.leader_host())
    simulation.run_for(40.0)
    if not simulation.has_ready_leader():
        raise ViolationError("repair: no ready leader after a second loss")


def check_vote_survives_restart(seed: int, bugs: InjectedBugs) -> None:
    """After a restart, a replica doesn't vote for a second candidate in the same term."""
    disk = Disk(VOTERS[0])
    votes = 0
    for candidate in VOTERS[1:]:
        core = _start(disk, seed)
        output = core.step(_vote_request(core, candidate, 5), SETTINGS.election_min_s)
        disk.write(output, keeps_vote=bugs.keeps_vote)
        votes += _is_granted(output)
    if votes > 1:
        raise ViolationError("election safety: two votes in a term")


def check_lease_wait_survives_restart(seed: int, bugs: InjectedBugs) -> None:
    """A restarted replica withholds its vote, because it may have granted a lease before."""
    core = _start(Disk(VOTERS[0]), seed)
    if _is_granted(core.step(_vote_request(core, VOTERS[1], 5), 0.9 * SETTINGS.election_min_s)):
        raise ViolationError("lease exclusivity: vote granted while a leader lease may be valid")


def check_old_snapshot_is_ignored(seed: int, bugs: InjectedBugs) -> None:
    """A delayed snapshot doesn't replace a newer one."""
    disk = Disk(VOTERS[0], HardState(Term(4)), Snapshot(LogIndex(5), Term(4)))
    core = _start(disk, seed)
    old = SnapshotRequest(
        sender=VOTERS[1].replica_id,
        receiver=core.replica_id,
        term=Term(4),
        index=LogIndex(3),
        snapshot_term=Term(3),
        replica_set=ReplicaSet(),
        size=0,
        checksum=0,
        offset=0,
        chunk=b"",
        sent_at=0.0,
    )
    if core.step(old, 1.0).snapshot is not None:
        raise ViolationError("revision order: an old snapshot replaced a newer one")


def check_commit_of_former_term(seed: int, bugs: InjectedBugs) -> None:
    """Copies alone don't commit an entry of an earlier term: it can still be replaced."""
    first, second, third = (_replica_with(seed, *entries) for entries in EARLIER_TERM_LOGS)
    now = 3.0 * SETTINGS.election_max_s
    pending = list(first.tick(now).messages)
    while pending:
        message = pending.pop(0)
        if third.last_index == 2 and isinstance(message, AppendRequest):
            # The leader crashes before sending the first entry of its term.
            continue
        core = third if message.receiver == third.replica_id else first
        if message.receiver == second.replica_id:
            continue
        output = core.step(message, now)
        pending += [*output.immediate_messages, *output.messages]
    if first.role is not ReplicaRole.LEADER:
        raise ViolationError("progress: no leader")
    rival = VoteRequest(
        sender=second.replica_id,
        receiver=third.replica_id,
        term=Term(first.term + 1),
        last_index=second.last_index,
        last_term=Term(3),
        pre_vote=False,
    )
    is_replaceable = _is_granted(third.step(rival, now + SETTINGS.election_min_s))
    if first.commit >= 2 and is_replaceable:
        raise ViolationError("leader completeness: a leader without a committed entry was elected")


def check_term_is_synced_first(seed: int, bugs: InjectedBugs) -> None:
    """A single voter sends no entries of a term that is not synced and could be reused."""
    only = ReplicaSet(VOTERS[:1], VOTERS[1:])
    entry = Entry(LogIndex(1), Term(1), EntryKind.REPLICA_SET, encode_replica_set(only))
    core = _replica_with(seed, 0, entry)
    output = core.tick(3.0 * SETTINGS.election_max_s)
    if core.role is not ReplicaRole.LEADER or output.hard_state is None:
        raise ViolationError("progress: a single voter does not lead")
    if output.immediate_messages:
        raise ViolationError("log matching: entries of an unsynced term were sent")


def check_freshness_bound(seed: int, bugs: InjectedBugs) -> None:
    """A follower of a partitioned leader is only as fresh as the leader's last quorum."""
    follower = _replica_with(seed, 1, INITIAL_SET_ENTRY)
    echo, quorum_age = 1.0, 0.5
    request = AppendRequest(
        sender=VOTERS[0].replica_id,
        receiver=follower.replica_id,
        term=Term(3),
        previous_index=INITIAL_SET_ENTRY.index,
        previous_term=INITIAL_SET_ENTRY.term,
        commit=LogIndex(0),
        sent_at=echo,
        entries=(),
        quorum_age_s=quorum_age,
        echo=echo,
    )
    follower.step(request, echo)
    current_at = follower.current_at(echo)
    if current_at is None or current_at > echo - quorum_age:
        raise ViolationError(f"freshness: current at {current_at}, the quorum was at 0.5")


VOTERS = tuple(Replica(ReplicaId(f"{host}-0"), HostId(host), "127.0.0.1", 1) for host in HOSTS[:3])
INITIAL_SET_ENTRY = Entry(
    LogIndex(1), Term(1), EntryKind.REPLICA_SET, encode_replica_set(ReplicaSet(VOTERS))
)
# The first replica led term 2 and the second led term 3; neither reached the third.
EARLIER_TERM_LOGS = (
    (0, INITIAL_SET_ENTRY, Entry(LogIndex(2), Term(2), EntryKind.COMMAND, b"x")),
    (1, INITIAL_SET_ENTRY, Entry(LogIndex(2), Term(3), EntryKind.NO_OP)),
    (2, INITIAL_SET_ENTRY),
)


def _replica_with(seed: int, number: int, *entries: Entry) -> ReplicaCore:
    """Return a replica in term 3 that sends one entry per message."""
    restored = RestoredState(HardState(Term(3)), Snapshot(), entries)
    settings = replace(SETTINGS, max_message_entries=1)
    return ReplicaCore(VOTERS[number].replica_id, settings, restored, seed, 0.0)


def _start(disk: Disk, seed: int) -> ReplicaCore:
    """Start a replica from its disk at time 0."""
    restored = RestoredState(disk.hard_state, disk.snapshot, tuple(disk.entries))
    return ReplicaCore(disk.replica.replica_id, SETTINGS, restored, seed, 0.0)


def _vote_request(core: ReplicaCore, candidate: Replica, term: int) -> VoteRequest:
    """Return a vote request of a candidate with an up-to-date log."""
    return VoteRequest(
        sender=candidate.replica_id,
        receiver=core.replica_id,
        term=Term(term),
        last_index=LogIndex(9),
        last_term=Term(4),
        pre_vote=False,
    )


def _is_granted(output: Output) -> bool:
    """Return whether an output grants a vote."""
    return any(isinstance(reply, VoteReply) and reply.granted for reply in output.messages)


SCENARIOS: tuple[Callable[[int, InjectedBugs], None], ...] = (
    check_returning_replica,
    check_partitioned_leader_steps_down,
    check_former_leader_is_reelected_early,
    check_early_vote_only_for_former_leader,
    check_lost_voter_is_replaced,
    check_vote_survives_restart,
    check_lease_wait_survives_restart,
    check_old_snapshot_is_ignored,
    check_commit_of_former_term,
    check_term_is_synced_first,
    check_freshness_bound,
)
