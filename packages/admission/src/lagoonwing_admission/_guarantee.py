"""Credit by which less urgent ranks get their guaranteed share of the started cost."""

from __future__ import annotations

from lagoonwing_admission.const import MAX_GUARANTEED_SHARE, MIN_RANK_SHARE


class GuaranteedShare:
    """Credit of one rank: a share of all started cost while the rank has work that could start.

    The credit is earned before it is spent, so that an urgent rank is never delayed by more
    than the share, and a rank that was idle has no credit.
    """

    def __init__(self) -> None:
        self._credit = 0.0
        self._largest = 0.0

    def pushed(self, cost: float) -> None:
        """Record a request that begins to wait."""
        self._largest = max(self._largest, cost)

    def earn(self, started_cost: float, waiting_ranks: int) -> None:
        """Add the share of a started request's cost.

        Args:
            started_cost: Cost of the request, of any rank.
            waiting_ranks: Ranks with work that could start, which divide the bounded sum.
        """
        share = min(MIN_RANK_SHARE, MAX_GUARANTEED_SHARE / max(1, waiting_ranks))
        # Bounded, so that a rank whose requests fit nowhere does not start all of them at once
        # afterwards.
        self._credit = min(self._credit + share * started_cost, 2.0 * self._largest)

    def spend(self, cost: float) -> None:
        """Remove the cost of a started request of this rank."""
        self._credit = max(0.0, self._credit - cost)

    def covers(self, cost: float) -> bool:
        """Return whether the credit allows a request to start before more urgent ranks."""
        return self._credit >= cost

    def reset(self) -> None:
        """Discard the credit when nothing of the rank waits any more."""
        self._credit = 0.0
        self._largest = 0.0
