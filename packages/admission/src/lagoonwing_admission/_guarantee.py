"""Credit by which less urgent ranks get their guaranteed share of the started cost."""

from __future__ import annotations

from lagoonwing_admission.const import (
    DEMAND_GUARANTEE,
    MAX_MIN_SHARES,
    MIN_RANK_SHARE,
)


def guaranteed_share(demand_share: float, ranks: int) -> float:
    """Return the share of the started cost that a rank with waiting work gets at least.

    Args:
        demand_share: Share of the rank in the offered cost.
        ranks: Number of ranks, which divide the bounded sum of the smallest shares.
    """
    smallest = min(MIN_RANK_SHARE, MAX_MIN_SHARES / max(1, ranks))
    return max(smallest, DEMAND_GUARANTEE * demand_share)


class Credit:
    """Started cost that one rank is owed.

    It is earned before it is spent, so that an urgent rank is never delayed by more than the
    guaranteed shares, and a rank that was idle has no credit.
    """

    def __init__(self) -> None:
        self._owed = 0.0
        self._largest = 0.0

    def pushed(self, cost: float) -> None:
        """Record a request that begins to wait."""
        self._largest = max(self._largest, cost)

    def earn(self, cost: float) -> None:
        """Add the rank's share of a started request, of any rank.

        Bounded, so that a rank whose requests fit nowhere does not start all of them at once
        afterwards.
        """
        self._owed = min(self._owed + cost, 2.0 * self._largest)

    def spend(self, cost: float) -> None:
        """Remove the cost of a started request of this rank."""
        self._owed = max(0.0, self._owed - cost)

    def covers(self, cost: float) -> bool:
        """Return whether the credit allows a request to start before more urgent ranks."""
        return self._owed >= cost

    def reset(self) -> None:
        """Discard the credit when nothing of the rank waits any more."""
        self._owed = 0.0
        self._largest = 0.0
