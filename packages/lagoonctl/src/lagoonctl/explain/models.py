"""Log lines as the explanation reads them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from typing import Any


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a process's log.

    Attributes:
        fields: Fields of the event, without those that every line has.
    """

    time: datetime
    host: str
    name: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Return the line for people."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        stamp = self.time.strftime("%H:%M:%S.%f")[:-3]
        return f"{stamp} {self.host} {self.name} {fields}"
