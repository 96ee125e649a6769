"""Process of a host."""

from __future__ import annotations
