"""Strict parser of one response; no I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

import h11
from tornado.httputil import HTTPHeaders, HTTPInputError

from lagoonwing_http.const import (
    MAX_DETAIL_CHARACTERS,
    MAX_INTERIM_RESPONSES,
    MAX_RESPONSE_HEADER_BYTES,
)
from lagoonwing_http.errors import AnswerBrokenError, ForeignAnswerError

STATUS_LINE = re.compile(rb"HTTP/1\.[0-9][ \t]+[0-9]{3}")
_FRAMING_HEADER = re.compile(rb"^(?:content-length|transfer-encoding)[ \t]*:(.*)$", re.I | re.M)
# A line that continues the one before it.
_FOLDED_LINE = re.compile(rb"\n[ \t]")
_SWITCHING_PROTOCOLS = 101
_STATUSES_WITHOUT_BODY = (204, 304)
# Highest status of a class; the parser below takes any three digits from 200 on.
_LAST_STATUS = 599
# The parser needs to know of a request only whether its response has a body.
_REQUEST_BY_METHOD = {
    method: h11.Request(method=method, target="/", headers=[("Host", "endpoint")])
    for method in ("GET", "HEAD")
}


@dataclass(frozen=True, slots=True)
class ParsedHead:
    """Status and headers of a response.

    Attributes:
        is_framed: Whether the end of the body can be distinguished from a lost connection.
        keep_alive: Whether the endpoint keeps the connection.
    """

    status: int
    headers: HTTPHeaders
    is_framed: bool
    keep_alive: bool


class ResponseParser:
    """Parses one response, and interim responses before it.

    Attributes:
        head: The head, once it is complete.
        is_complete: Whether the response is complete.
        remainder: Bytes behind the complete response.
        body: The part of the body in the bytes that were fed last.
        raw_body: The same as it was received, with its framing.
    """

    def __init__(self, method: str) -> None:
        self.head: ParsedHead | None = None
        self.is_complete = False
        self.remainder = b""
        self.body = b""
        self.raw_body = b""
        self._is_head_request = method == "HEAD"
        self._raw_head = bytearray()
        self._interim_responses = 0
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES)
        self._http.send(_REQUEST_BY_METHOD["HEAD" if self._is_head_request else "GET"])
        self._http.send(h11.EndOfMessage())

    def feed(self, data: bytes) -> None:
        """Parse received bytes; none mean that the endpoint has ended the connection.

        Raises:
            AnswerBrokenError: The bytes are not a response, or the response is not complete.
            ForeignAnswerError: Another response begins inside this one.
        """
        self.body, self.raw_body = b"", b""
        if self.head is None:
            self._raw_head += data
        else:
            self.raw_body = data
        try:
            self._http.receive_data(data)
            self._parse()
        except (h11.ProtocolError, HTTPInputError) as error:
            if self.head is None:
                self._check_head(bytes(self._raw_head))
            detail = str(error)[:MAX_DETAIL_CHARACTERS]
            raise AnswerBrokenError(f"the answer is malformed: {detail}") from error
        if self.head is None:
            self._check_head(bytes(self._raw_head))
        if self.is_complete:
            self.remainder = self._http.trailing_data[0]
            self.raw_body = self.raw_body[: len(self.raw_body) - len(self.remainder)]

    def _parse(self) -> None:
        """Parse up to the end of the response, or as far as bytes have been received."""
        chunks: list[bytes] = []
        while not self.is_complete:
            match self._http.next_event():
                case h11.Data(data=data):
                    chunks.append(bytes(data))
                case h11.InformationalResponse(status_code=status):
                    self._on_interim_response(status)
                case h11.Response() as response:
                    self._on_response(response)
                case h11.EndOfMessage():
                    self.is_complete = True
                case h11.ConnectionClosed():
                    raise AnswerBrokenError("the connection ended before an answer")
                case _:
                    break
        self.body = chunks[0] if len(chunks) == 1 else b"".join(chunks)

    def _on_interim_response(self, status: int) -> None:
        """Skip an interim response, unless there were too many."""
        self._interim_responses += 1
        if status == _SWITCHING_PROTOCOLS or self._interim_responses > MAX_INTERIM_RESPONSES:
            raise AnswerBrokenError("interim responses that nothing asked for")
        self._take_raw_head()

    def _on_response(self, response: h11.Response) -> None:
        """Handle the head of the response."""
        raw_head = self._take_raw_head()
        if response.status_code > _LAST_STATUS:
            raise AnswerBrokenError(f"the status {response.status_code} belongs to no class")
        framing = _FRAMING_HEADER.findall(raw_head)
        if len(framing) > 1 or any(b"," in value for value in framing):
            raise AnswerBrokenError("the length of the answer is ambiguous")
        headers = HTTPHeaders()
        for name, value in response.headers.raw_items():
            headers.add(name.decode("ascii"), value.decode("latin-1"))
        is_framed = bool(framing) or self._is_head_request
        is_framed = is_framed or response.status_code in _STATUSES_WITHOUT_BODY
        is_persistent = response.http_version == b"1.1" and not has_close_option(headers)
        keep_alive = is_framed and is_persistent
        self.head = ParsedHead(response.status_code, headers, is_framed, keep_alive)
        self.raw_body = bytes(self._raw_head)
        self._raw_head.clear()

    def _take_raw_head(self) -> bytes:
        """Return the bytes of the head that was just parsed, and keep those behind it."""
        length = len(self._raw_head) - len(self._http.trailing_data[0])
        raw_head = bytes(self._raw_head[:length])
        del self._raw_head[:length]
        self._check_head(raw_head)
        if length > MAX_RESPONSE_HEADER_BYTES:
            raise AnswerBrokenError("the head of the answer is too large")
        return raw_head

    def _check_head(self, raw_head: bytes) -> None:
        """Raise if another response begins inside a head, which may not be complete."""
        if _FOLDED_LINE.search(raw_head):
            raise AnswerBrokenError("a line of the head is folded")
        if STATUS_LINE.search(raw_head, 1):
            raise ForeignAnswerError("another answer begins inside the head of the answer")


def has_close_option(headers: HTTPHeaders) -> bool:
    """Return whether headers say that the connection ends behind their message."""
    options = headers.get("Connection", "").split(",")
    return any(option.strip().lower() == "close" for option in options)
