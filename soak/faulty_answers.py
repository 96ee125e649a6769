"""Faults of the answers of an endpoint: cut, corrupted, repeated, or followed by other bytes."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum


class AnswerFault(Enum):
    """What an endpoint does to an answer, or to what it sends besides.

    The extra bytes come behind a complete answer: in the same segment, later, or with the next
    answer on the connection. An extra answer may have another status than the first one.
    CUT_FILLED: a second answer follows a cut one on the open connection; where only the end of a
    body is missing, no reader can always tell.
    """

    CUT_CLOSED = "cut_closed"
    CUT_OPEN = "cut_open"
    CUT_FILLED = "cut_filled"
    GARBAGE = "garbage"
    TWO_WRITES = "two_writes"
    EXTRA_GARBAGE = "extra_garbage"
    EXTRA_WHOLE = "extra_whole"
    EXTRA_CUT_STATUS_LINE = "extra_cut_status_line"
    EXTRA_CUT_HEADERS = "extra_cut_headers"
    EXTRA_CUT_BODY = "extra_cut_body"


DEFAULT_ANSWER_FAULTS = tuple(fault for fault in AnswerFault if fault is not AnswerFault.CUT_FILLED)


class Framing(Enum):
    """How the end of a body is marked."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION_END = "connection_end"


_SHARE_BY_OWN_FAULT = {
    AnswerFault.CUT_CLOSED: 0.02,
    AnswerFault.CUT_OPEN: 0.004,
    AnswerFault.CUT_FILLED: 0.02,
    AnswerFault.GARBAGE: 0.01,
    AnswerFault.TWO_WRITES: 0.1,
}
_SHARE_BY_EXTRA = {
    AnswerFault.EXTRA_GARBAGE: 0.03,
    AnswerFault.EXTRA_WHOLE: 0.06,
    AnswerFault.EXTRA_CUT_STATUS_LINE: 0.05,
    AnswerFault.EXTRA_CUT_HEADERS: 0.05,
    AnswerFault.EXTRA_CUT_BODY: 0.05,
}
_FAILURE_SHARE = 0.2
_REFUSAL_SHARE = 0.2
_OTHER_STATUS_SHARE = 0.5
_CONNECTION_END_SHARE = 0.08
_MAX_GARBAGE_BYTES = 80
_PADDING_BYTES = (0, 0, 0, 40, 300, 300, 3_000, 3_000)
_LARGE_BODY_SHARE = 0.01
_LARGE_PADDING_BYTES = 200_000
_GARBAGE = (
    b"\r\n",
    b"\r\n\r\n",
    b"0\r\n\r\n",
    b"X-Other: 1\r\n",
    b"HTTP/0.9\r\n\r\n",
    b"oops",
    b"\0",
)


@dataclass(frozen=True, slots=True)
class AnswerParts:
    """One answer before it is encoded."""

    status: int
    headers: dict[str, str]
    body: bytes


class AnswerFaults:
    """Draws the answers of endpoints and their faults."""

    def __init__(self, rng: random.Random, faults: Collection[AnswerFault]) -> None:
        self._rng = rng
        self._faults = frozenset(faults)

    def draw_status(self) -> int:
        """Return the status of the next answer; 503 is a refusal."""
        drawn = self._rng.random()
        if drawn < _REFUSAL_SHARE:
            return 503
        return 500 if drawn < _REFUSAL_SHARE + _FAILURE_SHARE else 200

    def draw_framing(self) -> Framing:
        """Return the framing of the next answer."""
        if self._rng.random() < _CONNECTION_END_SHARE:
            return Framing.CONNECTION_END
        return self._rng.choice((Framing.LENGTH, Framing.CHUNKS))

    def draw_body(self, attempt_id: str, status: int) -> bytes:
        """Return the body of an answer to a request that was executed."""
        is_large = self._rng.random() < _LARGE_BODY_SHARE
        size = _LARGE_PADDING_BYTES if is_large else self._rng.choice(_PADDING_BYTES)
        return f"done {attempt_id} {status} {'.' * size}".encode()

    def draw_own_fault(self) -> AnswerFault | None:
        """Return the fault of the next answer, if any."""
        return self._draw(_SHARE_BY_OWN_FAULT)

    def draw_extra(self) -> AnswerFault | None:
        """Return what is sent behind the next answer, if anything."""
        return self._draw(_SHARE_BY_EXTRA)

    def _draw(self, share_by_fault: dict[AnswerFault, float]) -> AnswerFault | None:
        """Return one of the faults by its share, or None."""
        drawn = self._rng.random()
        for fault, share in share_by_fault.items():
            drawn -= share
            if drawn < 0.0:
                return fault if fault in self._faults else None
        return None

    def encode(self, parts: AnswerParts, framing: Framing) -> bytes:
        """Return the bytes of an answer; its headers come in any order."""
        headers = list(parts.headers.items())
        match framing:
            case Framing.LENGTH:
                headers.append(("Content-Length", str(len(parts.body))))
                body = parts.body
            case Framing.CHUNKS:
                headers.append(("Transfer-Encoding", "chunked"))
                body = self._encode_chunks(parts.body)
            case Framing.CONNECTION_END:
                headers.append(("Connection", "close"))
                body = parts.body
        self._rng.shuffle(headers)
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        return f"HTTP/1.1 {parts.status} Status\r\n{lines}\r\n".encode() + body

    def _encode_chunks(self, body: bytes) -> bytes:
        """Return a body in one or two chunks."""
        middle = self._rng.randrange(len(body) + 1)
        chunks = [chunk for chunk in (body[:middle], body[middle:]) if chunk]
        return b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"

    def make_garbage(self) -> bytes:
        """Return bytes that are no answer."""
        if self._rng.random() < 0.5:
            return self._rng.choice(_GARBAGE)
        return self._rng.randbytes(self._rng.randint(1, _MAX_GARBAGE_BYTES))

    def make_extra(self, fault: AnswerFault, parts: AnswerParts) -> bytes:
        """Return the bytes that are sent behind an answer."""
        if fault is AnswerFault.EXTRA_GARBAGE:
            return self.make_garbage()
        status = parts.status
        if self._rng.random() < _OTHER_STATUS_SHARE:
            status = self._rng.choice((200, 500, 503))
        framing = self._rng.choice((Framing.LENGTH, Framing.CHUNKS))
        answer = self.encode(AnswerParts(status, parts.headers, parts.body), framing)
        return answer[: self._find_cut(fault, answer)]

    def _find_cut(self, fault: AnswerFault, answer: bytes) -> int:
        """Return how many bytes of an extra answer are sent."""
        status_line_end = answer.index(b"\r\n") + 2
        head_end = answer.index(b"\r\n\r\n") + 4
        match fault:
            case AnswerFault.EXTRA_CUT_STATUS_LINE:
                return self._rng.randrange(1, status_line_end)
            case AnswerFault.EXTRA_CUT_HEADERS:
                return self._rng.randrange(status_line_end, head_end)
            case AnswerFault.EXTRA_CUT_BODY:
                return self._rng.randrange(head_end, len(answer))
            case _:
                return len(answer)

    def cut(self, answer: bytes) -> bytes:
        """Return an answer without its end."""
        return answer[: self._rng.randrange(1, len(answer))]
