"""Pace of streams over sound endpoints, compared with what the published figures make expect."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonwing_core.callback import callback
from lagoonwing_gateway.const import (
    MAX_TYPICAL_PACE,
    MIN_TYPICAL_PACE,
    TYPICAL_PACE_QUANTILE,
    TYPICAL_PACE_STEP,
)


class TypicalPace:
    """Follows a low quantile of the ratios, as most paths may have a slow endpoint.

    It moves by small steps, so that a gateway whose few streams all cross a slow endpoint for
    some seconds doesn't take their pace for the typical one.

    Attributes:
        ratio: Observed pause over expected pause on a path of sound endpoints.
    """

    def __init__(self) -> None:
        self.ratio = 1.0

    @callback
    def add(self, ratios: Iterable[float]) -> None:
        """Take the latest ratios into account."""
        above = below = 0
        for ratio in ratios:
            if ratio > self.ratio:
                above += 1
            else:
                below += 1
        if not above + below:
            return
        up = TYPICAL_PACE_QUANTILE * above - (1.0 - TYPICAL_PACE_QUANTILE) * below
        ratio = self.ratio * (1.0 + TYPICAL_PACE_STEP * up / (above + below))
        self.ratio = min(MAX_TYPICAL_PACE, max(MIN_TYPICAL_PACE, ratio))
