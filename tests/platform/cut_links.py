"""Endpoints behind links that can be cut for some gateway processes and not for others."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from enum import Enum

from lagoonwing_fakes.platform import connection_owner
from lagoonwing_fakes.platform.const import ADDRESS

_CHUNK_BYTES = 64 * 1024


class CutMode(Enum):
    """What happens to the connections of a gateway that is cut off.

    RESET: all are reset, new ones too. HANG: no byte passes. NEW_ONLY: those that are open live
    on, new ones are reset. TO_ENDPOINTS: no byte passes to endpoints, what they send arrives.
    """

    RESET = "reset"
    HANG = "hang"
    NEW_ONLY = "new_only"
    TO_ENDPOINTS = "to_endpoints"


class CutLinks:
    """Forwards connections of gateway processes to endpoints.

    Attributes:
        mode_by_process: How each gateway that is cut off is, by process id.
    """

    def __init__(self, process_ids: Callable[[], list[int]]) -> None:
        """Create the links.

        Args:
            process_ids: Returns the ids of the gateway processes.
        """
        self.mode_by_process: dict[int, CutMode] = {}
        self._process_ids = process_ids
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._writers_by_process: dict[int, set[asyncio.StreamWriter]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_open(self, port: int) -> int:
        """Open a link to an endpoint's port; return the port at which gateways find it."""

        async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                await self._async_serve(reader, writer, port)

        server = await asyncio.start_server(async_serve, ADDRESS, 0)
        self._servers.append(server)
        linked_port: int = server.sockets[0].getsockname()[1]
        return linked_port

    def cut(self, process_id: int, mode: CutMode) -> None:
        """Cut a gateway off from all endpoints."""
        self.mode_by_process[process_id] = mode
        self._notify()
        if mode is CutMode.RESET:
            for writer in list(self._writers_by_process.get(process_id, ())):
                writer.transport.abort()

    def heal(self) -> None:
        """End all cuts; what was held back arrives."""
        self.mode_by_process.clear()
        self._notify()

    async def async_close(self) -> None:
        """Close all links."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _notify(self) -> None:
        """Wake what waits for the end of a cut."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int
    ) -> None:
        """Forward one connection."""
        peer, own = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        owner = connection_owner(peer, own, self._process_ids()) or 0
        if self.mode_by_process.get(owner) in (CutMode.RESET, CutMode.NEW_ONLY):
            writer.transport.abort()
            return
        endpoint_reader, endpoint_writer = await asyncio.open_connection(ADDRESS, port)
        writers = {writer, endpoint_writer}
        kept = self._writers_by_process.setdefault(owner, set())
        kept |= writers
        relays = [
            asyncio.ensure_future(self._async_relay(owner, reader, endpoint_writer, to=True)),
            asyncio.ensure_future(self._async_relay(owner, endpoint_reader, writer, to=False)),
        ]
        try:
            await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for relay in relays:
                relay.cancel()
            await asyncio.gather(*relays, return_exceptions=True)
            kept -= writers
            for item in writers:
                item.close()

    async def _async_relay(
        self, owner: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, to: bool
    ) -> None:
        """Forward bytes in one direction, unless they are held back."""
        while chunk := await reader.read(_CHUNK_BYTES):
            while self._is_held_back(owner, to=to):
                await self._changed.wait()
            writer.write(chunk)
            await writer.drain()

    def _is_held_back(self, owner: int, *, to: bool) -> bool:
        """Return whether no byte passes in a direction."""
        mode = self.mode_by_process.get(owner)
        return mode is CutMode.HANG or (to and mode is CutMode.TO_ENDPOINTS)
