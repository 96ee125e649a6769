"""Background tasks bound to the lifetime of a component."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event


async def async_repeat(
    component: str, interval_s: float, async_step: Callable[[], Awaitable[None]]
) -> None:
    """Run a step again and again, with a pause before each; a failed one is logged.

    Args:
        component: Component whose failure is logged.
        interval_s: Pause in seconds.
        async_step: The step.
    """
    while True:
        await asyncio.sleep(interval_s)
        try:
            await async_step()
        except Exception as error:
            log_event(EventCode.COMPONENT_FAILED, component=component, error=repr(error))


class TaskSet:
    """Background tasks of one component; task failures are logged."""

    def __init__(self, component: str) -> None:
        self._component = component
        self._tasks: set[asyncio.Task[None]] = set()

    @callback
    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def async_cancel(self) -> None:
        """Cancel all tasks and wait until they have ended.

        A task may be spawned while the others end, so this repeats until none is left.
        """
        while self._tasks:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    @callback
    def _on_done(self, task: asyncio.Task[None]) -> None:
        """Discard a finished task and log its exception, if any."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = repr(task.exception())
            log_event(EventCode.COMPONENT_FAILED, component=self._component, error=error)
