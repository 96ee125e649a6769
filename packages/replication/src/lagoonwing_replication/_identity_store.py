"""Identity of the disk and the cluster ID assigned to it."""

from __future__ import annotations

import asyncio

from lagoonwing_replication._records import DiskIdentity
from lagoonwing_replication._storage import Storage
from lagoonwing_replication._writer import Writer
from lagoonwing_replication.errors import StorageError


class IdentityStore:
    """Holds the disk's identity; its cluster ID is assigned once and never changes."""

    def __init__(self, storage: Storage, writer: Writer) -> None:
        self.identity: DiskIdentity | None = None
        self._storage = storage
        self._writer = writer
        self._lock = asyncio.Lock()

    @property
    def cluster_id(self) -> str:
        """ID of the log that the disk belongs to; empty if none is assigned."""
        return "" if self.identity is None else self.identity.cluster_id

    def require_identity(self) -> DiskIdentity:
        """Return the identity.

        Raises:
            StorageError: The identity has not been read yet.
        """
        if self.identity is None:
            raise StorageError("the disk identity has not been read yet")
        return self.identity

    async def async_set_cluster_id(self, cluster_id: str) -> None:
        """Assign the disk to a log, unless it already belongs to one."""
        async with self._lock:
            if self.cluster_id == "":
                self.identity = await self._writer.async_run(
                    self._storage.set_cluster_id, cluster_id
                )
