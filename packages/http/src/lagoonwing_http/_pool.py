"""Pool of idle connections to endpoints."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from functools import partial
from typing import Generic, TypeVar

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_http._client import ClientConnection, async_open_connection
from lagoonwing_http._read_turns import ReadTurns
from lagoonwing_http._unrequested_bytes import OnUnrequestedBytes, UnrequestedBytes
from lagoonwing_http.const import UNREQUESTED_BYTES_MEMORY_S

KeyT = TypeVar("KeyT", bound=Hashable)


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of a connection pool.

    Attributes:
        connect_timeout_s: Connect timeout.
        idle_timeout_s: Time after which an idle connection is closed.
        max_idle: Maximum number of idle connections per key.
    """

    connect_timeout_s: float
    idle_timeout_s: float
    max_idle: int


class ConnectionPool(Generic[KeyT]):
    """Reuses idle connections, the most recently used first.

    The key should include the incarnation and the address of an endpoint, because an endpoint that
    was restarted or moved must not be reached through an old connection.

    For a while, an endpoint that sent bytes that no request asked for gets a new connection for
    each request, as no earlier answer can stand in front of the due one there.
    """

    def __init__(
        self,
        settings: PoolSettings,
        clock: Clock,
        on_unrequested: OnUnrequestedBytes | None = None,
        on_connect: Callable[[bool], None] | None = None,
        read_turns: ReadTurns | None = None,
    ) -> None:
        """Create the pool.

        Args:
            settings: Limits of the pool.
            clock: Time source.
            on_unrequested: Called when bytes arrive that no request asked for.
            on_connect: Called before a connection is opened; its argument tells whether a new one
                was asked for, rather than none being idle.
            read_turns: Turns that its connections share with other readers, if any.
        """
        self._settings = settings
        self._clock = clock
        self._on_unrequested = on_unrequested
        self._on_connect = on_connect
        self._idle_by_key: dict[KeyT, list[ClientConnection]] = {}
        self._read_turns = read_turns or ReadTurns()
        self._open: set[ClientConnection] = set()
        self._unreliable_until_by_key: dict[KeyT, float] = {}

    async def async_acquire(
        self, key: KeyT, address: str, port: int, fresh: bool
    ) -> ClientConnection:
        """Return an idle connection, or open a new one.

        Args:
            key: Key of the endpoint.
            address: IP address of the endpoint.
            port: TCP port of the endpoint.
            fresh: Whether to open a new connection even if an idle one exists.

        Raises:
            ConnectError: The connection could not be opened.
        """
        idle = self._idle_by_key.get(key, [])
        oldest_allowed = self._clock.now() - self._settings.idle_timeout_s
        while idle and not fresh:
            connection = idle.pop()
            if connection.closed:
                self._open.discard(connection)
                continue
            if connection.idle_since < oldest_allowed:
                connection.close()
            elif connection.check_idle():
                return connection
        if self._on_connect is not None:
            self._on_connect(fresh)
        connection = await async_open_connection(
            address,
            port,
            self._settings.connect_timeout_s,
            partial(self._on_idle, key),
            partial(self._on_unrequested_bytes, key),
            self._read_turns,
        )
        self._open.add(connection)
        return connection

    @callback
    def prune(self) -> None:
        """Close connections that have exceeded the idle timeout."""
        now = self._clock.now()
        oldest_allowed = now - self._settings.idle_timeout_s
        for key, until in list(self._unreliable_until_by_key.items()):
            if until <= now:
                del self._unreliable_until_by_key[key]
        for key, idle in list(self._idle_by_key.items()):
            for connection in idle:
                if connection.idle_since < oldest_allowed:
                    connection.close()
            kept = [connection for connection in idle if not connection.closed]
            if kept:
                self._idle_by_key[key] = kept
            else:
                del self._idle_by_key[key]
        self._open = {connection for connection in self._open if not connection.closed}

    @callback
    def close_idle(self, key: KeyT) -> None:
        """Close the idle connections of a key."""
        for connection in self._idle_by_key.pop(key, []):
            connection.close()

    @callback
    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._open):
            connection.close()
        self._open.clear()
        self._idle_by_key.clear()

    @callback
    def _on_idle(self, key: KeyT, connection: ClientConnection) -> None:
        """Return a connection to the pool once its response is complete."""
        idle = self._idle_by_key.setdefault(key, [])
        if len(idle) >= self._settings.max_idle or self._is_unreliable(key):
            connection.close()
            return
        connection.idle_since = self._clock.now()
        idle.append(connection)

    @callback
    def _on_unrequested_bytes(self, key: KeyT, arrival: UnrequestedBytes) -> None:
        """Handle bytes that no request asked for; no connection to the endpoint is kept."""
        self._unreliable_until_by_key[key] = self._clock.now() + UNREQUESTED_BYTES_MEMORY_S
        self.close_idle(key)
        if self._on_unrequested is not None:
            self._on_unrequested(arrival)

    def _is_unreliable(self, key: KeyT) -> bool:
        """Return whether an endpoint has lately sent bytes that no request asked for."""
        return self._clock.now() < self._unreliable_until_by_key.get(key, 0.0)
