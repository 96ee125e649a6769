"""Idle connections to endpoints, kept for the next request."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from functools import partial
from typing import Generic, TypeVar

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_http._client import ClientConnection, async_open_connection

KeyT = TypeVar("KeyT", bound=Hashable)


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of a pool.

    Attributes:
        connect_timeout_s: Longest time to connect.
        idle_life_s: Time after which an idle connection is closed.
        max_idle: Idle connections kept for one key.
    """

    connect_timeout_s: float
    idle_life_s: float
    max_idle: int


class ConnectionPool(Generic[KeyT]):
    """Hands out idle connections, the one used last first.

    The key should hold the incarnation and the address of an endpoint: a restarted one, or one at
    another address, must never get an old connection.
    """

    def __init__(self, settings: PoolSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._idle_by_key: dict[KeyT, list[ClientConnection]] = {}
        self._open: set[ClientConnection] = set()

    async def async_take(self, key: KeyT, address: str, port: int, fresh: bool) -> ClientConnection:
        """Return a connection that carries nothing.

        Args:
            key: Endpoint that is meant.
            address: Its IP number.
            port: Its TCP port.
            fresh: Whether an idle connection won't do.

        Raises:
            ConnectError: No connection could be opened.
        """
        idle = self._idle_by_key.get(key, [])
        oldest = self._clock.now() - self._settings.idle_life_s
        while idle and not fresh:
            connection = idle.pop()
            if connection.closed:
                self._open.discard(connection)
                continue
            if connection.idle_since >= oldest:
                return connection
            connection.close()
        connection = await async_open_connection(
            address, port, self._settings.connect_timeout_s, partial(self._on_idle, key)
        )
        self._open.add(connection)
        return connection

    @callback
    def prune(self) -> None:
        """Close connections that have been idle for long."""
        oldest = self._clock.now() - self._settings.idle_life_s
        for key, idle in list(self._idle_by_key.items()):
            for connection in idle:
                if connection.idle_since < oldest:
                    connection.close()
            kept = [connection for connection in idle if not connection.closed]
            if kept:
                self._idle_by_key[key] = kept
            else:
                del self._idle_by_key[key]
        self._open = {connection for connection in self._open if not connection.closed}

    @callback
    def close(self) -> None:
        """Close every connection."""
        for connection in list(self._open):
            connection.close()
        self._open.clear()
        self._idle_by_key.clear()

    @callback
    def _on_idle(self, key: KeyT, connection: ClientConnection) -> None:
        """Keep a connection whose answer has ended."""
        idle = self._idle_by_key.setdefault(key, [])
        if len(idle) >= self._settings.max_idle:
            connection.close()
            return
        connection.idle_since = self._clock.now()
        idle.append(connection)
