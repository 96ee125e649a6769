"""Proofs for replicated state, membership and configuration."""

from __future__ import annotations
