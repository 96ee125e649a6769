"""Connections to endpoints, kept for the next request."""

from __future__ import annotations

from functools import partial

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import (
    CONNECT_TIMEOUT_S,
    IDLE_CONNECTION_LIFE_S,
    MAX_IDLE_CONNECTIONS,
)
from lagoonwing_http import ClientConnection, async_open_connection

# A restarted endpoint, or one at another address, never gets an old connection.
_Key = tuple[EndpointId, int, str, int]


class Connections:
    """Hands out idle connections, the one used last first."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle_by_key: dict[_Key, list[ClientConnection]] = {}

    async def async_take(self, record: EndpointRecord, fresh: bool) -> ClientConnection:
        """Return a connection that carries nothing.

        Args:
            record: Endpoint to connect to.
            fresh: Whether an idle connection won't do.

        Raises:
            ConnectError: No connection could be opened.
        """
        key = (record.endpoint_id, record.started_ms, record.address, record.port)
        idle = self._idle_by_key.get(key, [])
        oldest = self._clock.now() - IDLE_CONNECTION_LIFE_S
        while idle and not fresh:
            connection = idle.pop()
            if connection.closed:
                continue
            if connection.idle_since >= oldest:
                return connection
            connection.close()
        return await async_open_connection(
            record.address, record.port, CONNECT_TIMEOUT_S, partial(self._on_idle, key)
        )

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

    @callback
    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle_by_key.values():
            for connection in idle:
                connection.close()
        self._idle_by_key.clear()

    @callback
    def _on_idle(self, key: _Key, connection: ClientConnection) -> None:
        """Keep a connection whose answer has ended."""
        idle = self._idle_by_key.setdefault(key, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        connection.idle_since = self._clock.now()
        idle.append(connection)
