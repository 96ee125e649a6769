"""Cost classes, relative to the median cost of recent requests."""

from __future__ import annotations

from lagoonwing_policy.cost.models import CostSettings
from lagoonwing_policy.models import Priority

# Relative step by which each request moves the running median.
MEDIAN_STEP = 0.02


class CostClassifier:
    """Classifies work as short, normal or long relative to a running median of costs."""

    def __init__(self, settings: CostSettings) -> None:
        self._settings = settings
        self._median = settings.initial_median_cost

    @property
    def median(self) -> float:
        """Return the running median of observed costs."""
        return self._median

    @property
    def short_bound(self) -> float:
        """Return the maximum cost of short work."""
        return self._settings.short_factor * self._median

    def observe(self, cost: float) -> None:
        """Move the median one step towards a cost; the fixed step limits outliers."""
        if cost > self._median:
            self._median *= 1.0 + MEDIAN_STEP
        elif cost < self._median:
            self._median /= 1.0 + MEDIAN_STEP

    def classify(self, cost: float) -> Priority:
        """Return the class of a cost."""
        if cost <= self.short_bound:
            return Priority.SHORT
        if cost <= self._settings.long_factor * self._median:
            return Priority.NORMAL
        return Priority.LONG
