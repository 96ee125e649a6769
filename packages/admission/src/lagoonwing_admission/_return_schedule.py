"""Times at which refused callers are asked to return."""

from __future__ import annotations

import random

from lagoonwing_admission.const import (
    MIN_KNOWN_RATE,
    MIN_RETURN_S,
    RETURN_SHARE,
    UNKNOWN_RATE_JITTER_S,
)


class ReturnSchedule:
    """Promises each refused caller of one service a part of the future capacity.

    Each rank has a virtual clock: the time up to which the returning share of the capacity is
    promised. A promise advances the clocks of its rank and of all less urgent ones, so a more
    urgent rank never waits for a less urgent one.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._clock_by_rank: dict[int, float] = {}

    def promise(
        self,
        rank: int,
        cost: float,
        rate: float | None,
        earliest_s: float,
        max_s: float,
        now: float,
    ) -> float:
        """Return the seconds after which a refused caller should return.

        Args:
            rank: Rank of the refused request.
            cost: Its expected cost.
            rate: Cost that the service starts per second, None while unknown.
            earliest_s: Time that the queue needs before it has capacity for the request.
            max_s: Longest time that the caller honours.
            now: Time in seconds.
        """
        if rate is None or rate < MIN_KNOWN_RATE:
            return self._within(MIN_RETURN_S + self._rng.random() * UNKNOWN_RATE_JITTER_S, max_s)
        slot_s = cost / (rate * RETURN_SHARE)
        begin = max(self._clock(rank), now + max(MIN_RETURN_S, earliest_s))
        promised_s = begin + self._rng.random() * slot_s - now
        if promised_s > max_s:
            # Not advancing the clock bounds it: such a caller returns before its turn.
            return self._within(promised_s, max_s)
        self._advance(rank, begin, slot_s)
        return promised_s

    def _within(self, promised_s: float, max_s: float) -> float:
        """Spread promises beyond the limit over the upper half of its span."""
        if promised_s <= max_s:
            return promised_s
        return max_s * (0.5 + 0.5 * self._rng.random())

    def _clock(self, rank: int) -> float:
        """Return the latest clock of this rank and of more urgent ones."""
        clocks = (clock for known_rank, clock in self._clock_by_rank.items() if known_rank <= rank)
        return max(clocks, default=0.0)

    def _advance(self, rank: int, begin: float, slot_s: float) -> None:
        """Advance the clocks of this rank and of less urgent ones by a slot."""
        self._clock_by_rank[rank] = begin + slot_s
        for known_rank in self._clock_by_rank:
            if known_rank > rank:
                self._clock_by_rank[known_rank] += slot_s
