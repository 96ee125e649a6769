"""Current copy of the durable state held by each entry host."""

from __future__ import annotations
