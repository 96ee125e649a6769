"""How a new log is formed, and how a replica outside the log asks to join it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from expression import Result

from lagoonwing_consensus import Replica, ReplicaSet
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import HostId, ReplicaId
from lagoonwing_replication._binding import Binding
from lagoonwing_replication._peers import Peers
from lagoonwing_replication._records import DiskIdentity
from lagoonwing_replication.const import (
    FORM_CALL_TIMEOUT_S,
    FORM_INTERVAL_S,
    JOIN_INTERVAL_S,
    PACKET_VERSION,
)
from lagoonwing_replication.errors import StorageError
from lagoonwing_replication.messages import FormReply, FormRequest, JoinRequest, ShellMessage
from lagoonwing_replication.settings import LogSettings
from lagoonwing_wire import Channel


@dataclass(frozen=True, slots=True)
class Standing:
    """Where a replica stands.

    Attributes:
        is_empty: Whether it has neither entries nor a term.
        is_member: Whether it is in the replica set that it knows.
    """

    identity: DiskIdentity
    replica: Replica
    is_empty: bool
    is_member: bool


class Formation:
    """Forms a new log as its founder, or asks to join one, until the replica is a member."""

    def __init__(
        self,
        settings: LogSettings,
        binding: Binding,
        standing: Callable[[], Standing | None],
        async_found: Callable[[ReplicaSet], Awaitable[None]],
    ) -> None:
        self._settings = settings
        self._binding = binding
        self._standing = standing
        self._async_found = async_found

    async def async_run(self, peers: Peers) -> None:
        """Look after the replica's membership for the life of the process."""
        while True:
            standing = self._standing()
            if standing is None or standing.is_member:
                await asyncio.sleep(JOIN_INTERVAL_S)
                continue
            try:
                await self._async_become_member(peers, standing)
            except StorageError as error:
                log_event(EventCode.STORAGE_FAILED, folder=self._settings.folder.name, error=error)
            await asyncio.sleep(FORM_INTERVAL_S)

    async def _async_become_member(self, peers: Peers, standing: Standing) -> None:
        """Form a new log, or ask every host to be taken in."""
        if self._may_found(standing) and await self._async_try_to_found(peers, standing):
            return
        request = JoinRequest(PACKET_VERSION, standing.identity.cluster_id, standing.replica)
        for host_id in peers.host_ids:
            peers.push(host_id, request)

    async def async_answer(self, channel: Channel[Any], message: ShellMessage) -> FormReply:
        """Tell a founder which replica this is, and bind it to the founder's log if asked to."""
        standing = self._standing()
        match message:
            case FormRequest(founder_id=founder_id, binds=True):
                if standing is not None and standing.is_empty:
                    await self._binding.async_bind(founder_id)
            case _:
                pass
        if standing is None:
            own = self._settings.own_host
            unknown = Replica(ReplicaId(""), own.host_id, own.address, own.port)
            return FormReply(PACKET_VERSION, unknown, "", is_empty=False)
        cluster_id = self._binding.cluster_id
        return FormReply(PACKET_VERSION, standing.replica, cluster_id, standing.is_empty)

    def _may_found(self, standing: Standing) -> bool:
        """Return whether this host forms new logs and belongs to none."""
        if not self._settings.may_found or self._settings.host_id != self._settings.founder_id:
            return False
        # Bound to itself but empty, it crashed just before it had begun the log.
        free = ("", standing.identity.replica_id)
        return standing.is_empty and standing.identity.cluster_id in free

    async def _async_try_to_found(self, peers: Peers, standing: Standing) -> bool:
        """Form a new log if every host is up and belongs to none.

        Every host is asked twice: first whether it is free, then to note for good which log it
        belongs to. So no two logs are ever formed of the same disks, and a host that lost its
        disk can't form a new log beside the old one, which the others know of.
        """
        founder_id = standing.replica.replica_id
        for binds in (False, True):
            request = FormRequest(PACKET_VERSION, founder_id, binds)
            replies = await self._async_ask_all(peers, request)
            allowed = {founder_id} if binds else {founder_id, ""}
            if len(replies) < len(self._settings.hosts) - 1:
                return False
            if not all(reply.is_empty and reply.cluster_id in allowed for reply in replies):
                return False
        await self._async_found(self._first_set(standing.replica, replies))
        return True

    async def _async_ask_all(self, peers: Peers, request: FormRequest) -> list[FormReply]:
        """Call every other host and return the replies that came."""
        others = [one.host_id for one in self._settings.hosts]
        others.remove(self._settings.host_id)
        results = await asyncio.gather(
            *(peers.async_call(host, request, FORM_CALL_TIMEOUT_S) for host in others)
        )
        replies: list[FormReply] = []
        for host_id, result in zip(others, results, strict=True):
            match result:
                case Result(tag="ok", ok=FormReply() as reply):
                    if reply.replica.host_id == host_id:
                        replies.append(reply)
        return replies

    def _first_set(self, own: Replica, replies: list[FormReply]) -> ReplicaSet:
        """Return the first replica set of a new log."""
        voter_hosts = {host.host_id for host in self._settings.hosts if host.is_voter}
        replicas = sorted((own, *(reply.replica for reply in replies)), key=_host_of)
        return ReplicaSet(
            tuple(one for one in replicas if one.host_id in voter_hosts),
            tuple(one for one in replicas if one.host_id not in voter_hosts),
        )


def _host_of(replica: Replica) -> HostId:
    """Return the host of a replica."""
    return replica.host_id
