"""Points at which a test may end the process."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class FaultPoint(Enum):
    """Place in a claimed call between two durable steps."""

    BEFORE_CLAIM = "before_claim"
    AFTER_CLAIM = "after_claim"
    BEFORE_STORE = "before_store"
    AFTER_STORE = "after_store"


class FaultHook(Protocol):
    """Called as a claimed call passes each point."""

    def reach(self, point: FaultPoint) -> None:
        """Take note, or end the process."""


class NoFaults:
    """Hook that does nothing."""

    def reach(self, point: FaultPoint) -> None:
        """Do nothing."""
