"""Models of the benchmark figures."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field
from enum import Enum


class Better(Enum):
    """Direction in which a figure should be bounded."""

    HIGHER = ">="
    LOWER = "<="


@dataclass(frozen=True, slots=True)
class FigureKey:
    """Identity of a figure, which is one row of the table.

    Attributes:
        target: Required bound.
    """

    measure: str
    figure: str
    unit: str
    better: Better
    target: float


@dataclass(slots=True)
class FigureRow:
    """Values of one figure per seed, for the product and the baseline."""

    key: FigureKey
    product: list[float] = field(default_factory=list)
    baseline: list[float] = field(default_factory=list)

    @property
    def meets_target(self) -> bool | None:
        """Whether the product's median meets the target; `None` if not run."""
        if not self.product:
            return None
        median = statistics.median(self.product)
        match self.key.better:
            case Better.HIGHER:
                return median >= self.key.target
            case Better.LOWER:
                return median <= self.key.target
