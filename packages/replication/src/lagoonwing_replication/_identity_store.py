"""The identity of the disk, and the log that it is bound to."""

from __future__ import annotations

import asyncio

from lagoonwing_replication._records import DiskIdentity
from lagoonwing_replication._storage import Storage
from lagoonwing_replication._writer import Writer
from lagoonwing_replication.errors import StorageError


class IdentityStore:
    """Keeps the disk's identity; a disk is bound to one log for good."""

    def __init__(self, storage: Storage, writer: Writer) -> None:
        self.identity: DiskIdentity | None = None
        self._storage = storage
        self._writer = writer
        self._lock = asyncio.Lock()

    @property
    def cluster_id(self) -> str:
        """Log that the disk is bound to; empty if it is bound to none."""
        return "" if self.identity is None else self.identity.cluster_id

    def require_identity(self) -> DiskIdentity:
        """Return the identity.

        Raises:
            StorageError: It has not been read yet.
        """
        if self.identity is None:
            raise StorageError("the disk is not ready")
        return self.identity

    async def async_set_cluster_id(self, cluster_id: str) -> None:
        """Bind the disk to a log, unless it is bound to one."""
        async with self._lock:
            if self.cluster_id == "":
                self.identity = await self._writer.async_run(
                    self._storage.set_cluster_id, cluster_id
                )
