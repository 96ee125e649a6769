"""Round-robin routing, the baseline: endpoints in turn regardless of their speed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from lagoonwing_policy.routing._context import RoutingContext, RoutingRules
from lagoonwing_policy.routing._pools import Candidate, Split


class RoundRobinChooser:
    """Chooses the next endpoint with room, separately at each layer boundary."""

    def __init__(self, rules: RoutingRules) -> None:
        self._rules = rules
        self._turn_by_key: Counter[tuple[str, int]] = Counter()

    def choose(
        self, pool_key: str, candidates: Sequence[Candidate], context: RoutingContext
    ) -> Candidate | None:
        """Return the next endpoint that has room."""
        return next(iter(self._rotated((pool_key, 0), candidates, context)), None)

    def choose_chain(
        self, pool_key: str, split: Split, context: RoutingContext
    ) -> tuple[Candidate, ...]:
        """Return the next chain, empty if no chain has room."""
        dead_ends: set[int] = set()
        return self._extend(pool_key, split, 0, context, dead_ends) or ()

    def _extend(
        self, pool_key: str, split: Split, first: int, context: RoutingContext, dead_ends: set[int]
    ) -> tuple[Candidate, ...] | None:
        """Return a chain from a layer to the last one, or None."""
        if first == split.layer_count:
            return ()
        if first in dead_ends:
            return None
        candidates = split.candidates_by_first_layer.get(first, ())
        for candidate in self._rotated((pool_key, first), candidates, context):
            rest = self._extend(pool_key, split, candidate.end, context, dead_ends)
            if rest is not None:
                return (candidate, *rest)
        dead_ends.add(first)
        return None

    def _rotated(
        self, key: tuple[str, int], candidates: Sequence[Candidate], context: RoutingContext
    ) -> list[Candidate]:
        """Return the endpoints with room, starting with the next in turn."""
        if not candidates:
            return []
        self._turn_by_key[key] += 1
        start = self._turn_by_key[key] % len(candidates)
        ordered = [*candidates[start:], *candidates[:start]]
        return [item for item in ordered if self._rules.may_use(item, context)]
