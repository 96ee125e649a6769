"""Bytes of another answer on a kept connection never become part of the due answer."""

from __future__ import annotations

from raw_endpoint import answer, async_connect, async_read

from lagoonwing_http import AnswerBrokenError, ConnectError

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
