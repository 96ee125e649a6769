"""Connection pool for endpoints."""

from __future__ import annotations

from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, Incarnation
from lagoonwing_core.models import EndpointRecord
from lagoonwing_entry.const import IDLE_CONNECTION_LIFETIME_S
from lagoonwing_entry.models import AdapterSettings
from lagoonwing_http import ClientConnection, PoolSettings
from lagoonwing_http import ConnectionPool as KeyedPool

PoolKey = tuple[EndpointId, Incarnation, str, int]


class ConnectionPool(KeyedPool[PoolKey]):
    """Connection pool keyed by endpoint process and address."""

    def __init__(self, settings: AdapterSettings, clock: Clock) -> None:
        limits = PoolSettings(
            settings.connect_timeout_s, IDLE_CONNECTION_LIFETIME_S, settings.max_idle_connections
        )
        super().__init__(limits, clock)

    async def async_take_for(self, record: EndpointRecord, fresh: bool) -> ClientConnection:
        """Return a new or idle connection to an endpoint.

        Raises:
            ConnectError: No connection could be opened.
        """
        key = (record.endpoint_id, record.incarnation, record.address, record.port)
        return await self.async_acquire(key, record.address, record.port, fresh)
