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
    """Started cost that one rank is owed: its guaranteed share less what it started.

    It is earned before it is spent, so an urgent rank is never delayed by more than the
    guaranteed shares. It is kept while nothing of the rank waits: at one of many gateways a rank
    whose requests are refused or expire would otherwise never have enough for one request.

    Attributes:
        owed: The credit.
    """

    def __init__(self) -> None:
        self.owed = 0.0

    def earn(self, cost: float, limit: float) -> None:
        """Add the rank's share of a started request, of any rank.

        The credit grows no further at the limit, so that a rank whose requests fit nowhere does
        not start many of them at once afterwards.
        """
        if self.owed < limit:
            self.owed += cost

    def spend(self, cost: float) -> None:
        """Remove the cost of a started request of this rank."""
        self.owed = max(0.0, self.owed - cost)

    def covers(self, cost: float) -> bool:
        """Return whether the credit allows a request to start before more urgent ranks."""
        return self.owed >= cost
