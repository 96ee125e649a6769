"""Interfaces that the registry requires."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from expression import Result

from lagoonwing_catalog.models import EndpointRecord, LayerRange
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import Term


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State reported by an engine.

    Attributes:
        layers: Layers it holds, if any.
        is_busy: Whether it is executing an order.
        order_count: Number of orders it has started since its start.
    """

    layers: LayerRange | None
    is_busy: bool
    order_count: int


class OrderOutcome(Enum):
    """Response of an engine to an order."""

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"


class EnginePort(Protocol):
    """Calls to engines."""

    async def async_report(self, record: EndpointRecord) -> Result[EngineReport, Refusal]:
        """Return the state reported by an engine."""

    async def async_place(
        self, record: EndpointRecord, layers: LayerRange, order_count: int, term: Term
    ) -> Result[OrderOutcome, Refusal]:
        """Order an engine to hold layers.

        Args:
            record: Record of the engine.
            layers: Layers to hold.
            order_count: Number of orders the engine must have started so far; it refuses otherwise.
            term: Term of the leader; engines that support fencing refuse a lower one.
        """
