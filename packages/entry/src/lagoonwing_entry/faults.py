"""Fault injection points at which a test may kill the process."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class FaultPoint(Enum):
    """Point between two durable steps of a service call with an idempotency claim."""

    BEFORE_CLAIM = "before_claim"
    AFTER_CLAIM = "after_claim"
    BEFORE_STORE = "before_store"
    AFTER_STORE = "after_store"


class FaultHook(Protocol):
    """Receives each fault point that a call with a claim passes."""

    def on_fault_point(self, point: FaultPoint) -> None:
        """Handle a fault point; a test hook may kill the process here."""


class NoFaultHook:
    """Hook that injects no faults."""

    def on_fault_point(self, point: FaultPoint) -> None:
        """Ignore the fault point."""
