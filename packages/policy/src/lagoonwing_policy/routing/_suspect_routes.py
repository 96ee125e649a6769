"""Routes of suspects, which run alone, and the endpoints that other work must leave to them."""

from __future__ import annotations

from lagoonwing_core.ids import EndpointId
from lagoonwing_policy.routing._context import RoutingContext, RoutingRules
from lagoonwing_policy.routing._pools import Candidate, RoutePool
from lagoonwing_policy.routing._stages import ChainChooser
from lagoonwing_policy.routing._suspects import PoolView, SuspectPlacement, SuspectSource


class SuspectRoutes:
    """Applies the placement of suspects to the endpoints that this entry host considers healthy."""

    def __init__(self, rules: RoutingRules, chains: ChainChooser) -> None:
        self._rules = rules
        self._placement = SuspectPlacement(chains)

    def set_source(self, source: SuspectSource) -> None:
        """Set the source of suspects."""
        self._placement.set_source(source)

    def assigned_chain(
        self, key: str, pool: RoutePool, context: RoutingContext
    ) -> tuple[Candidate, ...]:
        """Return the endpoints assigned to the request's fingerprint."""
        view = self._view(key, pool, context)
        return self._placement.chain(view, context.profile.fingerprint)

    def idle_chain(
        self, key: str, pool: RoutePool, context: RoutingContext
    ) -> tuple[Candidate, ...]:
        """Return the assigned endpoints if all of them are idle."""
        chain = self.assigned_chain(key, pool, context)
        loads = self._rules.loads
        is_idle = all(loads.has_room(item, context.loads, True, context.now) for item in chain)
        return chain if is_idle else ()

    def reserved(self, key: str, pool: RoutePool, context: RoutingContext) -> frozenset[EndpointId]:
        """Return the endpoints that are reserved for suspects."""
        return self._placement.reserved(self._view(key, pool, context))

    def _view(self, key: str, pool: RoutePool, context: RoutingContext) -> PoolView:
        """Return the state of the pool, in which ejected endpoints may not be used."""
        ejection, now = self._rules.ejection, context.now
        return PoolView(key, pool, lambda item: ejection.may_use(item.stage, 0, now), now)
