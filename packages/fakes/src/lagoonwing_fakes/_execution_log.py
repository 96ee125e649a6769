"""Log of what was actually executed, written before the response is sent."""

from __future__ import annotations

import time
from typing import Any, TextIO

import msgspec


class ExecutionLog:
    """Appends JSON lines to a line-buffered file."""

    def __init__(self, path: str, endpoint_id: str, incarnation: int) -> None:
        self._file: TextIO | None = open(path, "a", buffering=1) if path else None  # noqa: SIM115
        self._common = {"endpoint": endpoint_id, "incarnation": incarnation}

    def write(self, event: str, **fields: Any) -> None:
        """Write one event; line buffering passes it to the operating system at once."""
        if self._file is None:
            return
        line = {"event": event, "at": time.time(), **self._common, **fields}
        self._file.write(msgspec.json.encode(line).decode() + "\n")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None
