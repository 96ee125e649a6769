"""What the registry needs from the outside."""

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
    """What an engine tells of itself.

    Attributes:
        layers: Layers that it holds, if any.
        is_busy: Whether an order is under way.
        order_count: Orders that it has begun since its start.
    """

    layers: LayerRange | None
    is_busy: bool
    order_count: int


class OrderOutcome(Enum):
    """How an engine took an order."""

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"


class EnginePort(Protocol):
    """Calls to engines."""

    async def async_report(self, record: EndpointRecord) -> Result[EngineReport, Refusal]:
        """Return what an engine tells of itself."""

    async def async_place(
        self, record: EndpointRecord, layers: LayerRange, order_count: int, term: Term
    ) -> Result[OrderOutcome, Refusal]:
        """Order an engine to hold layers.

        Args:
            record: Engine.
            layers: Layers to hold from now on.
            order_count: Orders that it must have begun so far; otherwise it refuses.
            term: Leader's term; engines that fence refuse a lower one.
        """
