"""Bootstraps a new log, or joins an existing one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from expression import Result

from lagoonwing_consensus import Replica, ReplicaSet
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import HostId, ReplicaId
from lagoonwing_replication._identity_store import IdentityStore
from lagoonwing_replication._peers import Peers
from lagoonwing_replication._records import DiskIdentity
from lagoonwing_replication.const import (
    BOOTSTRAP_CALL_TIMEOUT_S,
    BOOTSTRAP_INTERVAL_S,
    JOIN_INTERVAL_S,
    PACKET_VERSION,
)
from lagoonwing_replication.errors import StorageError
from lagoonwing_replication.messages import (
    BootstrapReply,
    BootstrapRequest,
    JoinRequest,
    PeerMessage,
)
from lagoonwing_replication.settings import LogSettings
from lagoonwing_wire import Channel


@dataclass(frozen=True, slots=True)
class MembershipState:
    """Membership of a replica.

    Attributes:
        is_empty: Whether the replica has neither entries nor a term.
        is_member: Whether the replica is in its current replica set.
    """

    identity: DiskIdentity
    replica: Replica
    is_empty: bool
    is_member: bool


class Bootstrap:
    """Bootstraps a new log or requests to join one, until the replica is a member."""

    def __init__(
        self,
        settings: LogSettings,
        identity_store: IdentityStore,
        membership: Callable[[], MembershipState | None],
        async_bootstrap: Callable[[ReplicaSet], Awaitable[None]],
    ) -> None:
        self._settings = settings
        self._identity_store = identity_store
        self._membership_state = membership
        self._async_bootstrap = async_bootstrap

    async def async_run(self, peers: Peers) -> None:
        """Bootstrap or join whenever the replica is not a member, until cancelled."""
        while True:
            membership = self._membership_state()
            if membership is None or membership.is_member:
                await asyncio.sleep(JOIN_INTERVAL_S)
                continue
            try:
                await self._async_bootstrap_or_join(peers, membership)
            except StorageError as error:
                log_event(EventCode.STORAGE_FAILED, folder=self._settings.folder.name, error=error)
            await asyncio.sleep(BOOTSTRAP_INTERVAL_S)

    async def _async_bootstrap_or_join(self, peers: Peers, membership: MembershipState) -> None:
        """Bootstrap a new log, or send a join request to every host, also to new seeds."""
        if self._may_bootstrap(membership) and await self._async_try_bootstrap(peers, membership):
            return
        for seed in self._settings.read_seeds():
            await peers.async_add(seed.host_id, seed.address, seed.port)
        request = JoinRequest(PACKET_VERSION, membership.identity.cluster_id, membership.replica)
        for host_id in peers.host_ids:
            peers.push(host_id, request)

    async def async_answer(self, channel: Channel[Any], message: PeerMessage) -> BootstrapReply:
        """Reply with the local replica, and assign the cluster ID if requested."""
        membership = self._membership_state()
        match message:
            case BootstrapRequest(initiator_id=initiator_id, assigns_cluster=True):
                if membership is not None and membership.is_empty:
                    await self._identity_store.async_set_cluster_id(initiator_id)
            case _:
                pass
        if membership is None:
            own = self._settings.local_host
            unknown = Replica(ReplicaId(""), own.host_id, own.address, own.port)
            return BootstrapReply(PACKET_VERSION, unknown, "", is_empty=False)
        cluster_id = self._identity_store.cluster_id
        return BootstrapReply(PACKET_VERSION, membership.replica, cluster_id, membership.is_empty)

    def _may_bootstrap(self, membership: MembershipState) -> bool:
        """Return whether this host may bootstrap a log and belongs to none."""
        if (
            not self._settings.may_bootstrap
            or self._settings.host_id != self._settings.bootstrap_host_id
        ):
            return False
        # With its own cluster ID but empty, the host crashed before it wrote the first entry.
        free = ("", membership.identity.replica_id)
        return membership.is_empty and membership.identity.cluster_id in free

    async def _async_try_bootstrap(self, peers: Peers, membership: MembershipState) -> bool:
        """Bootstrap a new log if every host is up and belongs to none.

        Every host is called twice: first to check that it belongs to no log, then to persist the
        cluster ID. So two logs are never bootstrapped on the same disks, and a host that lost
        its disk can't bootstrap a second log, because the other hosts know the first one.
        """
        initiator_id = membership.replica.replica_id
        for assigns_cluster in (False, True):
            request = BootstrapRequest(PACKET_VERSION, initiator_id, assigns_cluster)
            replies = await self._async_call_all(peers, request)
            allowed = {initiator_id} if assigns_cluster else {initiator_id, ""}
            if len(replies) < len(self._settings.initial_hosts) - 1:
                return False
            if not all(reply.is_empty and reply.cluster_id in allowed for reply in replies):
                return False
        await self._async_bootstrap(self._initial_replica_set(membership.replica, replies))
        return True

    async def _async_call_all(
        self, peers: Peers, request: BootstrapRequest
    ) -> list[BootstrapReply]:
        """Call every other host and return the received replies."""
        others = [host.host_id for host in self._settings.initial_hosts]
        others.remove(self._settings.host_id)
        results = await asyncio.gather(
            *(peers.async_call(host, request, BOOTSTRAP_CALL_TIMEOUT_S) for host in others)
        )
        replies: list[BootstrapReply] = []
        for host_id, result in zip(others, results, strict=True):
            match result:
                case Result(tag="ok", ok=BootstrapReply() as reply):
                    if reply.replica.host_id == host_id:
                        replies.append(reply)
        return replies

    def _initial_replica_set(self, own: Replica, replies: list[BootstrapReply]) -> ReplicaSet:
        """Return the initial replica set of a new log."""
        voter_hosts = {host.host_id for host in self._settings.initial_hosts if host.is_voter}
        replicas = sorted((own, *(reply.replica for reply in replies)), key=_host_of)
        return ReplicaSet(
            tuple(replica for replica in replicas if replica.host_id in voter_hosts),
            tuple(replica for replica in replicas if replica.host_id not in voter_hosts),
        )


def _host_of(replica: Replica) -> HostId:
    """Return the host of a replica."""
    return replica.host_id
