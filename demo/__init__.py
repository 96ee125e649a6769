"""Demonstration of the whole path with real processes."""

from __future__ import annotations
