"""Proofs of the durable state, membership and configuration."""

from __future__ import annotations
