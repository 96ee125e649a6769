"""HTTP exchanges with endpoints."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tornado.httputil import RequestStartLine

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_gateway._answer_times import AnswerTimes
from lagoonwing_gateway._connection_pool import EndpointConnectionPool
from lagoonwing_gateway._endpoint_notices import EndpointNotices
from lagoonwing_gateway.const import MAX_RESPONSE_BODY_BYTES
from lagoonwing_gateway.models import (
    CompleteResponse,
    EndpointRequest,
    FailureEvidence,
    ResponseInfo,
)
from lagoonwing_gateway.ports import Dialect
from lagoonwing_http import (
    AnswerBrokenError,
    ClientConnection,
    ConnectError,
    Exchange,
    ResponseBudget,
    ResponseHead,
)


@dataclass(slots=True)
class OpenExchange:
    """An active exchange; it must be closed or read to the end.

    Attributes:
        endpoint: The endpoint to which the request was sent.
        sent_at: Time at which the request was written.
        is_reused: Whether the connection had been used before.
    """

    connection: ClientConnection
    exchange: Exchange
    endpoint: EndpointRecord
    sent_at: float
    is_reused: bool

    def close(self) -> None:
        """Close the exchange and drop the bytes of its response."""
        self.break_off()
        self.exchange.release()

    def break_off(self) -> None:
        """Fail an unfinished exchange; the endpoint drops its request."""
        if not self.exchange.finished:
            self.connection.close()


class EndpointDeclinesError(ConnectError):
    """The endpoint has said that it wants no requests; that is no failure of it."""


class EndpointClient:
    """Sends requests to endpoints."""

    def __init__(
        self,
        dialect: Dialect,
        connection_pool: EndpointConnectionPool,
        notices: EndpointNotices,
        answer_times: AnswerTimes,
        budget: ResponseBudget,
        clock: Clock,
    ) -> None:
        self._dialect = dialect
        self._answer_times = answer_times
        self._notices = notices
        self._budget = budget
        self._connection_pool = connection_pool
        self._clock = clock

    async def async_connect(self, record: EndpointRecord, fresh: bool) -> ClientConnection:
        """Return a connection to an endpoint.

        Raises:
            ConnectError: No connection could be opened.
        """
        return await self._connection_pool.async_take_for(record, fresh)

    @callback
    def send(self, outgoing: EndpointRequest, connection: ClientConnection) -> OpenExchange:
        """Send a request over a connection to its endpoint.

        Raises:
            EndpointDeclinesError: The endpoint wants no requests now; nothing was sent.
            ConnectError: The connection had ended; nothing was sent.
        """
        request = outgoing.request
        if not self._notices.may_send(outgoing.endpoint.endpoint_id):
            connection.close()
            raise EndpointDeclinesError("the endpoint wants no requests now")
        is_reused = connection.was_used
        match_response = self._dialect.response_matcher(request, is_reused=is_reused)
        exchange = connection.send(
            RequestStartLine(request.method, request.target, "HTTP/1.1"),
            self._dialect.outgoing_headers(outgoing),
            request.body,
            match_response,
            request.attempt_id,
        )
        record = outgoing.endpoint
        exchange.count_in(self._budget, (record.service_id, record.endpoint_id))
        return OpenExchange(connection, exchange, outgoing.endpoint, self._clock.now(), is_reused)

    async def async_head(
        self, open_exchange: OpenExchange, timeout: float
    ) -> tuple[ResponseHead, ResponseInfo]:
        """Wait for the response head.

        Raises:
            AnswerBrokenError: The connection closed first.
            TimeoutError: No head arrived in time.
        """
        service_id = open_exchange.endpoint.service_id
        with self._answer_times.waiting(service_id, open_exchange.sent_at):
            async with asyncio.timeout(timeout):
                head = await open_exchange.exchange.async_read_head()
        self._answer_times.record_answer(service_id, is_reused=open_exchange.is_reused)
        info = self._dialect.response_info(head)
        self._notices.record_response(open_exchange.endpoint, info)
        return head, info

    async def async_complete_response(
        self, open_exchange: OpenExchange, deadline: float
    ) -> CompleteResponse:
        """Wait for the complete response.

        Raises:
            AnswerBrokenError: The connection closed before the response was complete.
            TimeoutError: The response was not complete in time.
        """
        head, info = await self.async_head(open_exchange, deadline - self._clock.now())
        body = await self.async_body(open_exchange, deadline)
        return CompleteResponse(info, self._dialect.caller_headers(head), body)

    async def async_body(self, open_exchange: OpenExchange, deadline: float) -> bytes:
        """Wait for the remaining body.

        Raises:
            AnswerBrokenError: The connection closed first, or the body is too large.
            TimeoutError: The body was not complete in time.
        """
        remaining_s = deadline - self._clock.now()
        if remaining_s <= 0:
            raise TimeoutError
        return await open_exchange.exchange.async_read_body(remaining_s, MAX_RESPONSE_BODY_BYTES)


RESPONSE_ERRORS = (AnswerBrokenError, TimeoutError)


def failure_evidence(error: BaseException) -> FailureEvidence:
    """Return what a failed connection or exchange shows about its endpoint."""
    if isinstance(error, ConnectError) and error.refused:
        return FailureEvidence.REFUSED
    if isinstance(error, TimeoutError) or isinstance(error.__cause__, TimeoutError):
        return FailureEvidence.SILENT
    return FailureEvidence.BROKEN
