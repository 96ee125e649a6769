"""Chooses a whole-model or service endpoint by expected completion time and cache affinity."""

from __future__ import annotations

import random
from collections.abc import Sequence

from lagoonwing_policy.models import ModelWork
from lagoonwing_policy.routing import const
from lagoonwing_policy.routing._affinity import PreferenceTable, PrefixTable
from lagoonwing_policy.routing._context import RoutingContext, RoutingRules, estimated_tokens
from lagoonwing_policy.routing._pools import Candidate


class WholeModelChooser:
    """Chooses one endpoint out of a bounded number of candidates."""

    def __init__(
        self,
        rules: RoutingRules,
        prefixes: PrefixTable,
        preferences: PreferenceTable,
        rng: random.Random,
    ) -> None:
        self._rules = rules
        self._prefixes = prefixes
        self._preferences = preferences
        self._rng = rng

    def choose(
        self, pool_key: str, candidates: Sequence[Candidate], context: RoutingContext
    ) -> Candidate | None:
        """Return the endpoint to use, None if none has room."""
        preferred = self._preferences.preferred(pool_key, context.profile, candidates)
        compared = self._candidates_to_compare(candidates, preferred)
        usable = [item for item in compared if self._rules.may_use(item, context)]
        if not usable and len(compared) < len(candidates):
            usable = [item for item in candidates if self._rules.may_use(item, context)]
        if not usable:
            return None
        usable = self._prefer_free_slots(usable, context)
        completion_by_id = {item.endpoint_id: self._completion_s(item, context) for item in usable}
        best = min(usable, key=lambda item: (completion_by_id[item.endpoint_id], item.endpoint_id))
        max_completion_s = completion_by_id[best.endpoint_id] * const.AFFINITY_SLACK
        max_utilization = self._max_utilization(usable, context)
        for item in preferred:
            completion = completion_by_id.get(item.endpoint_id)
            if completion is None or completion > max_completion_s:
                continue
            if self._utilization(item, context) <= max_utilization:
                return item
        return best

    def _prefer_free_slots(
        self, usable: list[Candidate], context: RoutingContext
    ) -> list[Candidate]:
        """Return the endpoints with a free slot, or all if none has one.

        A request that queues in an engine gets its first token late, even on a fast engine.
        Slots within this host's quota are preferred, because other hosts may borrow the rest.
        """
        free = [item for item in usable if self._utilization(item, context) <= 1.0]
        loads = self._rules.loads
        own = [item for item in free if loads.is_within_quota(item, context.loads)]
        return own or free or usable

    def _candidates_to_compare(
        self, candidates: Sequence[Candidate], preferred: Sequence[Candidate]
    ) -> Sequence[Candidate]:
        """Return the endpoints to compare: all, or the preferred ones and a random sample."""
        if len(candidates) <= const.MAX_COMPARED:
            return candidates
        sample = self._rng.sample(candidates, const.SAMPLE_SIZE)
        return list({item.endpoint_id: item for item in (*preferred, *sample)}.values())

    def _completion_s(self, candidate: Candidate, context: RoutingContext) -> float:
        """Return the expected completion time of the request on an endpoint."""
        rules = self._rules
        utilization = self._utilization(candidate, context)
        # Batches slow down as they fill; requests beyond the slots have to wait.
        load_factor = max(1.0, utilization) + const.BATCH_SLOWDOWN * min(1.0, utilization)
        cached = 0.0
        if isinstance(context.profile.work, ModelWork):
            prefixes = context.profile.work.prefix_hashes
            cached = self._prefixes.cached_share(candidate.endpoint_id, prefixes, context.now)
        tokens = estimated_tokens(context.profile, cached)
        return tokens * candidate.interval_s * load_factor * rules.penalty(candidate, context)

    def _utilization(self, candidate: Candidate, context: RoutingContext) -> float:
        """Return the utilization of an endpoint's slots, including this attempt."""
        in_flight = self._rules.loads.total(candidate, context.loads, context.now)
        return (in_flight + 1.0) / candidate.slots

    def _max_utilization(self, usable: Sequence[Candidate], context: RoutingContext) -> float:
        """Return the maximum utilization at which a preferred endpoint is used."""
        utilizations = [self._utilization(item, context) for item in usable]
        return const.BOUNDED_LOAD_FACTOR * sum(utilizations) / len(utilizations)
