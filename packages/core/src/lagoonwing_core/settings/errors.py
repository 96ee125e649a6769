"""Validation errors of settings files."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsError:
    """A validation error in a settings file.

    Attributes:
        file: Path as given by the operator.
        line: Line number starting at 1; 0 if the error has no line.
        key: Dotted path of the key, such as `entry.caller_port`.
        found: Value found.
        allowed: Description of accepted values.
    """

    file: str
    line: int
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        key = self.key or "(file)"
        return f"{self.file}:{self.line}: {key}: found {self.found}; allowed: {self.allowed}"
