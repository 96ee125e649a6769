"""Figures of the measures."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field
from enum import Enum


class Better(Enum):
    """Which way a figure should go."""

    HIGHER = ">="
    LOWER = "<="


@dataclass(frozen=True, slots=True)
class FigureKey:
    """One row of the table.

    Attributes:
        target: Bound from the stated targets.
    """

    measure: str
    figure: str
    unit: str
    better: Better
    target: float


@dataclass(slots=True)
class FigureRow:
    """Values of one figure, a value for each seed, for the product and for the baseline."""

    key: FigureKey
    product: list[float] = field(default_factory=list)
    baseline: list[float] = field(default_factory=list)

    @property
    def meets_target(self) -> bool | None:
        """Whether the product's median keeps the target; nothing if it was not run."""
        if not self.product:
            return None
        median = statistics.median(self.product)
        match self.key.better:
            case Better.HIGHER:
                return median >= self.key.target
            case Better.LOWER:
                return median <= self.key.target
