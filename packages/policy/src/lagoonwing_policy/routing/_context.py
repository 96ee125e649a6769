"""One decision's view of the endpoints: which may be used, and what each would cost."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_policy.models import ModelWork, RequestProfile
from lagoonwing_policy.routing import const
from lagoonwing_policy.routing._ejection import EjectionSystem
from lagoonwing_policy.routing._load import LoadEstimator, LoadsByEndpoint
from lagoonwing_policy.routing._pools import Candidate


@dataclass(frozen=True, slots=True)
class RoutingContext:
    """What one decision rests on.

    Attributes:
        loads: Own attempts in flight.
        excluded: Endpoints that must not be used.
        exclusive: Whether every endpoint of the route must be idle.
        avoided_domains: Failure domains in which the request has failed before.
        ignore_ejections: Whether too few endpoints are left to heed ejections.
    """

    profile: RequestProfile
    loads: LoadsByEndpoint
    excluded: frozenset[EndpointId]
    exclusive: bool
    now: float
    avoided_domains: frozenset[FailureDomainId] = frozenset()
    ignore_ejections: bool = False


class RoutingRules:
    """Rules shared by every way of choosing a route."""

    def __init__(self, loads: LoadEstimator, ejection: EjectionSystem) -> None:
        self.loads = loads
        self.ejection = ejection

    def may_use(self, candidate: Candidate, context: RoutingContext) -> bool:
        """Return whether an attempt may start on an endpoint now."""
        if candidate.endpoint_id in context.excluded:
            return False
        if not context.ignore_ejections:
            use = context.loads.get(candidate.endpoint_id)
            running = use.running if use is not None else 0
            if not self.ejection.may_use(candidate.stage, running, context.now):
                return False
        return self.loads.has_room(candidate, context.loads, context.exclusive, context.now)

    def penalty(self, candidate: Candidate, context: RoutingContext) -> float:
        """Return the factor on the cost of an endpoint that is better avoided."""
        return const.SAME_DOMAIN_PENALTY if self._is_in_avoided_domain(candidate, context) else 1.0

    def _is_in_avoided_domain(self, candidate: Candidate, context: RoutingContext) -> bool:
        """Return whether an earlier attempt failed in the endpoint's domain."""
        return candidate.failure_domain in context.avoided_domains

    def has_too_few_healthy(self, candidates: Sequence[Candidate], context: RoutingContext) -> bool:
        """Return whether ejections leave too few endpoints to be heeded."""
        serving = sum(
            self.ejection.may_use(candidate.stage, 0, context.now) for candidate in candidates
        )
        return serving < len(candidates) * const.MIN_HEALTHY_SHARE


def estimated_tokens(profile: RequestProfile, cached_share: float) -> float:
    """Return the tokens to generate, with the prompt's uncached part at its lower weight."""
    match profile.work:
        case ModelWork(prompt_tokens=prompt_tokens, max_tokens=max_tokens):
            uncached = prompt_tokens * (1.0 - cached_share)
            return max_tokens + uncached * const.PROMPT_TOKEN_WEIGHT
        case _:
            return const.SERVICE_TOKENS
