"""Answers as bytes, and what a caller gets of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from lagoonwing_platform.const import HEADER_ATTEMPT_ID, HEADER_NOT_EXECUTED, HEADER_SIGNATURE

# Longer than each second answer, so that all of its bytes fit into the body of the due one.
LONG_BODY = b"the body of the due answer. " * 20

_REASON_BY_STATUS = {
    200: "OK",
    202: "Accepted",
    409: "Conflict",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Framing(Enum):
    """How the end of an answer is marked; extended chunks have extensions and a trailer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    ONE_CHUNK = "one_chunk"
    EXTENDED_CHUNKS = "extended_chunks"
    CONNECTION = "connection"


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer of an endpoint.

    Attributes:
        attempt_id: Id that it names, if any.
        extra_lines: Further header lines.
        id_header: Name of the header with the id.
    """

    status: int
    attempt_id: str | None
    stamp: str
    body: bytes
    framing: Framing = Framing.LENGTH
    extra_lines: tuple[str, ...] = ()
    id_header: str = HEADER_ATTEMPT_ID

    @property
    def head(self) -> bytes:
        """Status line, headers and blank line."""
        lines = [f"HTTP/1.1 {self.status} {_REASON_BY_STATUS[self.status]}"]
        if self.attempt_id is not None:
            lines.append(f"{self.id_header}: {self.attempt_id}")
        lines += [f"{HEADER_SIGNATURE}: {self.stamp}", *self.extra_lines]
        match self.framing:
            case Framing.LENGTH:
                lines.append(f"Content-Length: {len(self.body)}")
            case Framing.CHUNKS | Framing.ONE_CHUNK | Framing.EXTENDED_CHUNKS:
                lines.append("Transfer-Encoding: chunked")
            case Framing.CONNECTION:
                pass
        return "\r\n".join([*lines, "", ""]).encode()

    @property
    def framed_body(self) -> bytes:
        """The body as it is written."""
        half = len(self.body) // 2
        halves = (self.body[:half], self.body[half:])
        match self.framing:
            case Framing.LENGTH | Framing.CONNECTION:
                return self.body
            case Framing.CHUNKS:
                return _chunks(*halves, b"")
            case Framing.ONE_CHUNK:
                return _chunks(self.body, b"")
            case Framing.EXTENDED_CHUNKS:
                return _chunks(*halves, extension=b";n=v") + b"0;n=v\r\nX-Trailer: 1\r\n\r\n"

    @property
    def content(self) -> bytes:
        """All bytes of the answer."""
        return self.head + self.framed_body


def _chunks(*contents: bytes, extension: bytes = b"") -> bytes:
    """Return chunks with these contents; an empty one is the last."""
    return b"".join(b"%x%s\r\n%s\r\n" % (len(data), extension, data) for data in contents)


def event(number: int, text: str) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: {text}\n\n".encode()


AnswerMaker = Callable[[str | None], Answer]


def success(attempt_id: str | None) -> Answer:
    """Return the answer that an endpoint gives if nothing is wrong."""
    return Answer(200, attempt_id, f"own-{attempt_id}", event(1, f"answer to {attempt_id}"))


def failure(attempt_id: str | None) -> Answer:
    """Return a signed failure."""
    return Answer(500, attempt_id, f"due-{attempt_id}", event(1, "failed"))


def long_failure(attempt_id: str | None) -> Answer:
    """Return a signed failure whose body is longer than a second answer."""
    return Answer(500, attempt_id, f"due-{attempt_id}", LONG_BODY)


def chunked_failure(attempt_id: str | None) -> Answer:
    """Return a signed failure in chunks."""
    return Answer(500, attempt_id, f"due-{attempt_id}", LONG_BODY, Framing.CHUNKS)


def refusal(attempt_id: str | None) -> Answer:
    """Return a refusal of a request that did not run."""
    line = f"{HEADER_NOT_EXECUTED}: 1"
    return Answer(503, attempt_id, f"due-{attempt_id}", b"full", extra_lines=(line,))


def second_success(framing: Framing) -> AnswerMaker:
    """Return the maker of a second answer with a success."""
    return lambda attempt_id: Answer(200, attempt_id, "second", event(9, "late"), framing)


def second_refusal(framing: Framing) -> AnswerMaker:
    """Return the maker of a second answer that refuses."""
    line = f"{HEADER_NOT_EXECUTED}: 1"
    return lambda attempt_id: Answer(503, attempt_id, "second", b"", framing, (line,))


# What an engine reports of itself.
REPORT = Answer(200, None, "report", b'{"sequence":0,"busy":false}')


async def async_read_request(reader: asyncio.StreamReader, id_header: str) -> str | None:
    """Read a request; return its id, if it has one."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = [line.lower().split(": ", 1) for line in head.split("\r\n") if ": " in line]
    headers = {line[0]: line[1] for line in lines}
    await reader.readexactly(int(headers.get("content-length", "0")))
    return headers.get(id_header.lower())


@dataclass(frozen=True, slots=True)
class Reply:
    """What a caller got up to the end of its connection.

    Attributes:
        is_whole: Whether it is one answer, complete by its own framing, and nothing else.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool

    def is_answer(self, answer: Answer) -> bool:
        """Return whether it is an endpoint's answer, unchanged."""
        headers = (
            self.headers.get(HEADER_ATTEMPT_ID.lower()),
            self.headers.get(HEADER_SIGNATURE.lower()),
        )
        own = (self.status, *headers, self.body, self.is_whole)
        return own == (answer.status, answer.attempt_id, answer.stamp, answer.body, True)

    def is_begin_of(self, answer: Answer) -> bool:
        """Return whether it is the first events of an answer, and is seen not to be complete."""
        whole = replace(self, body=answer.body, is_whole=True)
        is_cut_between_events = self.body == b"" or self.body.endswith(b"\n\n")
        is_begin = answer.body.startswith(self.body) and is_cut_between_events
        return whole.is_answer(answer) and is_begin and not self.is_whole

    def is_own_failure(self, statuses: tuple[int, ...]) -> bool:
        """Return whether it is a failure of the gateway's own."""
        is_signed = HEADER_SIGNATURE.lower() in self.headers
        return self.status in statuses and not is_signed and self.is_whole

    def __str__(self) -> str:
        stamp = self.headers.get(HEADER_SIGNATURE.lower())
        return f"{self.status} stamp={stamp} whole={self.is_whole} body={self.body[:40]!r}"


def parse_reply(content: bytes) -> Reply:
    """Parse what a caller received."""
    head, separator, rest = content.partition(b"\r\n\r\n")
    status_line, *lines = head.decode("latin-1").split("\r\n")
    parts = status_line.split(" ", 2)
    if not separator or parts[0] != "HTTP/1.1" or len(parts) < 2:
        return Reply(0, {}, content, False)
    headers: dict[str, str] = {}
    is_doubled = False
    for line in lines:
        name, _, value = line.partition(":")
        is_doubled |= name.lower() in headers
        headers[name.lower()] = value.strip()
    body, is_complete = _decode_body(headers, rest)
    return Reply(int(parts[1]), headers, body, is_complete and not is_doubled)


def _decode_body(headers: dict[str, str], content: bytes) -> tuple[bytes, bool]:
    """Return the body, and whether it is complete and followed by nothing."""
    if headers.get("transfer-encoding") != "chunked":
        return content, headers.get("content-length") == str(len(content))
    body = b""
    while True:
        line, separator, rest = content.partition(b"\r\n")
        if not separator:
            return body, False
        size = int(line, 16)
        if size == 0:
            return body, rest == b"\r\n"
        body += rest[:size]
        if rest[size : size + 2] != b"\r\n":
            return body, False
        content = rest[size + 2 :]
