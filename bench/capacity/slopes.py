"""Slopes measured by committed scripts: points, and the line through them."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

SLOPES_FILE = Path(__file__).parents[1] / "results" / "slopes.json"


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Cost against one size.

    Attributes:
        script: Command that made the points.
        page: Page under bench/results that holds the run.
    """

    name: str
    cost: str
    size: str
    points: tuple[tuple[float, float], ...]
    script: str
    page: str


@dataclass(frozen=True, slots=True)
class Line:
    """Least-squares line through a slope's points."""

    base: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.base + self.per_unit * size


def load_slopes() -> dict[str, Slope]:
    """Return the slopes by name."""
    slopes = msgspec.json.decode(SLOPES_FILE.read_bytes(), type=list[Slope])
    return {slope.name: slope for slope in slopes}


def fit(slope: Slope) -> Line:
    """Return the line through the points of a slope."""
    sizes = np.array([size for size, _ in slope.points])
    costs = np.array([cost for _, cost in slope.points])
    per_unit, base = np.polyfit(sizes, costs, 1)
    return Line(float(base), float(per_unit))
