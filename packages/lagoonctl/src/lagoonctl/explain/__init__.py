"""The story of one request, from the logs of all processes."""

from __future__ import annotations

from lagoonctl.explain._story import find_story
from lagoonctl.explain.models import LogLine

__all__ = ["LogLine", "find_story"]
