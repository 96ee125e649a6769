"""Randomized soak test: real processes on loopback, injected faults and checked guarantees."""

from __future__ import annotations
