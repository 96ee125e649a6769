"""Gateways that reach no endpoint for a while, although everybody else reaches them."""

from __future__ import annotations

import asyncio
from enum import Enum

from lagoonwing_fakes.platform import Processes, connection_owner


class GatewayCut(Enum):
    """What happens to the connections of a gateway to endpoints.

    RESET: all are reset. HANG: no byte passes. NEW_ONLY: only new ones are reset.
    """

    RESET = "reset"
    HANG = "hang"
    NEW_ONLY = "new_only"


class GatewayCuts:
    """Cuts by gateway process; the endpoints ask for each connection."""

    def __init__(self, processes: Processes) -> None:
        self._processes = processes
        self._cut_by_process: dict[int, GatewayCut] = {}
        self._changed = asyncio.Event()

    def cut(self, process_id: int, kind: GatewayCut) -> None:
        """Cut a gateway off from all endpoints."""
        self._cut_by_process[process_id] = kind
        self._notify()

    def heal(self) -> None:
        """End all cuts."""
        self._cut_by_process.clear()
        self._notify()

    def owner(self, writer: asyncio.StreamWriter) -> int:
        """Return the gateway process at the other end of a connection; 0 if it is none."""
        process_ids = [
            item.popen.pid for item in self._processes.gateways if item.popen is not None
        ]
        peer, own = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        if peer is None or own is None:
            return 0
        return connection_owner(peer, own, process_ids) or 0

    def refuse_if_cut(self, owner: int) -> None:
        """Check a new connection.

        Raises:
            ConnectionError: It is reset.
        """
        if self._cut_by_process.get(owner) in (GatewayCut.RESET, GatewayCut.NEW_ONLY):
            raise ConnectionError

    async def async_pass(self, owner: int) -> bool:
        """Wait until bytes may pass to or from a gateway; return whether they were held up.

        Raises:
            ConnectionError: The connection is reset.
        """
        is_held_up = self._cut_by_process.get(owner) is GatewayCut.HANG
        while (kind := self._cut_by_process.get(owner)) is GatewayCut.HANG:
            await self._changed.wait()
        if kind is GatewayCut.RESET:
            raise ConnectionError
        return is_held_up

    def _notify(self) -> None:
        """Wake what waits for the end of a cut."""
        self._changed.set()
        self._changed = asyncio.Event()
