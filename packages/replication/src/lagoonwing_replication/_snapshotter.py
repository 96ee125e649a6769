"""Takes snapshots when the log has grown enough."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from lagoonwing_consensus import ReplicaCore, Snapshot
from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_replication._applier import Applier
from lagoonwing_replication._storage import Storage
from lagoonwing_replication._writer import Writer
from lagoonwing_replication.const import SNAPSHOT_LOG_BYTES
from lagoonwing_replication.errors import StorageError
from lagoonwing_replication.settings import LogSettings


class Snapshotter:
    """Writes snapshots outside the event loop, one at a time."""

    def __init__(
        self,
        settings: LogSettings,
        storage: Storage,
        writer: Writer,
        applier: Applier,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._settings = settings
        self._storage = storage
        self._writer = writer
        self._applier = applier
        self._spawn = spawn
        self._is_busy = False

    @callback
    def take_if_due(self, core: ReplicaCore) -> None:
        """Start a snapshot if enough has been applied since the last one."""
        applied = self._applier.applied
        if self._is_busy or applied > core.commit:
            return
        is_long = applied - core.snapshot_index >= self._settings.snapshot_entries
        if not is_long and self._applier.bytes_since_snapshot < SNAPSHOT_LOG_BYTES:
            return
        self._is_busy = True
        snapshot = core.make_snapshot(applied, self._applier.encode_state())
        self._spawn(self._async_save(core, snapshot))

    async def _async_save(self, core: ReplicaCore, snapshot: Snapshot) -> None:
        """Write a snapshot and compact the log."""
        try:
            await self._writer.async_run(self._storage.save_snapshot, snapshot)
        except StorageError as error:
            # The log is still complete, so the replica keeps running.
            log_event(EventCode.STORAGE_FAILED, snapshot=snapshot.index, error=error)
            return
        finally:
            self._is_busy = False
        log_event(EventCode.SNAPSHOT_TAKEN, index=snapshot.index, state_bytes=len(snapshot.state))
        core.compact(snapshot, self._settings.keep_entries)
