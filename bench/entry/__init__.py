"""Cost of the relay through one entry host."""

from __future__ import annotations
