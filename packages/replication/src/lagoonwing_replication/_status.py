"""Lease, staleness and status of one replica."""

from __future__ import annotations

import math
from typing import Protocol

from lagoonwing_consensus import ReplicaCore, ReplicaRole, ReplicaSet
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import HostId, LogIndex, Term
from lagoonwing_replication._applier import Applier
from lagoonwing_replication._directory import Directory, members
from lagoonwing_replication._leadership import Leadership
from lagoonwing_replication.models import LogStatus


class ReplicaView(Protocol):
    """View of the replica that the status needs."""

    core: ReplicaCore | None


class StatusReader:
    """Reads the status of a replica, also while its disk is unusable."""

    def __init__(
        self,
        replica: ReplicaView,
        applier: Applier,
        leadership: Leadership,
        directory: Directory,
        clock: Clock,
    ) -> None:
        self._replica = replica
        self._applier = applier
        self._leadership = leadership
        self._directory = directory
        self._clock = clock

    def lease_term(self) -> Term | None:
        """Return the term in which this replica may act as leader now."""
        core = self._replica.core
        if core is None or self._leadership.term != core.term:
            return None
        return core.term if core.is_lease_valid(self._clock.now()) else None

    def staleness_s(self) -> float:
        """Return the age of the last time at which all committed commands were applied here."""
        core = self._replica.core
        now = self._clock.now()
        current_at = None if core is None else core.current_at(now)
        if core is None or current_at is None or self._applier.applied < core.commit:
            return math.inf
        return max(0.0, now - current_at)

    def commit_index(self) -> LogIndex:
        """Return the last entry known to be committed."""
        core = self._replica.core
        return LogIndex(0) if core is None else core.commit

    def status(self) -> LogStatus:
        """Return the status of the log as known to this replica."""
        core = self._replica.core
        applied = self._applier.applied
        if core is None:
            return _status_without_disk(self._applier.committed_replica_set, applied)
        leader = self._directory.leader_host(core)
        is_lease_valid = self.lease_term() is not None
        return _status_of(core, leader, applied, self._clock.now(), is_lease_valid=is_lease_valid)


def _status_of(
    core: ReplicaCore, leader: HostId | None, applied: LogIndex, now: float, *, is_lease_valid: bool
) -> LogStatus:
    """Return the status of a running replica."""
    return LogStatus(
        role=core.role,
        term=core.term,
        leader=leader,
        is_lease_valid=is_lease_valid,
        voters=core.replica_set.voters,
        learners=core.replica_set.learners,
        commit_index=core.commit,
        applied_index=applied,
        contact_age_by_host=_contact_ages(core, now),
    )


def _status_without_disk(replica_set: ReplicaSet, applied: LogIndex) -> LogStatus:
    """Return the status of a replica that can't use its disk."""
    return LogStatus(
        role=ReplicaRole.FOLLOWER,
        term=Term(0),
        leader=None,
        is_lease_valid=False,
        voters=replica_set.voters,
        learners=replica_set.learners,
        commit_index=applied,
        applied_index=applied,
        contact_age_by_host={},
    )


def _contact_ages(core: ReplicaCore, now: float) -> dict[HostId, float]:
    """Return the time since the last message from each peer."""
    heard_at_by_id = core.heard_at_by_id()
    ages: dict[HostId, float] = {}
    for replica in members(core):
        if replica.replica_id == core.replica_id:
            continue
        heard_at = heard_at_by_id.get(replica.replica_id)
        age = math.inf if heard_at is None else now - heard_at
        ages[replica.host_id] = min(age, ages.get(replica.host_id, math.inf))
    return ages
