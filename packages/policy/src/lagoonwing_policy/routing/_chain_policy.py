"""Chooses the endpoints of a route by the configured policy."""

from __future__ import annotations

from lagoonwing_policy.routing._context import RoutingContext
from lagoonwing_policy.routing._pools import Candidate, RoutePool
from lagoonwing_policy.routing._round_robin import RoundRobinChooser
from lagoonwing_policy.routing._stages import ChainChooser
from lagoonwing_policy.routing._whole import WholeModelChooser
from lagoonwing_policy.routing.models import FlowRoutes, RoundRobinRoutes


class ChainPolicy:
    """Chooses endpoints by planned flow, or round robin for the baseline."""

    def __init__(
        self,
        policy: FlowRoutes | RoundRobinRoutes,
        whole: WholeModelChooser,
        chains: ChainChooser,
        round_robin: RoundRobinChooser,
    ) -> None:
        self._policy = policy
        self._whole = whole
        self._chains = chains
        self._round_robin = round_robin

    def choose(self, key: str, pool: RoutePool, context: RoutingContext) -> tuple[Candidate, ...]:
        """Return the endpoints of the route; whole models are preferred to pipelines."""
        match self._policy:
            case FlowRoutes():
                whole = self._whole.choose(key, pool.whole, context) if pool.whole else None
                if whole is not None:
                    return (whole,)
                chains = (self._chains.choose(split, context) for split in pool.splits)
                return next((chain for chain in chains if chain), ())
            case RoundRobinRoutes():
                whole = self._round_robin.choose(key, pool.whole, context)
                if whole is not None:
                    return (whole,)
                chains = (
                    self._round_robin.choose_chain(key, split, context) for split in pool.splits
                )
                return next((chain for chain in chains if chain), ())
