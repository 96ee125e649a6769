"""Parsed log lines."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from typing import Any


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a process log.

    Attributes:
        fields: Event-specific fields, without those common to all lines.
    """

    time: datetime
    host: str
    name: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Return the line as human-readable text."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        stamp = self.time.strftime("%H:%M:%S.%f")[:-3]
        return f"{stamp} {self.host} {self.name} {fields}"
