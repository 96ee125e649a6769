"""Benchmarks of the product against upper bounds and a baseline configuration."""

from __future__ import annotations
