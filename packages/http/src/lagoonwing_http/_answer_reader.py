"""Reads what an endpoint sends up to the end of the answer to one request; no I/O."""

from __future__ import annotations

import asyncio

from lagoonwing_core.callback import callback
from lagoonwing_http._embedded_answer import EmbeddedAnswerFinder
from lagoonwing_http._exchange import Exchange, ResponseHead, ResponseMatch
from lagoonwing_http._response_parser import STATUS_LINE, ParsedHead, ResponseParser
from lagoonwing_http.const import MAX_STALE_BYTES, MAX_STALE_RESPONSES, MAX_STATUS_LINE_START_BYTES
from lagoonwing_http.errors import AnswerBrokenError, ForeignAnswerError


class AnswerReader:
    """Reads past whole answers to earlier requests and passes the due answer on.

    Attributes:
        exchange: The exchange whose answer is due.
        stale_responses: Number of answers to earlier requests so far.
        received_bytes: Number of bytes so far.
    """

    def __init__(self, exchange: Exchange, method: str, request_ids: frozenset[str]) -> None:
        """Create the reader.

        Args:
            exchange: The exchange whose answer is due.
            method: Method of its request.
            request_ids: Ids of its request and of earlier ones on the connection.
        """
        self.exchange = exchange
        self.stale_responses = 0
        self.received_bytes = 0
        self._method = method
        self._parser = ResponseParser(method)
        self._embedded_answer = EmbeddedAnswerFinder(request_ids)
        self._match: ResponseMatch | None = None
        self._stale_bytes = 0
        self._stale_tail = b""

    @property
    def is_complete(self) -> bool:
        """Whether the due answer is complete."""
        return self.has_begun and self._parser.is_complete

    @property
    def has_begun(self) -> bool:
        """Whether the due answer has begun."""
        return self._match is ResponseMatch.OWN

    @property
    def remainder(self) -> bytes:
        """Bytes behind the due answer."""
        return self._parser.remainder

    @property
    def keep_alive(self) -> bool:
        """Whether the endpoint keeps the connection after the due answer."""
        return self._parser.head is not None and self._parser.head.keep_alive

    @callback
    def feed(self, data: bytes) -> asyncio.Future[None] | None:
        """Handle received bytes; a returned future pauses reading until it is done.

        Raises:
            AnswerBrokenError: The bytes are not a sequence of answers, or one begins in the body of
                another.
            ForeignAnswerError: An answer is not of this request.
        """
        self.received_bytes += len(data)
        self._parser.feed(data)
        while self._parser.head is not None:
            if self._match is None:
                self._begin_answer(self._parser.head)
            if self.has_begun:
                return self._pass_on()
            self._read_past()
            if not self._parser.is_complete:
                break
            self._next_answer()
        return None

    @callback
    def feed_end(self) -> None:
        """Handle the end of the connection, which may complete an answer without framing.

        Raises:
            AnswerBrokenError: The answer is not complete.
        """
        self._parser.feed(b"")
        if self.has_begun:
            self._pass_on()

    def _begin_answer(self, head: ParsedHead) -> None:
        """Handle the head of an answer."""
        match self.exchange.match_response(head.headers):
            case ResponseMatch.OWN:
                self._match = ResponseMatch.OWN
                self.exchange.on_head(ResponseHead(head.status, head.headers, head.is_framed))
            case ResponseMatch.STALE if head.keep_alive:
                self._match = ResponseMatch.STALE
                self.stale_responses += 1
                if self.stale_responses > MAX_STALE_RESPONSES:
                    raise ForeignAnswerError("too many earlier answers")
            case _:
                raise ForeignAnswerError("the answer is not of this attempt")

    def _read_past(self) -> None:
        """Skip bytes of an answer to an earlier request, which must be whole."""
        raw_body = self._parser.raw_body
        self._stale_bytes += len(raw_body)
        if self._stale_bytes > MAX_STALE_BYTES:
            raise ForeignAnswerError("too many bytes of earlier answers")
        window = self._stale_tail + raw_body
        if STATUS_LINE.search(window):
            raise ForeignAnswerError("another answer begins inside an earlier answer")
        self._stale_tail = window[-MAX_STATUS_LINE_START_BYTES:]

    def _next_answer(self) -> None:
        """Go on with the answer behind an earlier one."""
        remainder = self._parser.remainder
        self._parser = ResponseParser(self._method)
        self._match = None
        self._stale_tail = b""
        if remainder:
            self._parser.feed(remainder)

    def _pass_on(self) -> asyncio.Future[None] | None:
        """Pass on a part of the due answer, unless another one begins in it."""
        if self._embedded_answer.feed(self._parser.raw_body, self._parser.remainder):
            raise AnswerBrokenError("another answer begins inside the answer")
        pause = self.exchange.on_data(self._parser.body) if self._parser.body else None
        if self._parser.is_complete:
            self.exchange.on_finish()
            return None
        return pause
