"""Randomized soak: real processes on loopback, faults from outside, promises checked."""

from __future__ import annotations
