"""Proofs under failure: real processes, recorded histories, checked promises."""

from __future__ import annotations
