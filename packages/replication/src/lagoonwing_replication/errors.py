"""Errors of the log's storage."""

from __future__ import annotations


class StorageError(Exception):
    """The storage can't be used.

    Attributes:
        is_full: Whether the disk or quota is full, so that a retry may succeed.
    """

    def __init__(self, detail: str, *, is_full: bool = False) -> None:
        super().__init__(detail)
        self.is_full = is_full


class CorruptStorageError(StorageError):
    """Synced data is corrupt or missing; the replica must not participate."""
