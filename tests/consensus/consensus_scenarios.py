"""Scripted schedules for promises that random ones touch too seldom."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from consensus_simulation import (
    HOSTS,
    SETTINGS,
    Disk,
    Faults,
    InjectedBugs,
    Simulation,
    ViolationError,
)

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
    """Schedule without faults of its own."""

    def __init__(self, seed: int, bugs: InjectedBugs) -> None:
        super().__init__(seed, bugs)
        self._faults = NO_FAULTS
        for host in HOSTS:
            self._start(host)

    def run_for(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        self._at(seconds, lambda: None)
        while self.now < end:
            self.step()

    def has_ready_leader(self) -> bool:
        """Return whether some replica leads and has accepted an entry of its term."""
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
    """A follower that was cut off for long doesn't unseat the leader when it is back."""
    simulation = ScriptedSimulation(seed, bugs)
    simulation.run_for(20.0)
    leader = simulation.leader_host()
    term = simulation.term()
    follower = next(host for host in HOSTS[:3] if host != leader)
    simulation.isolate([follower])
    # Shorter than the time after which the follower would lose its vote.
    simulation.run_for(SETTINGS.voter_lost_s - 1.0)
    simulation.heal()
    simulation.run_for(10.0)
    if simulation.term() != term:
        raise ViolationError("stable leadership: a returning replica unseated the leader")


def check_cut_off_leader(seed: int, bugs: InjectedBugs) -> None:
    """A leader that is cut off knows after the longest election timeout that it leads no more."""
    simulation = ScriptedSimulation(seed, bugs)
    simulation.run_for(20.0)
    leader = simulation.leader_host()
    simulation.isolate([leader])
    simulation.run_for(2.0 * SETTINGS.election_max_s)
    core = simulation.node_by_host[leader].core
    if core is None or core.role is ReplicaRole.LEADER:
        raise ViolationError("quorum check: a cut-off leader has not stepped down")


def check_former_leader_returns_at_once(seed: int, bugs: InjectedBugs) -> None:
    """After a loss of power everywhere the former leader needn't wait for promises to itself."""
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
        raise ViolationError("progress: the former leader has not come back")


def check_early_vote_only_for_former_leader(seed: int, bugs: InjectedBugs) -> None:
    """A vote is given early to the leader that holds the promise only, and for a later term."""
    followed = HardState(Term(4), last_leader_id=VOTERS[1].replica_id)
    early = 0.5 * SETTINGS.election_min_s
    for candidate, term, expected in ((1, 5, True), (2, 5, False), (1, 4, False)):
        core = _start(Disk(VOTERS[0], followed), seed)
        request = _vote_request(core, VOTERS[candidate], term)
        if _is_granted(core.step(request, early)) is not expected:
            raise ViolationError(f"lease exclusivity: an early vote, {candidate} in {term}")


def check_lost_voter_is_replaced(seed: int, bugs: InjectedBugs) -> None:
    """A lost voter is replaced, so that a second loss still leaves a majority."""
    simulation = ScriptedSimulation(seed, bugs)
    simulation.run_for(20.0)
    first = simulation.leader_host()
    simulation.kill(first)
    simulation.run_for(40.0)
    simulation.kill(simulation.leader_host())
    simulation.run_for(40.0)
    if not simulation.has_ready_leader():
        raise ViolationError("repair: a second loss after the repair stopped the log")


def check_vote_survives_restart(seed: int, bugs: InjectedBugs) -> None:
    """A replica that has voted in a term doesn't vote for another one after a restart."""
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
    """A replica that has just restarted may have promised not to vote, and so doesn't."""
    core = _start(Disk(VOTERS[0]), seed)
    if _is_granted(core.step(_vote_request(core, VOTERS[1], 5), 0.9 * SETTINGS.election_min_s)):
        raise ViolationError("lease exclusivity: a vote while a leader may still act")


def check_old_snapshot_is_ignored(seed: int, bugs: InjectedBugs) -> None:
    """A late snapshot doesn't replace a newer one."""
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
    """Copies of an entry of a former term don't make it accepted: it can still be replaced."""
    first, second, third = (_replica_with(seed, *entries) for entries in EARLIER_TERM_LOGS)
    now = 3.0 * SETTINGS.election_max_s
    pending = list(first.tick(now).messages)
    while pending:
        message = pending.pop(0)
        if third.last_index == 2 and isinstance(message, AppendRequest):
            # The leader dies before the first entry of its own term has left it.
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
        raise ViolationError("leader completeness: a leader without an accepted entry was elected")


def check_term_is_synced_first(seed: int, bugs: InjectedBugs) -> None:
    """A single voter sends nothing of a term that it could forget and start once more."""
    only = ReplicaSet(VOTERS[:1], VOTERS[1:])
    entry = Entry(LogIndex(1), Term(1), EntryKind.REPLICA_SET, encode_replica_set(only))
    core = _replica_with(seed, 0, entry)
    output = core.tick(3.0 * SETTINGS.election_max_s)
    if core.role is not ReplicaRole.LEADER or output.hard_state is None:
        raise ViolationError("progress: a single voter doesn't lead")
    if output.immediate_messages:
        raise ViolationError("log matching: entries of a term that is not synced were sent")


def check_freshness_bound(seed: int, bugs: InjectedBugs) -> None:
    """A follower of a leader cut off from the other voters is as old as the last quorum."""
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
        raise ViolationError(f"currency: current at {current_at}, the quorum was at 0.5")


VOTERS = tuple(Replica(ReplicaId(f"{host}-0"), HostId(host), "127.0.0.1", 1) for host in HOSTS[:3])
INITIAL_SET_ENTRY = Entry(
    LogIndex(1), Term(1), EntryKind.REPLICA_SET, encode_replica_set(ReplicaSet(VOTERS))
)
# The first replica led term 2 and the second one term 3, each without reaching the third.
EARLIER_TERM_LOGS = (
    (0, INITIAL_SET_ENTRY, Entry(LogIndex(2), Term(2), EntryKind.COMMAND, b"x")),
    (1, INITIAL_SET_ENTRY, Entry(LogIndex(2), Term(3), EntryKind.NO_OP)),
    (2, INITIAL_SET_ENTRY),
)


def _replica_with(seed: int, number: int, *entries: Entry) -> ReplicaCore:
    """Return a replica that sends one entry at a time and knows of term 3."""
    restored = RestoredState(HardState(Term(3)), Snapshot(), entries)
    settings = replace(SETTINGS, max_message_entries=1)
    return ReplicaCore(VOTERS[number].replica_id, settings, restored, seed, 0.0)


def _start(disk: Disk, seed: int) -> ReplicaCore:
    """Start a replica from its disk at time 0."""
    restored = RestoredState(disk.hard_state, disk.snapshot, tuple(disk.entries))
    return ReplicaCore(disk.replica.replica_id, SETTINGS, restored, seed, 0.0)


def _vote_request(core: ReplicaCore, candidate: Replica, term: int) -> VoteRequest:
    """Return a request of a candidate whose log is long enough."""
    return VoteRequest(
        sender=candidate.replica_id,
        receiver=core.replica_id,
        term=Term(term),
        last_index=LogIndex(9),
        last_term=Term(4),
        pre_vote=False,
    )


def _is_granted(output: Output) -> bool:
    """Return whether an output gives a vote."""
    return any(isinstance(reply, VoteReply) and reply.granted for reply in output.messages)


SCENARIOS: tuple[Callable[[int, InjectedBugs], None], ...] = (
    check_returning_replica,
    check_cut_off_leader,
    check_former_leader_returns_at_once,
    check_early_vote_only_for_former_leader,
    check_lost_voter_is_replaced,
    check_vote_survives_restart,
    check_lease_wait_survives_restart,
    check_old_snapshot_is_ignored,
    check_commit_of_former_term,
    check_term_is_synced_first,
    check_freshness_bound,
)
