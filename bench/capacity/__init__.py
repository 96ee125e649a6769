"""Generator of the tables in docs/CAPACITY.md from measured slopes."""

from __future__ import annotations
