"""Faults of a settings file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault of a settings file.

    Attributes:
        file: Path as the operator gave it.
        line: Line from 1; 0 where the fault belongs to no line.
        key: Dotted path of the key, such as `entry.caller_port`.
        found: What stands there.
        allowed: What may stand there.
    """

    file: str
    line: int
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        key = self.key or "(file)"
        return f"{self.file}:{self.line}: {key}: found {self.found}; allowed: {self.allowed}"
