"""Choice among endpoints that need no other: least expected completion, caches preferred."""

from __future__ import annotations

import random
from collections.abc import Sequence

from lagoonwing_policy.models import ModelWork
from lagoonwing_policy.routing import const
from lagoonwing_policy.routing._affinity import PreferenceTable, PrefixTable
from lagoonwing_policy.routing._choice import Choice, ChoiceRules, tokens_of_work
from lagoonwing_policy.routing._pools import Candidate


class WholeModelChooser:
    """Chooses one endpoint; compares a bounded number of them."""

    def __init__(
        self,
        rules: ChoiceRules,
        prefixes: PrefixTable,
        preferences: PreferenceTable,
        rng: random.Random,
    ) -> None:
        self._rules = rules
        self._prefixes = prefixes
        self._preferences = preferences
        self._rng = rng

    def choose(
        self, pool_key: str, candidates: Sequence[Candidate], choice: Choice
    ) -> Candidate | None:
        """Return the endpoint to use, or `None` if none has room."""
        preferred = self._preferences.preferred(pool_key, choice.profile, candidates)
        compared = self._compared(candidates, preferred)
        usable = [item for item in compared if self._rules.may_use(item, choice)]
        if not usable and len(compared) < len(candidates):
            usable = [item for item in candidates if self._rules.may_use(item, choice)]
        if not usable:
            return None
        usable = self._with_free_slot(usable, choice)
        completion_by_id = {item.endpoint_id: self._completion_s(item, choice) for item in usable}
        best = min(usable, key=lambda item: (completion_by_id[item.endpoint_id], item.endpoint_id))
        longest = completion_by_id[best.endpoint_id] * const.AFFINITY_SLACK
        busiest = self._busiest_allowed(usable, choice)
        for item in preferred:
            completion = completion_by_id.get(item.endpoint_id)
            if completion is None or completion > longest:
                continue
            if self._use_share(item, choice) <= busiest:
                return item
        return best

    def _with_free_slot(self, usable: list[Candidate], choice: Choice) -> list[Candidate]:
        """Return the endpoints where the work need not wait, as far as any are known.

        Work that queues in an engine gets its first token late, however fast the engine is.
        Slots within this host's share are surer than those that others may borrow too.
        """
        free = [item for item in usable if self._use_share(item, choice) <= 1.0]
        loads = self._rules.loads
        own = [item for item in free if loads.is_within_share(item, choice.loads)]
        return own or free or usable

    def _compared(
        self, candidates: Sequence[Candidate], preferred: Sequence[Candidate]
    ) -> Sequence[Candidate]:
        """Return the endpoints to compare: all, or the preferred ones and a sample."""
        if len(candidates) <= const.MAX_COMPARED:
            return candidates
        sample = self._rng.sample(candidates, const.SAMPLE_SIZE)
        return list({item.endpoint_id: item for item in (*preferred, *sample)}.values())

    def _completion_s(self, candidate: Candidate, choice: Choice) -> float:
        """Return the expected time until the request would be done on an endpoint."""
        rules = self._rules
        share = self._use_share(candidate, choice)
        # Batches slow down as they fill; beyond the slots, requests wait for one.
        crowding = max(1.0, share) + const.BATCH_SLOWDOWN * min(1.0, share)
        cached = 0.0
        if isinstance(choice.profile.work, ModelWork):
            prefixes = choice.profile.work.prefix_hashes
            cached = self._prefixes.covered(candidate.endpoint_id, prefixes, choice.now)
        tokens = tokens_of_work(choice.profile, cached)
        return tokens * candidate.interval_s * crowding * rules.penalty(candidate, choice)

    def _use_share(self, candidate: Candidate, choice: Choice) -> float:
        """Return the share of an endpoint's slots in use, this attempt included."""
        in_flight = self._rules.loads.total(candidate, choice.loads, choice.now)
        return (in_flight + 1.0) / candidate.slots

    def _busiest_allowed(self, usable: Sequence[Candidate], choice: Choice) -> float:
        """Return the share of slots in use up to which a preferred endpoint is taken."""
        shares = [self._use_share(item, choice) for item in usable]
        return const.BOUNDED_LOAD_FACTOR * sum(shares) / len(shares)
