"""System benchmarks with real processes."""

from __future__ import annotations
