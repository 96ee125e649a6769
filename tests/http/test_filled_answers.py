"""An answer that was cut and filled up by another answer of its endpoint is not whole."""

from __future__ import annotations

import time

import pytest
from raw_endpoint import RawConnection, answer, async_connect, async_read

from lagoonwing_http import AnswerBrokenError, ArrivalMoment
from lagoonwing_http._embedded_answer import EmbeddedAnswerFinder

BODY_BYTES = 200
CUT_BYTES = 40
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: a-2\r\n"
READS = 4
READ_BYTES = 64 * 1024
MAX_READ_S = 0.05
EVENT = b"data: token\n\n"


def _head(request_id: str) -> bytes:
    """Return the head of an answer."""
    return answer(request_id, body=b"x" * BODY_BYTES)[:-BODY_BYTES]


async def _async_send_second(connection: RawConnection, data: bytes, step: int) -> bytes:
    """Send two requests; answer the second one with some bytes and return the body."""
    exchange = await connection.async_send("a-1")
    await connection.async_write(answer("a-1"))
    assert await async_read(exchange) == (200, b"done")
    exchange = await connection.async_send("a-2")
    for start in range(0, len(data), step):
        await connection.async_write(data[start : start + step])
    return (await async_read(exchange))[1]


# Guards against a body with the right length and the bytes of a second answer.
@pytest.mark.parametrize("request_id", ["a-1", "a-2"])
@pytest.mark.parametrize("step", [7, 1 << 16])
async def test_body_that_a_second_answer_fills_up_is_broken(request_id: str, step: int) -> None:
    """The answer counts as broken, whether the second one is its own or of an earlier request."""
    second = answer(request_id, body=b"y" * BODY_BYTES)
    data = (_head("a-2") + b"x" * CUT_BYTES + second)[: len(_head("a-2")) + BODY_BYTES]
    async with async_connect() as connection:
        with pytest.raises(AnswerBrokenError):
            await _async_send_second(connection, data, step)
        assert connection.client.closed
        assert connection.arrivals[-1].moment is ArrivalMoment.WITHIN


@pytest.mark.parametrize("missing", range(1, 13))
async def test_body_that_ends_within_the_next_status_line_is_broken(missing: int) -> None:
    """The first bytes of a second answer are no part of the one that they complete."""
    data = _head("a-2") + b"x" * (BODY_BYTES - missing) + answer("a-2")
    async with async_connect() as connection:
        with pytest.raises(AnswerBrokenError):
            await _async_send_second(connection, data, 1 << 16)


@pytest.mark.parametrize("step", [9, 1 << 16])
async def test_event_that_a_second_head_ends_is_not_passed_on(step: int) -> None:
    """A stream without framing that is cut within an event ends before the second head does."""
    data = STREAM_HEAD + b"\r\n" + EVENT + EVENT[:8] + STREAM_HEAD + b"\r\n" + EVENT
    async with async_connect() as connection:
        exchange = await connection.async_send("a-2")
        for start in range(0, len(data), step):
            await connection.async_write(data[start : start + step])
        received = b""
        with pytest.raises(AnswerBrokenError):
            while (chunk := await exchange.async_read_chunk(1.0)) is not None:
                received += chunk
        assert b"\r\n\r\n" not in received


@pytest.mark.parametrize(
    "body",
    [
        b"HTTP/1.1 200 OK\r\nX-Id: a-3\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Id: a-22\r\n\r\nX-Id: a-2\r\n",
        b"see HTTP/1.1 200 and a-2",
        b"X-Id: a-2\r\n\r\nHTTP/1.1 200 OK\r\n",
    ],
)
async def test_body_about_answers_is_whole(body: bytes) -> None:
    """A body that shows an answer to none of these requests is passed on."""
    async with async_connect() as connection:
        data = answer("a-2", body=body)
        assert await _async_send_second(connection, data, 1 << 16) == body
        assert connection.idle == [connection.client] * 2


@pytest.mark.parametrize("step", [1, 5, 1000])
def test_finder_is_independent_of_reads(step: int) -> None:
    """A head is found wherever reads cut it, and an incomplete id line is not taken for an id."""
    body = b"x" * 300 + b"HTTP/1.1 500 E\r\nX-Id: a-12\r\n"
    for request_id, is_found in (("a-12", True), ("a-1", False)):
        finder = EmbeddedAnswerFinder(frozenset({request_id}))
        parts = [body[start : start + step] for start in range(0, len(body), step)]
        assert any(finder.feed(part, b"") for part in parts) == is_found


# Guards against a body of status lines that keeps the event loop busy for seconds.
@pytest.mark.parametrize("line_end", [b"\r\n", b" "])
def test_time_of_the_finder_grows_with_the_body_only(line_end: bytes) -> None:
    """A body of nothing but status lines takes little processor time."""
    finder = EmbeddedAnswerFinder(frozenset({"a-1"}))
    started_at = time.process_time()
    for _ in range(READS):
        assert not finder.feed((b"HTTP/1.1 200 OK" + line_end) * (READ_BYTES // 16), b"")
    assert time.process_time() - started_at < READS * MAX_READ_S


def test_head_with_a_status_line_inside_is_found_by_the_lines_behind_it() -> None:
    """An id counts for each status line before it, not for those behind it."""
    line = b"HTTP/1.1 200 OK\r\n"
    id_line = b"X-Id: a-1\r\n"
    for body, is_found in (
        (line * 2000 + id_line, True),
        (line + b"\r\n\r\n" + id_line, False),
        (id_line + line * 3 + b"\r\n" + line + id_line, True),
        (line * 3 + b"\r\n" + id_line + line, False),
    ):
        finder = EmbeddedAnswerFinder(frozenset({"a-1"}))
        parts = [body[start : start + 1000] for start in range(0, len(body), 1000)]
        assert any(finder.feed(part, b"") for part in parts) == is_found
