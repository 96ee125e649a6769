"""Parsed settings file with the line of each key."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from lagoonwing_core.settings.errors import SettingsError

KeyPath = tuple[str | int, ...]


@dataclass(slots=True)
class ParsedSettings:
    """Parsed values of a settings file and their line numbers.

    Attributes:
        value: Value of the whole file.
        line_by_path: Line number, starting at 1, of each key path.
        errors: Errors for duplicate keys within an object.
    """

    file: str
    value: Any = None
    line_by_path: dict[KeyPath, int] = field(default_factory=dict)
    errors: list[SettingsError] = field(default_factory=list)


def dotted_path(path: KeyPath) -> str:
    """Return a key path as text, such as `replicas[0].port`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text
