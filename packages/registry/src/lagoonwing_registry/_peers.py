"""Links from this replica to the other replicas of the log."""

from __future__ import annotations

from expression import Error, Result

from lagoonwing_catalog.const import PROTOCOL
from lagoonwing_catalog.messages import CATALOG_DECODER, CatalogMessage, Refused, ReplicaAddress
from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import HostId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication import ReplicatedLog
from lagoonwing_wire import Identity, Link, outbound_only_handlers

_CALLS_REFUSED = Refused(ResultCode.MESSAGE_INVALID, "calls are not served on this channel")


class Peers:
    """Maintains a link to each other replica."""

    def __init__(self, identity: Identity, log: ReplicatedLog) -> None:
        self._identity = identity
        self._log = log
        self._link_by_host: dict[HostId, Link] = {}

    def replicas(self) -> tuple[ReplicaAddress, ...]:
        """Return the addresses of all replicas."""
        status = self._log.status()
        return tuple(
            ReplicaAddress(replica.host_id, replica.address, replica.port)
            for replica in (*status.voters, *status.learners)
        )

    async def async_refresh(self) -> None:
        """Open links to added replicas and close links to removed ones."""
        wanted = {replica.host_id: replica for replica in self.replicas()}
        wanted.pop(self._identity.host_id, None)
        for host_id in list(self._link_by_host.keys() - wanted.keys()):
            await self._link_by_host.pop(host_id).async_unload()
        handlers = outbound_only_handlers(CATALOG_DECODER, _CALLS_REFUSED)
        for host_id, replica in wanted.items():
            if host_id in self._link_by_host:
                continue
            link = Link(self._identity, replica.address, replica.port, PROTOCOL, handlers)
            self._link_by_host[host_id] = link
            await link.async_setup()

    async def async_unload(self) -> None:
        """Close all links."""
        for link in self._link_by_host.values():
            await link.async_unload()

    async def async_call(
        self, host_id: HostId, message: CatalogMessage, timeout: float
    ) -> Result[CatalogMessage, Refusal]:
        """Call a replica."""
        link = self._link_by_host.get(host_id)
        if link is None:
            return Error(Refusal(ResultCode.PEER_UNREACHABLE, f"no link to {host_id!r}"))
        return await link.async_call(message, timeout)

    @callback
    def push(self, host_id: HostId, message: CatalogMessage) -> bool:
        """Send a message to a replica; return whether it was sent."""
        link = self._link_by_host.get(host_id)
        return link is not None and link.push(message)

    @callback
    def push_all(self, message: CatalogMessage) -> None:
        """Send a message to all other reachable replicas."""
        for link in self._link_by_host.values():
            link.push(message)
