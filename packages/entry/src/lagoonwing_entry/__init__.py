"""Entry host between callers and endpoints."""

from __future__ import annotations
