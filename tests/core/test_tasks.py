"""Background tasks of a component end with the component."""

from __future__ import annotations

import asyncio

from lagoonwing_core.tasks import TaskSet


async def test_tasks_spawned_during_cancellation_are_cancelled_too() -> None:
    """A task that starts while the others are being cancelled does not outlive the component."""
    tasks = TaskSet("test")
    ended: list[str] = []

    async def async_run(name: str, successor: str | None) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(name)
            if successor is not None:
                tasks.spawn(async_run(successor, None))
                await asyncio.sleep(0)

    tasks.spawn(async_run("first", "second"))
    await asyncio.sleep(0)
    await tasks.async_cancel()
    assert ended == ["first", "second"]
