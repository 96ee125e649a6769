"""Turns of connections that read at full speed."""

from __future__ import annotations

import asyncio

from lagoonwing_http._read_turns import ReadTurns

ENDLESS_CONNECTIONS = 40
LARGE_READS = 96
LARGE_READ_BYTES = 64 * 1024
SMALL_READ_BYTES = 1_000


def _request(turns: ReadTurns) -> asyncio.Future[None]:
    """Return a turn of a connection that reads at full speed."""
    turn = turns.request("endless", LARGE_READ_BYTES)
    assert turn is not None
    return turn


# Guards against a large answer that gets one read in forty beside forty endless ones.
async def test_sources_share_turns_evenly() -> None:
    """A single connection of one service reads as often as all of another service together."""
    turns = ReadTurns()
    reads = {"endless": 0, "large": 0}

    async def async_read(source: str, count: int | None) -> None:
        while count is None or reads[source] < count:
            turn = turns.request(source, LARGE_READ_BYTES)
            assert turn is not None
            await turn
            reads[source] += 1

    endless = [
        asyncio.ensure_future(async_read("endless", None)) for _ in range(ENDLESS_CONNECTIONS)
    ]
    await async_read("large", LARGE_READS)
    for reader in endless:
        reader.cancel()
    # A reader needs an iteration to ask again, in which another source may get a turn more.
    assert reads["endless"] <= 2 * LARGE_READS + 1


# Guards against an event loop that does nothing else while many connections read.
async def test_one_connection_reads_in_each_iteration() -> None:
    """Other tasks run between the reads."""
    turns = ReadTurns()
    waiting = [_request(turns) for _ in range(10)]
    done: list[int] = []
    while not all(turn.done() for turn in waiting):
        await asyncio.sleep(0)
        done.append(sum(turn.done() for turn in waiting))
    assert done == list(range(1, 11))


# Guards against turns that are lost with the connection that had asked for them.
async def test_cancelled_turns_are_skipped() -> None:
    """The next connection gets its turn at once."""
    turns = ReadTurns()
    cancelled = [_request(turns) for _ in range(10)]
    for turn in cancelled:
        turn.cancel()
    waiting = _request(turns)
    await asyncio.sleep(0)
    assert waiting.done()


# Guards against streams at the speed of a model that wait behind large answers.
async def test_small_reads_need_no_turn() -> None:
    """Also while connections at full speed wait."""
    turns = ReadTurns()
    waiting = _request(turns)
    assert turns.request("stream", SMALL_READ_BYTES) is None
    await waiting
