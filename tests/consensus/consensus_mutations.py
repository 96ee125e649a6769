"""Bugs injected into the core or its simulated I/O, each of which some check must detect."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any
from unittest.mock import patch

from consensus_nodes import InjectedBugs, ViolationError
from consensus_scenarios import SCENARIOS
from consensus_simulation import Simulation

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
    """One injected bug.

    Attributes:
        patches: Module, name and replacement of each function changed.
    """

    name: str
    patches: tuple[tuple[Any, str, Any], ...] = ()
    bugs: InjectedBugs = InjectedBugs()

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Apply the mutation within the context."""
        with ExitStack() as stack:
            for module, name, replacement in self.patches:
                stack.enter_context(patch.object(module, name, replacement))
            yield


@dataclass(frozen=True)
class Detection:
    """How a mutation was detected.

    Attributes:
        invariant: Name of the violated invariant, `None` if undetected.
        schedules: Number of schedules run until then.
    """

    invariant: str | None
    schedules: int


def detect(mutation: Mutation) -> Detection:
    """Run schedules with a mutation until it is detected, preferably by a safety invariant."""
    stalled: Detection | None = None
    with mutation.applied():
        for count, run in enumerate(_runs(mutation), 1):
            try:
                run()
            except ViolationError as violation:
                detection = Detection(str(violation).split(":")[0], count)
                if detection.invariant != "progress":
                    return detection
                stalled = stalled or detection
    return stalled or Detection(None, MAX_SCHEDULES)


def _runs(mutation: Mutation) -> Iterator[Callable[[], None]]:
    """Yield the scenarios, then the random schedules."""
    for seed in range(3):
        for scenario in SCENARIOS:
            yield partial(scenario, seed, mutation.bugs)
    for seed in range(MAX_SCHEDULES):
        yield Simulation(seed, mutation.bugs).run


def _start_without_pre_vote(state: ReplicaState, now: float) -> None:
    """Start an election without a pre-vote."""
    _election.start_election(state, now)


def _keep_conflicting_entry(state: ReplicaState, entry: Any) -> None:
    """Keep existing entries that conflict with new ones."""
    if entry.index > state.log.last_index:
        state.append(entry)


def _vote_for_anyone(state: ReplicaState, request: Any) -> bool:
    """Grant a vote regardless of an earlier vote in the term."""
    return request.term == state.term and _election.is_up_to_date(state, request)


def _is_last_leader(state: ReplicaState, request: Any) -> bool:
    """Treat any vote request of the last leader as a sign that it has stepped down."""
    return bool(request.sender == state.last_leader_id)


def _always_true(*args: object) -> bool:
    """Return true for every call."""
    return True


def _always_false(*args: object) -> bool:
    """Return false for every call."""
    return False


def _ignore_lease_after_restart(state: ReplicaState, now: float) -> bool:
    """Consider only leader messages received since the restart."""
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
    Mutation(
        "entries of earlier terms committed by copies", ((_commit, "may_commit", _always_true),)
    ),
    Mutation("no lease wait in votes", ((_lease, "is_vote_blocked_by_lease", _always_false),)),
    Mutation(
        "lease wait skipped for any candidate",
        ((_election, "has_leader_stepped_down", _always_true),),
    ),
    Mutation(
        "lease wait skipped for an old request of the leader",
        ((_election, "has_leader_stepped_down", _is_last_leader),),
    ),
    Mutation(
        "lease wait forgotten at restart",
        ((_lease, "is_vote_blocked_by_lease", _ignore_lease_after_restart),),
    ),
    Mutation(
        "lease counted from the reply's arrival",
        ((_commit, "lease_start", lambda sent_at, now: now),),
    ),
    Mutation("previous entry not checked", ((_replication, "has_previous_entry", _always_true),)),
    Mutation("conflicting entries kept", ((_replication, "store_entry", _keep_conflicting_entry),)),
    Mutation(
        "leader's commit index applied unbounded",
        (
            (
                _replication,
                "follower_commit",
                lambda state, commit, last_new: min(commit, state.log.last_index),
            ),
        ),
    ),
    Mutation(
        "quorum one too small",
        (
            (_commit, "quorum_size", lambda count: count // 2),
            (_election, "quorum_size", lambda count: max(1, count // 2)),
        ),
    ),
    Mutation(
        "replica set changed while a change is pending",
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
        "freshness recorded with committed entries missing",
        ((_replication, "has_committed_entries", _always_true),),
    ),
    Mutation(
        "freshness counted from the quorum's replies, not its requests",
        ((_replication, "leader_quorum_at", lambda state, request: request.echo),),
    ),
    Mutation(
        "lost voter not replaced", ((_membership, "next_replica_set", lambda state, now: None),)
    ),
)
