"""Persistent store of the highest applied revision."""

from __future__ import annotations

import os
from pathlib import Path

from lagoonwing_core.ids import Revision
from lagoonwing_follower.const import REVISION_FILE


class RevisionStore:
    """Stores the highest applied revision; without a folder nothing is stored."""

    def __init__(self, folder: Path | None) -> None:
        self._path = None if folder is None else folder / REVISION_FILE

    def load(self) -> Revision:
        """Return the stored revision, or 0 if there is none.

        Raises:
            ValueError: If the file does not contain a number.
        """
        if self._path is None or not self._path.exists():
            return Revision(0)
        return Revision(int(self._path.read_text(encoding="ascii")))

    def store(self, revision: Revision) -> None:
        """Replace the stored revision atomically; returns once it is durable."""
        if self._path is None:
            return
        self._path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix(".new")
        with temporary.open("w", encoding="ascii") as file:
            file.write(str(revision))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
