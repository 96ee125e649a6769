"""Addresses and membership of replicas."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonwing_consensus import Replica, ReplicaCore
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import HostId, ReplicaId
from lagoonwing_replication._bootstrap import MembershipState
from lagoonwing_replication._records import DiskIdentity
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
