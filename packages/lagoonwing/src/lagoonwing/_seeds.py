"""Seeds of a running process; the settings file may name others meanwhile."""

from __future__ import annotations

import os

from expression import Result

from lagoonwing._addresses import seed_addresses
from lagoonwing_catalog.messages import ReplicaAddress
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.settings import HostSettings, load_settings

_FileStamp = tuple[int, int, int]


class SeedReader:
    """Returns the seeds of a settings file, which is read again whenever it has changed."""

    def __init__(self, file: str, settings: HostSettings) -> None:
        """Create the reader.

        Args:
            file: Path of the settings file.
            settings: The settings that were read from it at startup.
        """
        self._file = file
        self._seeds = seed_addresses(settings)
        self._stamp = self._file_stamp()

    def read(self) -> tuple[ReplicaAddress, ...]:
        """Return the seeds; those read last if the file is not valid now."""
        stamp = self._file_stamp()
        if stamp is None or stamp == self._stamp:
            return self._seeds
        self._stamp = stamp
        match load_settings(self._file):
            case Result(tag="ok", ok=settings):
                self._seeds = seed_addresses(settings)
                effect = "seeds now, all else at the next start"
            case _:
                effect = "none, the file is not valid"
        log_event(EventCode.SETTINGS_RELOADED, effect=effect)
        return self._seeds

    def _file_stamp(self) -> _FileStamp | None:
        """Return what changes with the content of the file; None if it can't be found."""
        try:
            status = os.stat(self._file)
        except OSError:
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns
