"""Work that is repeated at a steady pace, whatever happens to one round of it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lagoonwing_core.events import EventCode, log_event


class Periodic:
    """Runs a coroutine function again and again."""

    def __init__(
        self, name: str, async_once: Callable[[], Awaitable[None]], period_s: float
    ) -> None:
        """Prepare the work.

        Args:
            name: Name for the log.
            async_once: One round.
            period_s: Pause between two rounds, in seconds.
        """
        self._name = name
        self._async_once = async_once
        self._period_s = period_s
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start with a pause."""
        self._task = asyncio.get_running_loop().create_task(self._async_run())

    def stop(self) -> None:
        """Stop at once."""
        if self._task is not None:
            self._task.cancel()

    async def _async_run(self) -> None:
        """Run for ever."""
        while True:
            await asyncio.sleep(self._period_s)
            try:
                await self._async_once()
            except Exception as error:
                # One failed round must not end all later ones.
                log_event(EventCode.COMPONENT_FAILED, component=self._name, error=repr(error))
