"""Opens the storage of a replica, at startup and after its disk was full."""

from __future__ import annotations

import asyncio

from lagoonwing_core.events import EventCode, log_event
from lagoonwing_replication._storage import Recovered, Storage
from lagoonwing_replication._writer import Writer
from lagoonwing_replication.const import STORAGE_RETRY_S
from lagoonwing_replication.errors import CorruptStorageError, StorageError
from lagoonwing_replication.settings import LogSettings


class Recovery:
    """Reads the persisted state in the disk thread."""

    def __init__(self, settings: LogSettings, storage: Storage, writer: Writer) -> None:
        self._settings = settings
        self._storage = storage
        self._writer = writer

    async def async_open(self) -> Recovered:
        """Recover the log.

        Raises:
            CorruptStorageError: Synced data is corrupt or missing; the folder must be emptied.
            StorageError: The folder can't be used.
        """
        try:
            return await self._writer.async_run(self._storage.open)
        except StorageError as error:
            self.log_failure(error)
            raise

    async def async_reopen(self) -> Recovered | None:
        """Recover as after a restart once the disk is writable again; None if it is corrupt."""
        while True:
            await asyncio.sleep(STORAGE_RETRY_S)
            try:
                recovered = await self._writer.async_run(self._storage.open)
                await self._writer.async_run(self._storage.probe)
            except CorruptStorageError as error:
                self.log_failure(error)
                return None
            except StorageError:
                continue
            return recovered

    def log_failure(self, error: StorageError) -> None:
        """Log that the storage can't be used."""
        log_event(EventCode.STORAGE_FAILED, folder=self._settings.folder.name, error=error)


def log_recovered(recovered: Recovered) -> None:
    """Log the recovered state."""
    state = recovered.state
    log_event(
        EventCode.LOG_RECOVERED,
        replica=recovered.identity.replica_id,
        cluster=recovered.identity.cluster_id,
        is_new=recovered.is_new,
        term=state.hard_state.term,
        snapshot=state.snapshot.index,
        entries=len(state.entries),
        torn_bytes=recovered.torn_bytes,
    )
