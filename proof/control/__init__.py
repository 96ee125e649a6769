"""Proofs for durable state, membership and configuration."""

from __future__ import annotations
