"""Disk and network around the replicated log."""

from __future__ import annotations
