"""Demonstration of the system with real processes."""

from __future__ import annotations
