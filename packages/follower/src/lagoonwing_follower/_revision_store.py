"""Last revision served from, kept in the data folder."""

from __future__ import annotations

import os
from pathlib import Path

from lagoonwing_core.ids import Revision
from lagoonwing_follower.const import REVISION_FILE


class RevisionStore:
    """Keeps one number that never goes back; without a folder it keeps nothing."""

    def __init__(self, folder: Path | None) -> None:
        self._path = None if folder is None else folder / REVISION_FILE

    def load(self) -> Revision:
        """Return the revision kept, or 0.

        Raises:
            ValueError: The file holds something else.
        """
        if self._path is None or not self._path.exists():
            return Revision(0)
        return Revision(int(self._path.read_text(encoding="ascii")))

    def store(self, revision: Revision) -> None:
        """Replace the revision kept; returns once it lasts."""
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
