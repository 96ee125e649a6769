"""Chooses a chain of stages that runs every layer exactly once."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from lagoonwing_core.ids import FailureDomainId
from lagoonwing_policy.routing import const
from lagoonwing_policy.routing._context import RoutingContext, RoutingRules
from lagoonwing_policy.routing._links import LinkTable
from lagoonwing_policy.routing._pools import Candidate, Split

CostOf = Callable[[Candidate], float | None]


@dataclass(frozen=True, slots=True)
class _Tail:
    """Cheapest chain from one candidate to the last layer."""

    cost: float
    candidate: Candidate
    rest: _Tail | None

    def chain(self) -> Iterator[Candidate]:
        """Yield the candidates in the order of their layers."""
        tail: _Tail | None = self
        while tail is not None:
            yield tail.candidate
            tail = tail.rest


class ChainChooser:
    """Chooses the chain with room that has the least time per token, including links and load.

    The limit of a stage follows its planned flow. Under load, once the cheap chains are full,
    chains are used in proportion to the maximum flow; an idle cluster uses the fastest ones.
    """

    def __init__(self, rules: RoutingRules, links: LinkTable, rng: random.Random) -> None:
        self._rules = rules
        self._links = links
        self._rng = rng

    def choose(self, split: Split, context: RoutingContext) -> tuple[Candidate, ...]:
        """Return the stages to use, empty if no chain has room."""
        chain = self._cheapest(split, lambda item: self._cost(item, context), sampled=True)
        if chain or not _was_sampled(split):
            return chain
        return self._cheapest(split, lambda item: self._cost(item, context), sampled=False)

    def by_rank(self, split: Split, rank_of: CostOf) -> tuple[Candidate, ...]:
        """Return the chain with the lowest total rank, regardless of load."""
        return self._cheapest(split, rank_of, sampled=False)

    def cheapest_stage(
        self, split: Split, first: int, end: int, context: RoutingContext
    ) -> tuple[Candidate, ...]:
        """Return the cheapest stage with room that holds exactly these layers, as a chain."""
        costed = [
            (cost, item)
            for item in split.candidates_by_first_layer.get(first, ())
            if item.end == end and (cost := self._cost(item, context)) is not None
        ]
        if not costed:
            return ()
        return (min(costed, key=lambda pair: (pair[0], pair[1].endpoint_id))[1],)

    def _cost(self, candidate: Candidate, context: RoutingContext) -> float | None:
        """Return the expected time per token on a stage, None if it may not be used."""
        if not self._rules.may_use(candidate, context):
            return None
        total = self._rules.loads.total(candidate, context.loads, context.now)
        load_factor = 1.0 + total / candidate.limit
        planned = 1.0 if candidate.planned else const.UNPLANNED_PENALTY
        penalty = self._rules.penalty(candidate, context)
        return candidate.interval_s * load_factor * planned * penalty

    def _cheapest(self, split: Split, cost_of: CostOf, sampled: bool) -> tuple[Candidate, ...]:
        """Return the cheapest chain, computed from the last layer backwards."""
        tails_by_first_layer: dict[int, list[_Tail]] = {}
        for first in sorted(split.candidates_by_first_layer, reverse=True):
            candidates = split.candidates_by_first_layer[first]
            if sampled and len(candidates) > const.MAX_COMPARED:
                candidates = tuple(self._rng.sample(candidates, const.SAMPLE_SIZE))
            tails = self._tails(split, candidates, cost_of, tails_by_first_layer)
            tails_by_first_layer[first] = tails
        best = min(tails_by_first_layer.get(0, ()), key=_tail_sort_key, default=None)
        return tuple(best.chain()) if best is not None else ()

    def _tails(
        self,
        split: Split,
        candidates: Sequence[Candidate],
        cost_of: CostOf,
        tails_by_first_layer: dict[int, list[_Tail]],
    ) -> list[_Tail]:
        """Return the cheapest chain to the last layer for each layer range and domain."""
        best_by_group: dict[tuple[int, FailureDomainId], tuple[float, Candidate]] = {}
        for candidate in candidates:
            cost = cost_of(candidate)
            if cost is None:
                continue
            group = (candidate.end, candidate.failure_domain)
            known = best_by_group.get(group)
            if known is None or cost < known[0]:
                best_by_group[group] = (cost, candidate)
        tails: list[_Tail] = []
        for cost, candidate in best_by_group.values():
            if candidate.end == split.layer_count:
                tails.append(_Tail(cost, candidate, None))
                continue
            rest = self._best_continuation(candidate, tails_by_first_layer.get(candidate.end, ()))
            if rest is not None:
                tails.append(_Tail(cost + rest[0], candidate, rest[1]))
        return tails

    def _best_continuation(
        self, candidate: Candidate, tails: Sequence[_Tail]
    ) -> tuple[float, _Tail] | None:
        """Return the cheapest continuation after a candidate, and its cost with the link."""
        costed = [
            (
                tail.cost
                + self._links.seconds(candidate.failure_domain, tail.candidate.failure_domain),
                tail,
            )
            for tail in tails
        ]
        if not costed:
            return None
        return min(costed, key=lambda pair: (pair[0], pair[1].candidate.endpoint_id))


def _was_sampled(split: Split) -> bool:
    """Return whether only a sample of the candidates was compared at any layer."""
    return any(
        len(items) > const.MAX_COMPARED for items in split.candidates_by_first_layer.values()
    )


def _tail_sort_key(tail: _Tail) -> tuple[float, str]:
    """Return the sort key of a tail: cost, then endpoint id."""
    return tail.cost, tail.candidate.endpoint_id
