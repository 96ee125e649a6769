"""Background task that repeats after a fixed pause and continues after errors."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lagoonwing_core.events import EventCode, log_event


class PeriodicTask:
    """Runs a coroutine function periodically."""

    def __init__(
        self, name: str, async_once: Callable[[], Awaitable[None]], period_s: float
    ) -> None:
        """Initialize the task without starting it.

        Args:
            name: Component name in log events.
            async_once: Coroutine function to run.
            period_s: Pause between two runs, in seconds.
        """
        self._name = name
        self._async_once = async_once
        self._period_s = period_s
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start; the first run follows after one period."""
        self._task = asyncio.get_running_loop().create_task(self._async_run())

    def stop(self) -> None:
        """Cancel the task."""
        if self._task is not None:
            self._task.cancel()

    async def _async_run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(self._period_s)
            try:
                await self._async_once()
            except Exception as error:
                # An error in one run must not stop later runs.
                log_event(EventCode.COMPONENT_FAILED, component=self._name, error=repr(error))
