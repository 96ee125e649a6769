"""One exchange with an endpoint, up to the head of its answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tornado.httputil import RequestStartLine

from lagoonwing_core.clock import Clock
from lagoonwing_gateway._connections import Connections
from lagoonwing_gateway.models import AnswerNotes, Outgoing, WholeAnswer
from lagoonwing_gateway.ports import Dialect
from lagoonwing_http import (
    AnswerBrokenError,
    AnswerHead,
    ClientConnection,
    Exchange,
)


@dataclass(slots=True)
class OpenExchange:
    """An exchange under way; it must be closed or read to its end.

    Attributes:
        sent_at: When the request was written.
    """

    connection: ClientConnection
    exchange: Exchange
    sent_at: float

    def close(self) -> None:
        """End the exchange; the endpoint drops the request unless it has answered whole."""
        self.exchange.stop_watch()
        if not self.exchange.finished:
            self.connection.close()


class Exchanges:
    """Sends requests to endpoints."""

    def __init__(self, dialect: Dialect, connections: Connections, clock: Clock) -> None:
        self._dialect = dialect
        self._connections = connections
        self._clock = clock

    async def async_send(self, outgoing: Outgoing, fresh: bool) -> OpenExchange:
        """Connect and write a request.

        Raises:
            ConnectError: Nothing was sent.
        """
        request = outgoing.request
        connection = await self._connections.async_take_for(outgoing.endpoint, fresh)
        exchange = connection.send(
            RequestStartLine(request.method, request.target, "HTTP/1.1"),
            self._dialect.outgoing_headers(outgoing),
            request.body,
            self._dialect.accepts(request),
        )
        return OpenExchange(connection, exchange, self._clock.now())

    async def async_head(
        self, opened: OpenExchange, timeout: float
    ) -> tuple[AnswerHead, AnswerNotes]:
        """Wait for the head of the answer.

        Raises:
            AnswerBrokenError: The connection ended first.
            TimeoutError: Nothing came in time.
        """
        async with asyncio.timeout(timeout):
            head = await opened.exchange.async_head()
        return head, self._dialect.notes(head)

    async def async_whole(self, opened: OpenExchange, deadline: float) -> WholeAnswer:
        """Wait for the whole answer.

        Raises:
            AnswerBrokenError: The connection ended before the answer was whole.
            TimeoutError: It was not whole in time.
        """
        head, notes = await self.async_head(opened, deadline - self._clock.now())
        body = await self.async_body(opened, deadline)
        return WholeAnswer(notes, self._dialect.caller_headers(head), body)

    async def async_body(self, opened: OpenExchange, deadline: float) -> bytes:
        """Wait for the rest of the body."""
        chunks: list[bytes] = []
        while True:
            left = deadline - self._clock.now()
            if left <= 0:
                raise TimeoutError
            chunk = await opened.exchange.async_chunk(left)
            if chunk is None:
                return b"".join(chunks)
            chunks.append(chunk)


BROKEN_ERRORS = (AnswerBrokenError, TimeoutError)
