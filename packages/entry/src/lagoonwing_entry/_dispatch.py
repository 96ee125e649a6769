"""One dispatch over HTTP, with the dispatch state in case of a failure."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from types import TracebackType

from tornado.httputil import HTTPHeaders, RequestStartLine

from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.models import EndpointRecord
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_entry._connection_pool import ConnectionPool
from lagoonwing_entry.const import (
    HEADER_ATTEMPT,
    HEADER_OUTCOME,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
    MAX_SEND_DELAY_S,
)
from lagoonwing_entry.errors import DispatchError
from lagoonwing_entry.models import DispatchFailure, DispatchId
from lagoonwing_http import (
    AnswerBrokenError,
    AnswerTooLargeError,
    ClientConnection,
    ConnectError,
    Exchange,
    ForeignAnswerError,
    ResponseBudget,
    ResponseHead,
    ResponseMatch,
)
from lagoonwing_policy.models import Dispatch

_BUSY_STATUSES = frozenset({409, 429, 503})


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """HTTP request of a dispatch.

    Attributes:
        fresh: Whether the connection must be new.
        require_echo: Whether a response without the echoed ids is rejected.
    """

    method: str
    path: str
    headers: HTTPHeaders
    body: bytes
    dispatch_id: DispatchId
    fresh: bool = False
    require_echo: bool = True


class OpenDispatch:
    """Context manager of one dispatch; closes the connection unless the exchange finished."""

    def __init__(
        self,
        pool: ConnectionPool,
        budget: ResponseBudget,
        record: EndpointRecord,
        request: OutgoingRequest,
    ) -> None:
        self._pool = pool
        self._budget = budget
        self._record = record
        self._request = request
        self._connection: ClientConnection | None = None
        self._exchange: Exchange | None = None
        self._body: list[bytes] = []

    async def __aenter__(self) -> OpenDispatch:
        """Connect and send.

        Raises:
            DispatchError: No byte was sent.
        """
        try:
            connection = await self._async_connect()
            self._exchange = connection.send(
                RequestStartLine(self._request.method, self._request.path, "HTTP/1.1"),
                self._headers(),
                self._request.body,
                partial(self._match_response, is_reused=connection.was_used),
                self._request.dispatch_id.request_id,
            )
        except ConnectError as error:
            refusal = Refusal(ResultCode.ENDPOINT_LOST, str(error))
            failure = DispatchFailure(
                Dispatch.NO_BYTE_SENT, refusal, endpoint_crashed=error.refused
            )
            raise DispatchError(failure) from error
        self._exchange.count_in(self._budget, (self._record.endpoint_id,))
        return self

    async def _async_connect(self) -> ClientConnection:
        """Return a connection on which the request may be sent.

        Raises:
            ConnectError: No connection could be opened, or this took so long (for example because
                the process was paused) that the choice of the endpoint may be out of date.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        self._connection = await self._pool.async_take_for(self._record, self._request.fresh)
        if loop.time() - started > MAX_SEND_DELAY_S:
            self._connection.close()
            raise ConnectError("too much time passed between the choice and the dispatch")
        return self._connection

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connection if the exchange is not finished, and drop the response."""
        if self._exchange is None:
            return
        if not self._exchange.finished:
            self.close_connection()
        self._exchange.release()
        self._body.clear()

    def close_connection(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()

    async def async_head(self, timeout: float) -> ResponseHead:
        """Wait for the response head.

        Raises:
            DispatchError: No valid head arrived, or the endpoint refused the request.
        """
        assert self._exchange is not None
        try:
            async with asyncio.timeout(timeout):
                head = await self._exchange.async_read_head()
        except ForeignAnswerError as error:
            raise self.invalid_response(str(error)) from error
        except AnswerBrokenError as error:
            raise self._may_have_run(ResultCode.ENDPOINT_LOST, str(error), died=True) from error
        except TimeoutError as error:
            detail = f"no answer within {timeout} s"
            raise self._may_have_run(ResultCode.ENDPOINT_LOST, detail, died=False) from error
        self._raise_if_refused(head)
        return head

    async def async_chunk(self, timeout: float) -> bytes | None:
        """Return the next chunk of the body, or None at its end.

        Raises:
            DispatchError: The response was cut off or timed out.
        """
        assert self._exchange is not None
        try:
            return await self._exchange.async_read_chunk(timeout)
        except AnswerTooLargeError as error:
            raise self.invalid_response(str(error)) from error
        except AnswerBrokenError as error:
            raise self._may_have_run(ResultCode.ANSWER_INCOMPLETE, str(error), died=True) from error
        except TimeoutError as error:
            detail = f"silent for {timeout} s"
            raise self._may_have_run(ResultCode.ANSWER_INCOMPLETE, detail, died=False) from error

    async def async_body(
        self, idle_timeout: float, limit: int, total_timeout: float | None = None
    ) -> bytes:
        """Read the complete body.

        Args:
            idle_timeout: Maximum time without data, in seconds.
            limit: Maximum size of the body in bytes.
            total_timeout: Maximum time until the body is complete, in seconds; None if the
                caller's deadline ends the dispatch.

        Raises:
            DispatchError: The body is incomplete or exceeds `limit` bytes.
        """
        try:
            async with asyncio.timeout(total_timeout):
                return await self._async_collect_body(idle_timeout, limit)
        except TimeoutError as error:
            raise self.invalid_response(f"no complete answer in {total_timeout} s") from error

    async def _async_collect_body(self, idle_timeout: float, limit: int) -> bytes:
        """Read the chunks of the body.

        Raises:
            DispatchError: The body is incomplete or exceeds `limit` bytes.
        """
        size = 0
        while (chunk := await self.async_chunk(idle_timeout)) is not None:
            size += len(chunk)
            if size > limit:
                raise self.invalid_response(f"the answer passes {limit} bytes")
            # Not in a local variable: the traceback of an exception would keep it alive.
            self._body.append(chunk)
            self.set_held_bytes(size)
        return b"".join(self._body)

    @callback
    def set_held_bytes(self, count: int) -> None:
        """Set the number of bytes that are held of the chunks read so far."""
        assert self._exchange is not None
        self._exchange.set_rest(count)

    def invalid_response(self, detail: str) -> DispatchError:
        """Return the error of a response that is invalid or belongs to another dispatch."""
        return self._may_have_run(ResultCode.ANSWER_INCOMPLETE, detail, died=False)

    def _raise_if_refused(self, head: ResponseHead) -> None:
        """Raise if the endpoint reports that it did not start the request."""
        if head.status not in _BUSY_STATUSES:
            return
        if head.headers.get(HEADER_OUTCOME) != Outcome.NOT_RUN.value:
            return
        refusal = Refusal(ResultCode.ENDPOINT_REFUSED, f"status {head.status}")
        raise DispatchError(
            DispatchFailure(
                Dispatch.REFUSED_BEFORE_START,
                refusal,
                retry_after=_parse_retry_after(head.headers.get(HEADER_RETRY_AFTER)),
            )
        )

    def _may_have_run(self, code: ResultCode, detail: str, died: bool) -> DispatchError:
        """Return the error of a dispatch that may have reached the endpoint."""
        refusal = Refusal(code, f"{self._record.endpoint_id}: {detail}")
        return DispatchError(DispatchFailure(Dispatch.MAY_HAVE_RUN, refusal, endpoint_crashed=died))

    def _match_response(self, headers: HTTPHeaders, *, is_reused: bool) -> ResponseMatch:
        """Return whether a response echoes the ids of this dispatch."""
        if any(len(headers.get_list(name)) > 1 for name in (HEADER_REQUEST_ID, HEADER_ATTEMPT)):
            return ResponseMatch.UNKNOWN
        request_id = headers.get(HEADER_REQUEST_ID)
        attempt = headers.get(HEADER_ATTEMPT)
        is_unnamed = request_id is None and attempt is None
        if is_unnamed and not is_reused and not self._request.require_echo:
            return ResponseMatch.OWN
        dispatch_id = self._request.dispatch_id
        if request_id == dispatch_id.request_id and attempt == str(dispatch_id.attempt):
            return ResponseMatch.OWN
        is_stale = is_reused and request_id is not None and attempt is not None
        return ResponseMatch.STALE if is_stale else ResponseMatch.UNKNOWN

    def _headers(self) -> HTTPHeaders:
        """Return the headers, with the ids that the response must echo."""
        headers = self._request.headers
        headers["Host"] = f"{self._record.address}:{self._record.port}"
        headers[HEADER_REQUEST_ID] = self._request.dispatch_id.request_id
        headers[HEADER_ATTEMPT] = str(self._request.dispatch_id.attempt)
        return headers


def _parse_retry_after(text: str | None) -> float | None:
    """Return a Retry-After value in seconds, if it is a number."""
    try:
        return float(text) if text else None
    except ValueError:
        return None
