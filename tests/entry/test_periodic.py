"""Repeated work goes on after a round that failed."""

from __future__ import annotations

import asyncio

import pytest

from lagoonwing_entry._periodic_task import PeriodicTask


@pytest.mark.looptime
async def test_a_failed_round_does_not_end_the_next_ones() -> None:
    """Rounds come at their pace until they are stopped."""
    rounds: list[float] = []

    async def async_once() -> None:
        rounds.append(asyncio.get_running_loop().time())
        if len(rounds) == 2:
            raise ValueError("one round fails")

    work = PeriodicTask("test", async_once, 1.0)
    work.start()
    await asyncio.sleep(4.5)
    work.stop()
    await asyncio.sleep(5.0)
    assert len(rounds) == 4
