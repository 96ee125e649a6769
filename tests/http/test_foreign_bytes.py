"""Bytes of another answer on a kept connection never become part of the due answer."""

from __future__ import annotations

import socket
import struct

import pytest
from raw_endpoint import TIMEOUT_S, answer, async_connect, async_read

from lagoonwing_http import AnswerBrokenError, ArrivalMoment, ConnectError, ForeignAnswerError
from lagoonwing_http.const import MAX_INTERIM_RESPONSES

SUCCESS = b"HTTP/1.1 200 S"


# Guards against a success that is made of the status line of one answer and the rest of another.
async def test_cut_status_line_of_a_second_answer_does_not_replace_the_due_one() -> None:
    """The caller of a request that failed never gets a success."""
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1")
        await connection.async_write(answer("a-1"))
        assert await async_read(exchange) == (200, b"done")
        await connection.async_write(SUCCESS)
        try:
            exchange = await connection.async_send("a-2")
            await connection.async_write(answer("a-2", 500))
            status, _ = await async_read(exchange)
        except (AnswerBrokenError, ConnectError):
            return
        assert status == 500


# Guards against an earlier answer whose missing end is filled by the due one.
async def test_earlier_answer_cut_in_its_body_swallows_no_due_answer() -> None:
    """The exchange fails once the due answer begins inside the earlier one."""
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1")
        await connection.async_write(answer("a-1"))
        assert await async_read(exchange) == (200, b"done")
        exchange = await connection.async_send("a-2")
        await connection.async_write(answer("a-1", body=b"x" * 500)[:-400] + answer("a-2", 500))
        with pytest.raises(ForeignAnswerError):
            await async_read(exchange)
        assert connection.client.closed


async def test_bytes_behind_a_whole_answer_close_the_connection() -> None:
    """The answer itself is delivered, and the connection is not used again."""
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1")
        await connection.async_write(answer("a-1") + b"H")
        assert await async_read(exchange) == (200, b"done")
        assert connection.client.closed
        assert connection.idle == []
        assert [arrival.moment for arrival in connection.arrivals] == [ArrivalMoment.BEHIND]


async def test_answer_behind_an_earlier_one_is_the_last_on_its_connection() -> None:
    """A whole earlier answer is read past, and no further request follows on the connection."""
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1")
        await connection.async_write(answer("a-1"))
        assert await async_read(exchange) == (200, b"done")
        exchange = await connection.async_send("a-2")
        await connection.async_write(answer("a-1") + answer("a-2", 500))
        assert await async_read(exchange) == (500, b"done")
        assert connection.client.closed
        assert [arrival.moment for arrival in connection.arrivals] == [ArrivalMoment.BEFORE]


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 4\r\nContent-Length: 4",
        b"Content-Length: 4, 4",
        b"Content-Length: 4\r\nTransfer-Encoding: chunked",
        b"X-Fill: HTTP/1.1 200 OK\r\nContent-Length: 4",
    ],
)
async def test_head_that_may_be_made_of_two_is_refused(framing: bytes) -> None:
    """A head with two lengths, or with another status line, is no answer."""
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1")
        await connection.async_write(
            b"HTTP/1.1 200 OK\r\nX-Id: a-1\r\n" + framing + b"\r\n\r\ndone"
        )
        with pytest.raises(AnswerBrokenError):
            await async_read(exchange)


async def test_interim_responses_are_bounded() -> None:
    """A few interim responses are skipped; without end, they fail the exchange."""
    interim = b"HTTP/1.1 103 Early Hints\r\nX-Hint: a\r\n\r\n"
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1")
        await connection.async_write(interim * MAX_INTERIM_RESPONSES + answer("a-1"))
        assert await async_read(exchange) == (200, b"done")
        exchange = await connection.async_send("a-2")
        await connection.async_write(interim * (MAX_INTERIM_RESPONSES + 1))
        with pytest.raises(AnswerBrokenError):
            await async_read(exchange)


@pytest.mark.parametrize(
    ("method", "head", "body", "is_kept"),
    [
        ("HEAD", b"HTTP/1.1 200 OK\r\nX-Id: a-1\r\nContent-Length: 4\r\n\r\n", b"", True),
        ("GET", b"HTTP/1.1 204 None\r\nX-Id: a-1\r\n\r\n", b"", True),
        ("GET", b"HTTP/1.1 304 Same\r\nX-Id: a-1\r\n\r\n", b"", True),
        ("GET", b"HTTP/1.1 200 OK\r\nX-Id: a-1\r\nContent-Length: 4\r\n\r\n", b"done", True),
        (
            "GET",
            b"HTTP/1.1 200 OK\r\nX-Id: a-1\r\nConnection: x, Close\r\nContent-Length: 4\r\n\r\n",
            b"done",
            False,
        ),
        ("GET", b"HTTP/1.0 200 OK\r\nX-Id: a-1\r\nContent-Length: 4\r\n\r\n", b"done", False),
    ],
)
async def test_end_of_an_answer_and_of_its_connection_follow_from_its_head(
    method: str, head: bytes, body: bytes, is_kept: bool
) -> None:
    """Answers without a body end with their head, and connections are kept as they say."""
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1", method)
        await connection.async_write(head + body)
        assert (await async_read(exchange))[1] == body
        assert connection.idle == [connection.client] * is_kept
        assert connection.client.closed != is_kept


@pytest.mark.parametrize("is_reset", [False, True])
async def test_answer_without_framing_is_whole_only_if_its_end_is_clean(is_reset: bool) -> None:
    """The end of the connection completes it; a reset is a failure."""
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1")
        await connection.async_write(b"HTTP/1.1 200 OK\r\nX-Id: a-1\r\n\r\n")
        connection.writer.write(b"done")
        if is_reset:
            raw_socket = connection.writer.get_extra_info("socket")
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            await connection.async_write(b"")
            connection.writer.transport.abort()
            with pytest.raises(AnswerBrokenError):
                await async_read(exchange)
            return
        connection.writer.close()
        assert await async_read(exchange) == (200, b"done")


async def test_parts_of_an_answer_are_passed_on_as_they_arrive() -> None:
    """A reader gets each chunk before the next one is written."""
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1")
        await connection.async_write(
            b"HTTP/1.1 200 OK\r\nX-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for content in (b"one", b"two"):
            await connection.async_write(b"%x\r\n%s\r\n" % (len(content), content))
            assert await exchange.async_read_chunk(TIMEOUT_S) == content
        await connection.async_write(b"0\r\n\r\n")
        assert await exchange.async_read_chunk(TIMEOUT_S) is None
        assert connection.idle == [connection.client]
