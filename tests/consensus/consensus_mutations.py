"""Faults put into the core or its shell, each of which some check must catch."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any
from unittest.mock import patch

from consensus_scenarios import SCENARIOS
from consensus_simulation import InjectedBugs, Simulation, ViolationError

from lagoonwing_consensus import (
    _commit,
    _election,
    _lease,
    _membership,
    _replication,
    _roles,
    _snapshots,
)
from lagoonwing_consensus._state import ReplicaState

MAX_SCHEDULES = 1000


@dataclass(frozen=True)
class Mutation:
    """One fault.

    Attributes:
        patches: Module, name and replacement of each function changed.
    """

    name: str
    patches: tuple[tuple[Any, str, Any], ...] = ()
    bugs: InjectedBugs = InjectedBugs()

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Have the fault in force for a while."""
        with ExitStack() as stack:
            for module, name, replacement in self.patches:
                stack.enter_context(patch.object(module, name, replacement))
            yield


@dataclass(frozen=True)
class Detection:
    """How a mutation was caught.

    Attributes:
        check: Name of the promise that was seen broken, or nothing.
        schedules: Schedules run until then.
    """

    check: str | None
    schedules: int


def find_catch(mutation: Mutation) -> Detection:
    """Run schedules with a mutation until one is caught, if possible by a promise of safety."""
    stalled: Detection | None = None
    with mutation.applied():
        for count, run in enumerate(_runs(mutation), 1):
            try:
                run()
            except ViolationError as violation:
                detection = Detection(str(violation).split(":")[0], count)
                if detection.check != "progress":
                    return detection
                stalled = stalled or detection
    return stalled or Detection(None, MAX_SCHEDULES)


def _runs(mutation: Mutation) -> Iterator[Callable[[], None]]:
    """Return the scenarios and schedules in order."""
    for seed in range(3):
        for scenario in SCENARIOS:
            yield partial(scenario, seed, mutation.bugs)
    for seed in range(MAX_SCHEDULES):
        yield Simulation(seed, mutation.bugs).run


def _start_without_pre_vote(state: ReplicaState, now: float) -> None:
    """Start an election at once."""
    _election.start_election(state, now)


def _keep_conflicting_entry(state: ReplicaState, entry: Any) -> None:
    """Keep whatever stands in a new entry's place."""
    if entry.index > state.log.last_index:
        state.append(entry)


def _vote_for_anyone(state: ReplicaState, request: Any) -> bool:
    """Vote without looking at the vote given before."""
    return request.term == state.term and _election.is_up_to_date(state, request)


def _is_last_leader(state: ReplicaState, request: Any) -> bool:
    """Take any request of the leader followed for the sign that it leads no more."""
    return bool(request.sender == state.last_leader_id)


def _always_true(*args: object) -> bool:
    """Allow everything."""
    return True


def _always_false(*args: object) -> bool:
    """Forbid everything."""
    return False


def _ignore_lease_after_restart(state: ReplicaState, now: float) -> bool:
    """Look only at messages of a leader of the own life."""
    return state.leader_id is not None and _IS_VOTE_BLOCKED(state, now)


_IS_VOTE_BLOCKED = _lease.is_vote_blocked_by_lease

MUTATIONS: Sequence[Mutation] = (
    Mutation("no sync before messages", bugs=InjectedBugs(syncs=False)),
    Mutation("vote not persisted", bugs=InjectedBugs(keeps_vote=False)),
    Mutation("wiped disk keeps its identity", bugs=InjectedBugs(wiped_disk_keeps_identity=True)),
    Mutation("no pre-vote", ((_election, "start_pre_vote", _start_without_pre_vote),)),
    Mutation("no quorum check", ((_election, "has_lost_quorum", _always_false),)),
    Mutation("no term check", ((_roles, "is_term_over", _always_false),)),
    Mutation("two votes in a term", ((_election, "may_grant_vote", _vote_for_anyone),)),
    Mutation("no log check in votes", ((_election, "is_up_to_date", _always_true),)),
    Mutation("commit of former terms by copies", ((_commit, "may_commit", _always_true),)),
    Mutation("no lease wait in votes", ((_lease, "is_vote_blocked_by_lease", _always_false),)),
    Mutation(
        "promise to one leader released to any",
        ((_election, "has_leader_stepped_down", _always_true),),
    ),
    Mutation(
        "promise released to an old request of the leader's",
        ((_election, "has_leader_stepped_down", _is_last_leader),),
    ),
    Mutation(
        "lease wait forgotten at restart",
        ((_lease, "is_vote_blocked_by_lease", _ignore_lease_after_restart),),
    ),
    Mutation(
        "lease from the answer's arrival",
        ((_commit, "lease_start", lambda sent_at, now: now),),
    ),
    Mutation("previous entry not checked", ((_replication, "has_previous_entry", _always_true),)),
    Mutation("conflicting entries kept", ((_replication, "store_entry", _keep_conflicting_entry),)),
    Mutation(
        "leader's commit taken over unbounded",
        (
            (
                _replication,
                "follower_commit",
                lambda state, commit, last_new: min(commit, state.log.last_index),
            ),
        ),
    ),
    Mutation(
        "quorum one short",
        (
            (_commit, "quorum_size", lambda count: count // 2),
            (_election, "quorum_size", lambda count: max(1, count // 2)),
        ),
    ),
    Mutation(
        "replica set changed while one is open",
        ((_membership, "may_change_replica_set", lambda state: state.role.value == "leader"),),
    ),
    Mutation("old snapshot installed", ((_snapshots, "is_already_committed", _always_false),)),
    Mutation(
        "reads before the term's first entry",
        (
            (
                _roles,
                "is_term_ready",
                lambda state: state.role.value == "leader",
            ),
        ),
    ),
    Mutation(
        "currency noted with accepted entries missing",
        ((_replication, "has_committed_entries", _always_true),),
    ),
    Mutation(
        "currency counted from the quorum's answers, not its requests",
        ((_replication, "leader_quorum_at", lambda state, request: request.echo),),
    ),
    Mutation(
        "lost voter not replaced", ((_membership, "next_replica_set", lambda state, now: None),)
    ),
)
