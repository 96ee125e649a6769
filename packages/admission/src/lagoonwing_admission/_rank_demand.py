"""Offered cost of each rank, relative to what is started and to the other ranks."""

from __future__ import annotations

import math

from lagoonwing_admission.const import RANK_DEMAND_TIME_CONSTANT_S


class RankDemand:
    """Decaying totals of the offered cost by rank and of the started cost.

    Both are counted at the same gateway over the same time, so their ratio holds for the whole
    service without any message.
    """

    def __init__(self) -> None:
        self._offered_by_rank: dict[int, float] = {}
        self._started = 0.0
        self._updated = 0.0

    def offered(self, rank: int, cost: float, now: float) -> None:
        """Add a request that arrived, whether it is started, queued or refused."""
        self._decay(now)
        self._offered_by_rank[rank] = self._offered_by_rank.get(rank, 0.0) + cost

    def started(self, cost: float) -> None:
        """Add a started request at the time of the last arrival."""
        self._started += cost

    def share_of(self, rank: int) -> float:
        """Return the share of a rank in the offered cost, 0 if nothing was offered."""
        total = sum(self._offered_by_rank.values())
        return self._offered_by_rank.get(rank, 0.0) / total if total else 0.0

    def urgent_per_started(self, rank: int) -> float:
        """Return the offered cost of more urgent ranks relative to the started cost."""
        if not self._started:
            return 0.0
        urgent = sum(
            cost for offered_rank, cost in self._offered_by_rank.items() if offered_rank < rank
        )
        return urgent / self._started

    def _decay(self, now: float) -> None:
        """Apply the decay up to `now`."""
        elapsed_s = now - self._updated
        if elapsed_s <= 0.0:
            return
        factor = math.exp(-elapsed_s / RANK_DEMAND_TIME_CONSTANT_S)
        for rank in self._offered_by_rank:
            self._offered_by_rank[rank] *= factor
        self._started *= factor
        self._updated = now
