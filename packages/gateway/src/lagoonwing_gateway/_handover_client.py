"""Sends requests to other gateways."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders, RequestStartLine

from lagoonwing_catalog.messages import PeerGateway
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import HostId, ServiceId
from lagoonwing_gateway._handover_codec import (
    HANDOVER_HEADERS,
    HANDOVER_PATH,
    HEADER_DECLINED,
    HEADER_ID,
    HEADER_REFUSAL,
    HEADER_TOKEN,
    REACH_PATH,
    decode_refusal,
    handover_token,
)
from lagoonwing_gateway.const import (
    HANDOVER_CONNECT_TIMEOUT_S,
    HANDOVER_IDLE_CONNECTION_TTL_S,
    MAX_IDLE_CONNECTIONS,
    REACH_QUESTION_TIMEOUT_S,
)
from lagoonwing_gateway.models import GatewayRefusal
from lagoonwing_http import (
    AnswerBrokenError,
    ClientConnection,
    ConnectError,
    ConnectionPool,
    Exchange,
    PoolSettings,
    ReadTurns,
    ResponseBudget,
    ResponseHead,
    ResponseMatch,
)
from lagoonwing_wire import Identity

_POOL_SETTINGS = PoolSettings(
    HANDOVER_CONNECT_TIMEOUT_S, HANDOVER_IDLE_CONNECTION_TTL_S, MAX_IDLE_CONNECTIONS
)


@dataclass(frozen=True, slots=True)
class Declined:
    """The peer did not take the request, which has not run there."""

    reason: str


@dataclass(slots=True)
class HandedExchange:
    """A request that a peer has been sent; it must be closed."""

    connection: ClientConnection
    exchange: Exchange

    async def async_head(self) -> ResponseHead | Declined | GatewayRefusal:
        """Wait for what the peer says first.

        Raises:
            AnswerBrokenError: The connection closed first, or the head can't be read.
        """
        head = await self.exchange.async_read_head()
        declined = head.headers.get(HEADER_DECLINED)
        if declined is not None:
            return Declined(declined)
        refusal = head.headers.get(HEADER_REFUSAL)
        if refusal is not None:
            decoded = decode_refusal(refusal)
            if decoded is None:
                raise AnswerBrokenError("the refusal of the peer can't be read")
            return decoded
        for name in HANDOVER_HEADERS:
            head.headers.pop(name, None)
        return head

    def close(self) -> None:
        """End the exchange; a peer that still works on it gives it up."""
        if not self.exchange.finished:
            self.connection.close()
        self.exchange.release()


class HandoverClient:
    """Connections to other gateways, opened when they are needed."""

    def __init__(
        self, identity: Identity, budget: ResponseBudget, clock: Clock, read_turns: ReadTurns
    ) -> None:
        self._identity = identity
        self._budget = budget
        self._numbers = itertools.count(1)
        self._pool: ConnectionPool[HostId] = ConnectionPool(
            _POOL_SETTINGS, clock, read_turns=read_turns
        )

    @property
    def gateway_id(self) -> HostId:
        """Id of this gateway."""
        return self._identity.host_id

    async def async_connect(self, peer: PeerGateway, *, fresh: bool) -> ClientConnection:
        """Return a connection to a peer.

        Raises:
            ConnectError: No connection could be opened.
        """
        handover = peer.handover
        return await self._pool.async_acquire(
            peer.gateway_id, handover.address, handover.port, fresh
        )

    async def async_ask_reach(self, peer: PeerGateway, service_id: ServiceId) -> bool:
        """Return whether a peer says that it reaches a service now."""
        try:
            async with asyncio.timeout(REACH_QUESTION_TIMEOUT_S):
                connection = await self.async_connect(peer, fresh=False)
                exchange = self.send(peer, connection, service_id.encode(), REACH_PATH)
                try:
                    return isinstance(await exchange.async_head(), ResponseHead)
                finally:
                    exchange.close()
        except (AnswerBrokenError, ConnectError, TimeoutError):
            return False

    def send(
        self,
        peer: PeerGateway,
        connection: ClientConnection,
        content: bytes,
        path: str = HANDOVER_PATH,
    ) -> HandedExchange:
        """Send an encoded request.

        Raises:
            ConnectError: The connection had ended; nothing was sent.
        """
        handover_id = f"{self.gateway_id}/{next(self._numbers)}"
        headers = HTTPHeaders(
            {
                "Host": f"{peer.handover.address}:{peer.handover.port}",
                HEADER_ID: handover_id,
                HEADER_TOKEN: handover_token(self._identity.key, peer.gateway_id),
            }
        )

        def match_response(response_headers: HTTPHeaders) -> ResponseMatch:
            is_own = response_headers.get_list(HEADER_ID) == [handover_id]
            return ResponseMatch.OWN if is_own else ResponseMatch.UNKNOWN

        exchange = connection.send(
            RequestStartLine("POST", path, "HTTP/1.1"), headers, content, match_response
        )
        exchange.count_in(self._budget, (peer.gateway_id,))
        return HandedExchange(connection, exchange)

    def prune(self) -> None:
        """Close connections that have been idle for long."""
        self._pool.prune()

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()
