"""Fast parser for JSON with comments that does not record line numbers."""

from __future__ import annotations

import json
import re
from typing import Any

_STRING = r'"(?:\\.|[^"\\])*"'
_COMMENT = re.compile(_STRING + r"|//[^\n]*|/\*.*?\*/", re.DOTALL)
_TRAILING_COMMA = re.compile(_STRING + r"|,(?=\s*[}\]])")


def parse_without_line_numbers(text: str) -> Any | None:
    """Return the parsed value, or `None` on a syntax error or a duplicate key.

    The grammar that records lines is slow to load and only needed for error messages.
    """
    without_comments = _COMMENT.sub(_replace_with_space, text)
    try:
        return json.loads(
            _TRAILING_COMMA.sub(_replace_with_space, without_comments),
            object_pairs_hook=_unique_object,
        )
    except ValueError:
        return None


def _replace_with_space(match: re.Match[str]) -> str:
    """Return string literals unchanged and replace other matches with a space."""
    found = match.group()
    return found if found.startswith('"') else " "


def _unique_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object, rejecting duplicate keys."""
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError("duplicate key")
    return result
