"""Links of a gateway to the replicas of the catalog."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lagoonwing_catalog.const import PROTOCOL
from lagoonwing_catalog.messages import CatalogMessage, ReplicaAddress
from lagoonwing_core.callback import callback
from lagoonwing_wire import Channel, Handlers, Identity, Link

_SocketAddress = tuple[str, int]


class ReplicaLinks:
    """Keeps a link to each known replica.

    The list of replicas comes from the followed one, so it grows stale while none is followed.
    Then the seeds are tried as well, since all replicas of the list may have been replaced.
    """

    def __init__(
        self,
        identity: Identity,
        handlers: Handlers[CatalogMessage],
        read_seeds: Callable[[], tuple[ReplicaAddress, ...]],
    ) -> None:
        """Create the links.

        Args:
            identity: Identity of this process.
            handlers: Handlers of messages on any link.
            read_seeds: Returns the seeds; they may change.
        """
        self._identity = identity
        self._handlers = handlers
        self._read_seeds = read_seeds
        self._replicas: tuple[ReplicaAddress, ...] = ()
        self._link_by_address: dict[_SocketAddress, Link] = {}

    @callback
    def set_replicas(self, replicas: tuple[ReplicaAddress, ...]) -> None:
        """Set the replicas that the followed one knows; an empty list is ignored."""
        self._replicas = replicas or self._replicas

    def channels(self) -> list[Channel[Any]]:
        """Return the open channels."""
        channels = (link.channel for link in self._link_by_address.values())
        return [channel for channel in channels if channel is not None]

    async def async_refresh(self, *, with_seeds: bool) -> None:
        """Open links to new replicas and close those to others.

        Args:
            with_seeds: Whether the seeds are wanted besides the known replicas.
        """
        replicas = self._replicas
        if with_seeds or not replicas:
            replicas = (*replicas, *self._read_seeds())
        wanted = {(replica.address, replica.port) for replica in replicas}
        for unwanted in list(self._link_by_address.keys() - wanted):
            await self._link_by_address.pop(unwanted).async_unload()
        for address, port in sorted(wanted - self._link_by_address.keys()):
            link = Link(self._identity, address, port, PROTOCOL, self._handlers)
            self._link_by_address[(address, port)] = link
            await link.async_setup()

    async def async_unload(self) -> None:
        """Close all links."""
        links = list(self._link_by_address.values())
        self._link_by_address.clear()
        for link in links:
            await link.async_unload()
