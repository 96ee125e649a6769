"""Failure tests of guarantees: real processes, recorded histories and checked results."""

from __future__ import annotations
