"""Notification of changes of the log."""

from __future__ import annotations

import asyncio

from lagoonwing_core.callback import callback


class ChangeSignal:
    """Repeatable event that wakes all current waiters."""

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future[None]] = set()

    @callback
    def notify(self) -> None:
        """Wake all current waiters."""
        if not self._waiters:
            return
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def async_wait(self, deadline: float) -> bool:
        """Wait for the next change.

        Args:
            deadline: Latest time to wait until, on the event loop clock.

        Returns:
            Whether there was a change before the deadline.
        """
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self._waiters.add(waiter)
        try:
            await asyncio.wait_for(waiter, deadline - loop.time())
        except TimeoutError:
            return False
        finally:
            self._waiters.discard(waiter)
        return True
