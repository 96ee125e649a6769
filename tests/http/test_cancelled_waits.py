"""A wait for a chunk that was cancelled leaves nothing behind for the next one."""

from __future__ import annotations

import asyncio
import time

import pytest

from lagoonwing_http import Exchange, ResponseMatch

TIMEOUT_S = 0.01
LATER_TIMEOUT_S = 5.0


# Guards against a wait that ends at once because an earlier one had timed out as it was cancelled.
async def test_wait_after_a_cancelled_one_gets_its_chunk() -> None:
    """The timeout and the cancellation fall into one turn of the event loop."""
    loop = asyncio.get_running_loop()
    exchange = Exchange(lambda _: ResponseMatch.OWN)
    wait = asyncio.ensure_future(exchange.async_read_chunk(TIMEOUT_S))
    await asyncio.sleep(0)
    loop.call_later(TIMEOUT_S, wait.cancel)
    loop.call_soon(time.sleep, 2 * TIMEOUT_S)
    with pytest.raises(asyncio.CancelledError):
        await wait
    later = asyncio.ensure_future(exchange.async_read_chunk(LATER_TIMEOUT_S))
    await asyncio.sleep(0)
    exchange.on_data(b"chunk")
    assert await later == b"chunk"
