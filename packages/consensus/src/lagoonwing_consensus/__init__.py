"""Replicated log without I/O."""

from __future__ import annotations
