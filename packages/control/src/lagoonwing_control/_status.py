"""Replica status for the operator API."""

from __future__ import annotations

import math

from lagoonwing_control._components import ReplicaComponents
from lagoonwing_control.const import CONTACT_TIMEOUT_S
from lagoonwing_control.settings import ControlSettings
from lagoonwing_core.ids import HostId
from lagoonwing_replication import LogStatus
from lagoonwing_rpc import operator_pb2 as pb


def replica_status(
    settings: ControlSettings, components: ReplicaComponents, now: float
) -> pb.StatusReply:
    """Return roles, lag, quorum and voter margin as known to this replica."""
    status = components.log.status()
    is_leader = status.is_lease_valid
    margin = voter_margin(status, settings.host_id, components.lost_hosts) if is_leader else None
    return pb.StatusReply(
        replica_id=settings.host_id,
        role=status.role.value,
        term=status.term,
        leader_id=status.leader or "",
        revision=components.state_machine.state.revision,
        commit_index=status.commit_index,
        applied_index=status.applied_index,
        quorum=knows_leader(status, settings.host_id),
        margin=margin,
        replicas=_replica_rows(status, components.lost_hosts),
        entries=_entry_host_rows(components, now) if components.leader.term() is not None else [],
    )


def knows_leader(status: LogStatus, self_id: HostId) -> bool:
    """Return whether this replica is the leader or has had recent contact with one."""
    if status.is_lease_valid:
        return True
    if status.leader is None or status.leader == self_id:
        return False
    return status.contact_age_by_host.get(status.leader, math.inf) < CONTACT_TIMEOUT_S


def voter_margin(status: LogStatus, self_id: HostId, lost_hosts: set[HostId]) -> int:
    """Return how many more voters may fail before the majority is lost; negative if it is."""
    ages = status.contact_age_by_host
    healthy = [
        replica
        for replica in status.voters
        if replica.host_id not in lost_hosts
        and (replica.host_id == self_id or ages.get(replica.host_id, math.inf) < CONTACT_TIMEOUT_S)
    ]
    return len(healthy) - (len(status.voters) // 2 + 1)


def _replica_rows(status: LogStatus, lost_hosts: set[HostId]) -> list[pb.ReplicaStatus]:
    """Return voters and learners with the age of their last contact."""
    rows = []
    voter_hosts = {replica.host_id for replica in status.voters}
    for replica in (*status.voters, *status.learners):
        age = status.contact_age_by_host.get(replica.host_id)
        rows.append(
            pb.ReplicaStatus(
                host_id=replica.host_id,
                voter=replica.host_id in voter_hosts,
                contact_age_s=age if age is not None and math.isfinite(age) else None,
                declared_lost=replica.host_id in lost_hosts,
            )
        )
    return rows


def _entry_host_rows(components: ReplicaComponents, now: float) -> list[pb.EntryStatus]:
    """Return the entry hosts that follow this leader."""
    return [
        pb.EntryStatus(
            host_id=host_id,
            contact_age_s=now - record.last_contact,
            applied_revision=record.applied,
        )
        for host_id, record in sorted(components.leader.entries.record_by_host.items())
    ]
