"""Connections of the gateway to endpoints."""

from __future__ import annotations

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import (
    CONNECT_TIMEOUT_S,
    IDLE_CONNECTION_LIFE_S,
    MAX_IDLE_CONNECTIONS,
)
from lagoonwing_http import ClientConnection, ConnectionPool, PoolSettings

_Key = tuple[EndpointId, int, str, int]
_LIMITS = PoolSettings(CONNECT_TIMEOUT_S, IDLE_CONNECTION_LIFE_S, MAX_IDLE_CONNECTIONS)


class Connections(ConnectionPool[_Key]):
    """Pool whose connections belong to the catalog's records."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(_LIMITS, clock)

    async def async_take_for(self, record: EndpointRecord, fresh: bool) -> ClientConnection:
        """Return a connection to an endpoint that carries nothing.

        Raises:
            ConnectError: No connection could be opened.
        """
        key = (record.endpoint_id, record.started_ms, record.address, record.port)
        return await self.async_take(key, record.address, record.port, fresh)
