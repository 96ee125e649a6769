"""Quick reading of JSON with comments where no line numbers are needed."""

from __future__ import annotations

import json
import re
from typing import Any

_STRING = r'"(?:\\.|[^"\\])*"'
_COMMENT = re.compile(_STRING + r"|//[^\n]*|/\*.*?\*/", re.DOTALL)
_LAST_COMMA = re.compile(_STRING + r"|,(?=\s*[}\]])")


def read_plain(text: str) -> Any | None:
    """Return the value of a file without syntax faults and double keys, else nothing.

    A grammar that keeps lines takes long to load; only faults need it.
    """
    without_comments = _COMMENT.sub(_keep_string, text)
    try:
        return json.loads(
            _LAST_COMMA.sub(_keep_string, without_comments), object_pairs_hook=_object
        )
    except ValueError:
        return None


def _keep_string(match: re.Match[str]) -> str:
    """Return strings as they are, and a space for everything else."""
    found = match.group()
    return found if found.startswith('"') else " "


def _object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object whose keys differ."""
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError("a key stands twice")
    return result
