"""Bytes of endpoints that no request asked for are reported."""

from __future__ import annotations

import pytest
from raw_endpoint import answer, async_connect, async_read

from lagoonwing_http import AnswerBrokenError, ArrivalMoment
from lagoonwing_http._unrequested_bytes import escape_bytes
from lagoonwing_http.const import LOGGED_BYTES

CUT_ANSWER = answer("a-1")[:7]


async def test_cut_second_answer_is_reported_while_idle() -> None:
    """Bytes that arrive while no request waits are reported with their count and first bytes."""
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1")
        await connection.async_write(answer("a-1"))
        assert await async_read(exchange) == (200, b"done")
        assert connection.arrivals == []
        await connection.async_write(CUT_ANSWER)
        (arrival,) = connection.arrivals
        assert arrival.moment is ArrivalMoment.IDLE
        assert (arrival.count, arrival.first) == (len(CUT_ANSWER), CUT_ANSWER)
        assert arrival.request_id is None


async def test_cut_second_answer_in_front_of_the_due_one_is_reported() -> None:
    """The report names the request that waits for the answer behind such bytes."""
    async with async_connect() as connection:
        exchange = await connection.async_send("a-1")
        await connection.async_write(answer("a-1"))
        assert await async_read(exchange) == (200, b"done")
        exchange = await connection.async_send("a-2")
        await connection.async_write(CUT_ANSWER + answer("a-2", 500))
        (arrival,) = connection.arrivals
        assert arrival.moment in (ArrivalMoment.BEFORE, ArrivalMoment.WITHIN)
        assert arrival.first.startswith(CUT_ANSWER)
        assert arrival.request_id == "a-2"
        with pytest.raises(AnswerBrokenError):
            await async_read(exchange)


def test_reported_bytes_are_short_and_printable() -> None:
    """A log line can't be broken, nor made long, by the bytes that it shows."""
    assert escape_bytes(b"a\r\n\x00\xff") == r"a\r\n\x00\xff"
    assert len(escape_bytes(b"x" * 1000)) == LOGGED_BYTES
