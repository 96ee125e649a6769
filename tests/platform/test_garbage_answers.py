"""Bytes of endpoints that are no answer, or a malformed one, around calls."""

from __future__ import annotations

import random

import pytest
from cut_cases import Kind, async_run_cases, describe
from cutting_endpoints import Case, Cut, Moment, case_ids
from platform_deployment import Deployment
from raw_answers import chunked_failure, event, failure

from lagoonwing_platform.const import HEADER_ATTEMPT_ID, HEADER_SIGNATURE

_STATUS_LINE = b"HTTP/1.1 200 OK"
_BODY = event(9, "late")
_LENGTH = b"Content-Length: %d" % len(_BODY)
_CHUNKED = b"Transfer-Encoding: chunked"
_NO_ANSWERS = {
    "line feed": b"\n",
    "line end": b"\r\n",
    "line ends": b"\r\n\r\n",
    "carriage return": b"\r",
    "zeros": b"\0" * 8,
    "status line": _STATUS_LINE,
    "ended status line": _STATUS_LINE + b"\r\n",
    "status line with a line feed": _STATUS_LINE + b"\n",
    "old status line": b"HTTP/1.0 200 OK\r\n",
    "status line without a reason": b"HTTP/1.1 200\r\n",
    "unknown version": b"HTTP/2.0 200 OK\r\n\r\n",
    "interim head": b"HTTP/1.1 100 Continue\r\n\r\n",
    "interim head with a field": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
    "many interim heads": b"HTTP/1.1 100 Continue\r\n\r\n" * 40,
    "cut interim head": b"HTTP/1.1 100 Continue\r\n",
    "change of protocol": b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "head without an id": _STATUS_LINE + b"\r\nContent-Length: 0\r\n\r\n",
    **{f"random {seed}": random.Random(seed).randbytes(64) for seed in range(4)},
}


def _named(attempt_id: str) -> bytes:
    """Return the line of an id."""
    return f"{HEADER_ATTEMPT_ID}: {attempt_id}".encode()


def _signed(stamp: str) -> bytes:
    """Return the line of a signature."""
    return f"{HEADER_SIGNATURE}: {stamp}".encode()


def _join(*lines: bytes, body: bytes = _BODY) -> bytes:
    """Return an answer with these lines after its status line."""
    return b"\r\n".join([_STATUS_LINE, *lines, b"", body])


def _malformed(earlier_id: str, due_id: str) -> dict[str, bytes]:
    """Return whole answers with a malformed head."""
    earlier, due, stamp = _named(earlier_id), _named(due_id), _signed("second")
    return {
        "ids of both": _join(earlier, due, stamp, _LENGTH),
        "ids of both, the due one first": _join(due, earlier, stamp, _LENGTH),
        "joined ids": _join(_named(f"{earlier_id}, {due_id}"), stamp, _LENGTH),
        "id twice": _join(due, due, stamp, _LENGTH),
        "signature twice": _join(due, stamp, _signed("third"), _LENGTH),
        "length twice": _join(due, stamp, _LENGTH, _LENGTH),
        "two lengths": _join(due, stamp, _LENGTH, b"Content-Length: 2"),
        "joined lengths": _join(due, stamp, b"Content-Length: %d, %d" % (len(_BODY), len(_BODY))),
        "two joined lengths": _join(due, stamp, b"Content-Length: %d,2" % len(_BODY)),
        "length and chunks": _join(due, stamp, _LENGTH, _CHUNKED, body=b"0\r\n\r\n"),
        "length with a sign": _join(due, stamp, b"Content-Length: +%d" % len(_BODY)),
        "negative length": _join(due, stamp, b"Content-Length: -%d" % len(_BODY)),
        "length in words": _join(due, stamp, b"Content-Length: eight"),
        "empty length": _join(due, stamp, b"Content-Length: "),
        "folded field": _join(earlier, stamp, b"X-Folded: a\r\n b", _LENGTH),
        "space before a colon": _join(earlier, stamp, b"X-Spaced : a", _LENGTH),
        "field without a colon": _join(earlier, stamp, b"X-Field", _LENGTH),
        "field without a name": _join(earlier, stamp, b": a", _LENGTH),
        "zero in a field": _join(earlier, stamp, b"X-Zero: a\0b", _LENGTH),
        "carriage return in a field": _join(earlier, stamp, b"X-Return: a\rb", _LENGTH),
        "line feeds only": _join(earlier, stamp, _LENGTH).replace(b"\r\n", b"\n"),
    }


def _malformed_due(due_id: str) -> dict[str, bytes]:
    """Return the due answer with a malformed head."""
    due = failure(due_id)
    size = len(due.body)
    length = f"Content-Length: {size}"
    stamp = f"{HEADER_SIGNATURE}: {due.stamp}"
    id_line = f"{HEADER_ATTEMPT_ID}: {due_id}"

    def change(old: str, new: str) -> bytes:
        return due.content.replace(old.encode(), new.encode(), 1)

    return {
        "own id twice": change(id_line, f"{id_line}\r\n{id_line}"),
        "own id joined": change(id_line, f"{id_line}, {due_id}"),
        "own signature twice": change(stamp, f"{stamp}\r\n{stamp}"),
        "own length twice": change(length, f"{length}\r\n{length}"),
        "shorter length too": change(length, f"{length}\r\nContent-Length: 3"),
        "shorter length first": change(length, f"Content-Length: 3\r\n{length}"),
        "joined lengths": change(length, f"{length},3"),
        "length with a sign": change(length, f"Content-Length: +{size}"),
        "length with a space": change(length, f"Content-Length: {size} 0"),
        "length and chunks": change(length, f"{length}\r\nTransfer-Encoding: chunked"),
        "unknown coding": change(length, f"{length}\r\nTransfer-Encoding: other"),
        "status line in the reason": change("Internal", "HTTP/1.1 200 OK Internal"),
        "status line in the signature": change(stamp, f"{stamp}HTTP/1.1 200 OK"),
        "status line behind the status line": change("Error\r\n", "Error\r\nHTTP/1.1 200 OK\r\n"),
        "folded signature": change(stamp, f"{stamp}\r\n more"),
        "space before the colon": change(stamp, f"{HEADER_SIGNATURE} : {due.stamp}"),
        "zero in the signature": change(stamp, f"{stamp}\0"),
        "carriage return in the signature": change(stamp, f"{stamp}\rmore"),
    }


def _cuts() -> list[Cut]:
    """Return all bytes that are no answer or a malformed one."""

    def constant(name: str) -> Cut:
        return Cut(name, lambda earlier_id, due_id: _NO_ANSWERS[name])

    def malformed(name: str) -> Cut:
        return Cut(name, lambda earlier_id, due_id: _malformed(earlier_id, due_id)[name])

    names = _malformed(*case_ids(0))
    return [*map(constant, _NO_ANSWERS), *map(malformed, names)]


# Guards against an answer that is read together with bytes of no answer.
@pytest.mark.parametrize(
    "moment",
    [Moment.BEHIND, Moment.IDLE, Moment.FRONT, Moment.FRONT_ALONE],
    ids=lambda moment: moment.value,
)
async def test_garbage_does_not_join_the_due_answer(deployment: Deployment, moment: Moment) -> None:
    """Bytes that are no answer change none, and what is malformed is not delivered."""
    cases = [Case(cut, moment) for cut in _cuts()]
    faults = await async_run_cases(deployment, cases)
    assert not faults, describe(faults, len(cases))


# Guards against a stream that is read together with bytes of no answer.
async def test_garbage_does_not_join_a_stream(deployment: Deployment) -> None:
    """Streams on kept connections are read as strictly as calls."""
    moments = (Moment.IDLE, Moment.FRONT)
    cases = [Case(cut, moment, is_stream=True) for moment in moments for cut in _cuts()]
    faults = await async_run_cases(deployment, cases, Kind.PLAIN_STREAM)
    assert not faults, describe(faults, len(cases))


# Guards against an answer that is completed with bytes of no answer.
async def test_garbage_within_chunks_completes_no_answer(deployment: Deployment) -> None:
    """Where a chunk is due, nothing else can stand."""
    moments = (Moment.WITHIN, Moment.WITHIN_ALONE)
    cases = [Case(cut, moment, chunked_failure) for moment in moments for cut in _cuts()]
    faults = await async_run_cases(deployment, cases)
    assert not faults, describe(faults, len(cases))


# Guards against an answer whose head was corrupted on the way.
async def test_malformed_head_of_the_due_answer_is_not_passed_on(deployment: Deployment) -> None:
    """The caller gets the due answer as it was meant, or a failure."""

    def malformed(name: str) -> Cut:
        return Cut(name, lambda earlier_id, due_id: _malformed_due(due_id)[name])

    cuts = [malformed(name) for name in _malformed_due(case_ids(0)[1])]
    cases = [Case(cut, Moment.INSTEAD) for cut in cuts]
    faults = await async_run_cases(deployment, cases)
    assert not faults, describe(faults, len(cases))
