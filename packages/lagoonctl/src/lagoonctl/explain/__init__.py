"""Timeline of one request, collected from the logs of all processes."""

from __future__ import annotations

from lagoonctl.explain._timeline import build_timeline
from lagoonctl.explain.models import LogLine

__all__ = ["LogLine", "build_timeline"]
