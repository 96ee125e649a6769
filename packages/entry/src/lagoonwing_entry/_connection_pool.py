"""Idle connections to endpoints, kept for the next dispatch."""

from __future__ import annotations

from functools import partial

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, Incarnation
from lagoonwing_core.models import EndpointRecord
from lagoonwing_entry.const import IDLE_CONNECTION_LIFE_S
from lagoonwing_entry.models import AdapterSettings
from lagoonwing_http import ClientConnection, async_open_connection

# A restarted endpoint, or one at another address, never gets an old connection.
PoolKey = tuple[EndpointId, Incarnation, str, int]


class ConnectionPool:
    """Hands out idle connections, the one used last first."""

    def __init__(self, settings: AdapterSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._idle_by_key: dict[PoolKey, list[ClientConnection]] = {}
        self._open: set[ClientConnection] = set()

    async def async_take(self, record: EndpointRecord, fresh: bool) -> ClientConnection:
        """Return a connection that carries nothing.

        Args:
            record: Endpoint to connect to.
            fresh: Whether an idle connection won't do.

        Raises:
            ConnectError: No connection could be opened.
        """
        key = _key(record)
        idle = self._idle_by_key.get(key, [])
        while idle and not fresh:
            connection = idle.pop()
            if not connection.closed:
                return connection
            self._open.discard(connection)
        connection = await async_open_connection(
            record.address,
            record.port,
            self._settings.connect_timeout_s,
            partial(self._on_idle, key),
        )
        self._open.add(connection)
        return connection

    @callback
    def prune(self) -> None:
        """Close connections that have been idle for long."""
        oldest = self._clock.now() - IDLE_CONNECTION_LIFE_S
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
    def _on_idle(self, key: PoolKey, connection: ClientConnection) -> None:
        """Keep a connection whose answer has ended."""
        idle = self._idle_by_key.setdefault(key, [])
        if len(idle) >= self._settings.max_idle_connections:
            connection.close()
            return
        connection.idle_since = self._clock.now()
        idle.append(connection)


def _key(record: EndpointRecord) -> PoolKey:
    """Return the key under which an endpoint's connections are kept."""
    return record.endpoint_id, record.incarnation, record.address, record.port
