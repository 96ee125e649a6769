"""Inputs of a routing decision, and the rules that all routing policies share."""

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
    """Inputs of one routing decision.

    Attributes:
        loads: Attempts of this host in flight.
        excluded: Endpoints that must not be used.
        exclusive: Whether every endpoint of the route must be idle.
        avoided_domains: Failure domains in which the request has failed before.
        ignore_ejections: Whether ejected endpoints may be used because too few others are left.
    """

    profile: RequestProfile
    loads: LoadsByEndpoint
    excluded: frozenset[EndpointId]
    exclusive: bool
    now: float
    avoided_domains: frozenset[FailureDomainId] = frozenset()
    ignore_ejections: bool = False


class RoutingRules:
    """Rules shared by all routing policies."""

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
        """Return the cost factor of an endpoint."""
        return const.SAME_DOMAIN_PENALTY if self._is_in_avoided_domain(candidate, context) else 1.0

    def _is_in_avoided_domain(self, candidate: Candidate, context: RoutingContext) -> bool:
        """Return whether an earlier attempt failed in the endpoint's failure domain."""
        return candidate.failure_domain in context.avoided_domains

    def has_too_few_healthy(self, candidates: Sequence[Candidate], context: RoutingContext) -> bool:
        """Return whether ejections leave too few endpoints, so that they are ignored."""
        serving = sum(
            self.ejection.may_use(candidate.stage, 0, context.now) for candidate in candidates
        )
        return serving < len(candidates) * const.MIN_HEALTHY_SHARE


def estimated_tokens(profile: RequestProfile, cached_share: float) -> float:
    """Return the tokens to generate plus the weighted tokens of the uncached prompt."""
    match profile.work:
        case ModelWork(prompt_tokens=prompt_tokens, max_tokens=max_tokens):
            uncached = prompt_tokens * (1.0 - cached_share)
            return max_tokens + uncached * const.PROMPT_TOKEN_WEIGHT
        case _:
            return const.SERVICE_TOKENS
