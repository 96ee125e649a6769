"""The four measures of the brief, with real processes."""

from __future__ import annotations
