"""A settings file after it was read, with the line of each key."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from lagoonwing_core.settings.errors import SettingsFault

KeyPath = tuple[str | int, ...]


@dataclass(slots=True)
class ParsedSettings:
    """Values of a settings file with the line of each.

    Attributes:
        value: Plain value of the whole file.
        line_by_path: Line, from 1, of each key path.
        faults: Keys that stand twice in one object.
    """

    file: str
    value: Any = None
    line_by_path: dict[KeyPath, int] = field(default_factory=dict)
    faults: list[SettingsFault] = field(default_factory=list)


def dotted_path(path: KeyPath) -> str:
    """Return a key path as text, such as `replicas[0].port`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text
