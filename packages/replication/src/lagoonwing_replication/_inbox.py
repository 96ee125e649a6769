"""Handles messages from other hosts."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from lagoonwing_consensus import Output, Replica, ReplicaCore, ReplicaRole
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import HostId
from lagoonwing_replication._directory import Directory
from lagoonwing_replication._identity_store import IdentityStore
from lagoonwing_replication.const import PACKET_VERSION
from lagoonwing_replication.messages import JoinRequest, Packet, PeerMessage


class ReplicaView(Protocol):
    """View of the replica that the inbox needs."""

    core: ReplicaCore | None

    def step(self, call: Callable[[ReplicaCore, float], Output]) -> None:
        """Call the core and process its output."""

    def forward_join(self, host_id: HostId, request: JoinRequest) -> None:
        """Forward a join request to another host."""

    def ensure_link(self, replica: Replica) -> None:
        """Ensure that there is a link to the host of a replica."""


class Inbox:
    """Handles messages from other hosts while the disk is usable."""

    def __init__(
        self,
        replica: ReplicaView,
        identity_store: IdentityStore,
        directory: Directory,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._replica = replica
        self._identity_store = identity_store
        self._directory = directory
        self._spawn = spawn

    @callback
    def handle_message(self, host_id: HostId, message: PeerMessage) -> None:
        """Handle a message from another host."""
        if self._replica.core is None or message.version != PACKET_VERSION:
            return
        match message:
            case Packet():
                self._handle_packet(host_id, message)
            case JoinRequest():
                self._handle_join(host_id, message)
            case _:
                pass

    @callback
    def _handle_join(self, host_id: HostId, request: JoinRequest) -> None:
        """Add a replica as a learner, or forward its request to the leader it may not know."""
        own_id = self._identity_store.cluster_id
        if not own_id or request.cluster_id not in ("", own_id):
            return
        core = self._replica.core
        replica = request.replica
        leader_host = self._directory.leader_host(core)
        is_leader = core is not None and core.role is ReplicaRole.LEADER
        if not is_leader and replica.host_id == host_id and leader_host is not None:
            self._replica.forward_join(leader_host, request)
            return
        self._directory.learn(replica.replica_id, replica.host_id)
        self._replica.ensure_link(replica)
        self._replica.step(lambda core, now: core.add_learner(replica, now))

    @callback
    def _handle_packet(self, host_id: HostId, packet: Packet) -> None:
        """Pass a message to the core; the first one assigns the cluster ID of a new replica."""
        message = packet.message
        if packet.cluster_id == self._identity_store.cluster_id:
            self._directory.learn(message.sender, host_id)
            self._replica.step(lambda core, now: core.step(message, now))
            return
        has_no_cluster = self._identity_store.cluster_id == ""
        if (
            has_no_cluster
            and message.receiver == self._identity_store.require_identity().replica_id
        ):
            self._spawn(self._identity_store.async_set_cluster_id(packet.cluster_id))
