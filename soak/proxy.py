"""Fault-injecting loopback proxy in front of a replica's peer port."""

from __future__ import annotations

import asyncio
import random
from enum import Enum

_CHUNK_BYTES = 64 * 1024
_MAX_DELAY_S = 0.4


class ProxyFault(Enum):
    """Fault injected into the connections of a proxy."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_TO = "cut_to"
    CUT_FROM = "cut_from"
    SILENT = "silent"


class Proxy:
    """Forwards connections; bytes held back by a fault are delivered after it is cleared."""

    def __init__(self, address: str, target: str, port: int, rng: random.Random) -> None:
        """Create the proxy.

        Args:
            address: Address that peers connect to.
            target: Address that the replica listens on.
            port: Port of both addresses.
            rng: Random generator for delays.
        """
        self.address = address
        self._target = target
        self._port = port
        self._rng = rng
        self._fault = ProxyFault.NONE
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def async_setup(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._async_serve, self.address, self._port)

    async def async_unload(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self._reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_fault(self, fault: ProxyFault) -> None:
        """Set the active fault; `NONE` clears it."""
        self._fault = fault
        self._changed.set()
        self._changed = asyncio.Event()
        if fault is ProxyFault.RESET:
            self._reset()

    def _reset(self) -> None:
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the replica and relay bytes in both directions."""
        try:
            to_reader, to_writer = await asyncio.open_connection(self._target, self._port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, to_writer}
        relays = [
            asyncio.ensure_future(self._async_relay(reader, to_writer, ProxyFault.CUT_TO)),
            asyncio.ensure_future(self._async_relay(to_reader, writer, ProxyFault.CUT_FROM)),
        ]
        self._tasks.update(relays)
        try:
            await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for relay in relays:
                relay.cancel()
            self._tasks.difference_update(relays)
            for item in (writer, to_writer):
                self._writers.discard(item)
                item.transport.abort()

    async def _async_relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: ProxyFault
    ) -> None:
        """Relay bytes in one direction until either side closes."""
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                while self._fault in (cut, ProxyFault.SILENT):
                    await self._changed.wait()
                if self._fault is ProxyFault.DELAY:
                    await asyncio.sleep(self._rng.uniform(0.0, _MAX_DELAY_S))
                writer.write(chunk)
                await writer.drain()
        except (ConnectionError, OSError):
            # `_async_serve` closes both connections when either direction ends.
            return
