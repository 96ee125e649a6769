"""Quarantine of requests that crash endpoints."""

from __future__ import annotations

from lagoonwing_policy.quarantine._system import QuarantineSystem

__all__ = ["QuarantineSystem"]
