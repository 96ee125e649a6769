"""Errors of the log's disk."""

from __future__ import annotations


class StorageError(Exception):
    """The disk can't be used as it is.

    Attributes:
        is_full: Whether the disk or quota is full, so that a later try may work.
    """

    def __init__(self, detail: str, *, is_full: bool = False) -> None:
        super().__init__(detail)
        self.is_full = is_full


class CorruptStorageError(StorageError):
    """Something that was synced is damaged or gone; the replica must not take part."""
