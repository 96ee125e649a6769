"""Measured costs against size, and least-squares fits."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

SLOPES_FILE = Path(__file__).parents[1] / "results" / "slopes.json"


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Measured cost as a function of one size.

    Attributes:
        script: Command that produced the points.
        page: Result page of the run under bench/results.
    """

    name: str
    cost: str
    size: str
    points: tuple[tuple[float, float], ...]
    script: str
    page: str


@dataclass(frozen=True, slots=True)
class Line:
    """Least-squares line through the points of a slope."""

    base: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.base + self.per_unit * size


def load_slopes() -> dict[str, Slope]:
    """Load the slopes by name."""
    slopes = msgspec.json.decode(SLOPES_FILE.read_bytes(), type=list[Slope])
    return {slope.name: slope for slope in slopes}


def fit(slope: Slope) -> Line:
    """Fit a line to the points of a slope."""
    sizes = np.array([size for size, _ in slope.points])
    costs = np.array([cost for _, cost in slope.points])
    per_unit, base = np.polyfit(sizes, costs, 1)
    return Line(float(base), float(per_unit))
