"""The endpoints with faulty answers of the soak, and how their callers read answers."""

from __future__ import annotations

import random

import pytest

from soak.faulty_answers import AnswerFault, AnswerFaults, AnswerParts, Framing
from soak.faulty_callers import NoAnswerError, parse_answer

PARTS = AnswerParts(200, {"X-Lagoonwing-Attempt-Id": "f-1"}, b"done f-1 200 ....")
FRAMED = (Framing.LENGTH, Framing.CHUNKS)


def make_faults(seed: int = 1) -> AnswerFaults:
    """Return the faults of all kinds."""
    return AnswerFaults(random.Random(seed), tuple(AnswerFault))


@pytest.mark.parametrize("framing", tuple(Framing))
def test_whole_answer_is_read(framing: Framing) -> None:
    """Status, headers and body of a whole answer are returned."""
    answer = parse_answer(make_faults().encode(PARTS, framing))
    assert answer is not None
    assert (answer.status, answer.body) == (200, PARTS.body)
    assert answer.headers["x-lagoonwing-attempt-id"] == "f-1"


@pytest.mark.parametrize("framing", FRAMED)
def test_answer_cut_at_any_byte_is_not_complete(framing: Framing) -> None:
    """No prefix of an answer with a framing is read as complete."""
    data = make_faults().encode(PARTS, framing)
    assert [end for end in range(len(data)) if parse_answer(data[:end]) is not None] == []


@pytest.mark.parametrize("framing", FRAMED)
@pytest.mark.parametrize("extra", [b"\r\n", b"x", b"HTTP/1.1 200 Status\r\n"])
def test_bytes_behind_an_answer_are_reported(framing: Framing, extra: bytes) -> None:
    """Bytes behind a whole answer are no answer."""
    with pytest.raises(NoAnswerError):
        parse_answer(make_faults().encode(PARTS, framing) + extra)


@pytest.mark.parametrize(
    "data",
    [
        b"oops",
        b"HTTP/1.1 2x0 Status\r\n\r\n",
        b"HTTP/1.1 200 Status\r\nHTTP/1.1 500 Status\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Lagoonwing-Attempt-Id: f\r\nX-Lagoonwing-Attempt-Id: f-1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nHTTP\r\n",
    ],
)
def test_bytes_that_are_no_answer_are_reported(data: bytes) -> None:
    """Other bytes, a status line within a head and doubled headers are no answer."""
    with pytest.raises(NoAnswerError):
        parse_answer(data)


@pytest.mark.parametrize("seed", range(50))
def test_extra_answers_are_cut_where_their_fault_says(seed: int) -> None:
    """An extra answer ends in its status line, its headers or its body, or is whole."""
    faults = make_faults(seed)
    line = faults.make_extra(AnswerFault.EXTRA_CUT_STATUS_LINE, PARTS)
    headers = faults.make_extra(AnswerFault.EXTRA_CUT_HEADERS, PARTS)
    body = faults.make_extra(AnswerFault.EXTRA_CUT_BODY, PARTS)
    assert line and b"\r\n" not in line
    assert b"\r\n" in headers and b"\r\n\r\n" not in headers
    assert b"\r\n\r\n" in body and parse_answer(body) is None
    assert parse_answer(faults.make_extra(AnswerFault.EXTRA_WHOLE, PARTS)) is not None
