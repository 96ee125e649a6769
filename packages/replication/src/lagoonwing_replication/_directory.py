"""Addresses of replicas, and the status of one replica."""

from __future__ import annotations

import math
from collections.abc import Iterable

from lagoonwing_consensus import Replica, ReplicaCore, ReplicaRole, ReplicaSet
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term
from lagoonwing_replication._bootstrap import MembershipState
from lagoonwing_replication._records import DiskIdentity
from lagoonwing_replication.models import LogStatus
from lagoonwing_replication.settings import LogSettings


class Directory:
    """Maps replicas to hosts, by the current replica set or by received messages."""

    def __init__(self) -> None:
        self._host_by_replica: dict[ReplicaId, HostId] = {}

    @callback
    def learn(self, replica_id: ReplicaId, host_id: HostId) -> None:
        """Record the host that a replica's message came from."""
        self._host_by_replica[replica_id] = host_id

    def host_of(self, core: ReplicaCore | None, replica_id: ReplicaId) -> HostId | None:
        """Return the host of a replica, if known."""
        for replica in members(core):
            if replica.replica_id == replica_id:
                return replica.host_id
        return self._host_by_replica.get(replica_id)

    def leader_host(self, core: ReplicaCore | None) -> HostId | None:
        """Return the leader's host, if known."""
        if core is None or core.leader_id is None:
            return None
        return self.host_of(core, core.leader_id)


def members(core: ReplicaCore | None) -> Iterable[Replica]:
    """Return every replica of the current set."""
    if core is None:
        return ()
    return (*core.replica_set.voters, *core.replica_set.learners)


def membership_state_of(
    settings: LogSettings, identity: DiskIdentity, core: ReplicaCore
) -> MembershipState:
    """Return the membership state of a replica."""
    own = settings.local_host
    replica = Replica(identity.replica_id, own.host_id, own.address, own.port)
    return MembershipState(
        identity=identity,
        replica=replica,
        is_empty=core.term == 0 and core.last_index == 0,
        is_member=any(member.replica_id == replica.replica_id for member in members(core)),
    )


def status_of(
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


def status_without_disk(replica_set: ReplicaSet, applied: LogIndex) -> LogStatus:
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


def commit_index_of(core: ReplicaCore | None) -> LogIndex:
    """Return the last entry known to be committed."""
    return LogIndex(0) if core is None else core.commit
