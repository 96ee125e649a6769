"""Proofs for routing, limits, retries and recovery."""

from __future__ import annotations
