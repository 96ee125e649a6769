"""A periodic task continues after a failed run."""

from __future__ import annotations

import asyncio

import pytest

from lagoonwing_entry._periodic_task import PeriodicTask


@pytest.mark.looptime
async def test_failed_run_does_not_stop_later_runs() -> None:
    """Runs continue at the same interval after an error, until the task is stopped."""
    runs: list[float] = []

    async def async_once() -> None:
        runs.append(asyncio.get_running_loop().time())
        if len(runs) == 2:
            raise ValueError("one run fails")

    task = PeriodicTask("test", async_once, 1.0)
    task.start()
    await asyncio.sleep(4.5)
    task.stop()
    await asyncio.sleep(5.0)
    assert len(runs) == 4
