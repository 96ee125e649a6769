"""Connection pool of the gateway to endpoints."""

from __future__ import annotations

from collections.abc import Callable

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import (
    CONNECT_TIMEOUT_S,
    IDLE_CONNECTION_TTL_S,
    MAX_IDLE_CONNECTIONS,
)
from lagoonwing_gateway.models import ConnectionReason
from lagoonwing_http import (
    ClientConnection,
    ConnectionPool,
    OnUnrequestedBytes,
    PoolSettings,
    ReadTurns,
)

_Key = tuple[EndpointId, int, str, int]
_POOL_SETTINGS = PoolSettings(CONNECT_TIMEOUT_S, IDLE_CONNECTION_TTL_S, MAX_IDLE_CONNECTIONS)


class EndpointConnectionPool(ConnectionPool[_Key]):
    """Connection pool keyed by endpoint incarnation and address."""

    def __init__(
        self,
        clock: Clock,
        on_unrequested: OnUnrequestedBytes,
        on_connect: Callable[[ConnectionReason], None],
        read_turns: ReadTurns,
    ) -> None:
        def count(fresh: bool) -> None:
            on_connect(ConnectionReason.FRESH if fresh else ConnectionReason.NO_IDLE)

        super().__init__(_POOL_SETTINGS, clock, on_unrequested, count, read_turns)

    async def async_take_for(self, record: EndpointRecord, fresh: bool) -> ClientConnection:
        """Return an idle connection to an endpoint.

        Raises:
            ConnectError: No connection could be opened.
        """
        key = (record.endpoint_id, record.started_ms, record.address, record.port)
        return await self.async_acquire(key, record.address, record.port, fresh)

    @callback
    def close_idle_to(self, record: EndpointRecord) -> None:
        """Close idle connections to an endpoint that takes no requests."""
        self.close_idle((record.endpoint_id, record.started_ms, record.address, record.port))
