"""Tables of docs/CAPACITY.md, worked out from measured slopes."""

from __future__ import annotations
