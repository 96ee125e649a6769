"""Writes outputs to disk outside the event loop, with one sync per batch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from lagoonwing_consensus import Output
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import LogIndex
from lagoonwing_replication._files import is_full_error
from lagoonwing_replication._storage import Storage
from lagoonwing_replication.errors import StorageError

ResultT = TypeVar("ResultT")


class Writer:
    """Queues outputs and writes them to disk in batches.

    Attributes:
        sync_count: Number of batches synced so far.
    """

    def __init__(
        self,
        storage: Storage,
        on_synced: Callable[[Sequence[Output]], None],
        on_failed: Callable[[StorageError], None],
        commit: Callable[[], LogIndex],
    ) -> None:
        self._storage = storage
        self._on_synced = on_synced
        self._on_failed = on_failed
        self._commit = commit
        # A single thread keeps disk operations in order.
        self._executor = ThreadPoolExecutor(1, "log-disk")
        self._queue: list[Output] = []
        self._task: asyncio.Task[None] | None = None
        self.sync_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether every output is on disk."""
        return self._task is None

    async def async_run(self, function: Callable[..., ResultT], *arguments: object) -> ResultT:
        """Run a storage method in the disk thread.

        Raises:
            StorageError: The disk is full, failing or corrupt.
        """
        loop = asyncio.get_running_loop()
        try:
            return await loop.run_in_executor(self._executor, function, *arguments)
        except OSError as error:
            raise StorageError(str(error), is_full=is_full_error(error)) from error

    @callback
    def enqueue(self, output: Output) -> None:
        """Queue an output for writing."""
        self._queue.append(output)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._async_drain())

    @callback
    def discard(self) -> None:
        """Drop queued outputs that are not being written yet."""
        self._queue.clear()

    async def async_unload(self) -> None:
        """Wait for the current write, then close the storage."""
        self._queue.clear()
        if self._task is not None:
            await asyncio.wait({self._task})
        await self.async_run(self._storage.close)
        self._executor.shutdown(wait=False)

    async def _async_drain(self) -> None:
        """Write batches until the queue is empty."""
        try:
            while self._queue:
                batch, self._queue = self._queue, []
                if not await self._async_write(batch):
                    return
        finally:
            self._task = None

    async def _async_write(self, batch: list[Output]) -> bool:
        """Write a batch and return whether it succeeded."""
        durable = [output for output in batch if output.needs_sync]
        try:
            if durable:
                await self.async_run(self._storage.append, durable, self._commit())
        except StorageError as error:
            self._queue.clear()
            self._on_failed(error)
            return False
        self.sync_count += bool(durable)
        self._on_synced(batch)
        return True
