"""Routing, limits, fairness and retries without I/O."""

from __future__ import annotations
