"""Preference for endpoints whose cache is likely to hold a prompt's prefix."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence

import xxhash

from lagoonwing_core.ids import EndpointId
from lagoonwing_policy.models import ModelWork, RequestProfile
from lagoonwing_policy.routing import const
from lagoonwing_policy.routing._pools import Candidate

_HASH_RANGE = float(2**64)


class PrefixTable:
    """Prefixes that endpoints reported as cached; delayed and incomplete, so entries expire."""

    def __init__(self) -> None:
        self._reported_by_endpoint: dict[EndpointId, OrderedDict[str, float]] = {}

    def report(self, endpoint_id: EndpointId, prefix_hash: str, held: bool, now: float) -> None:
        """Record a cache event."""
        reported = self._reported_by_endpoint.setdefault(endpoint_id, OrderedDict())
        reported.pop(prefix_hash, None)
        if not held:
            return
        reported[prefix_hash] = now
        if len(reported) > const.MAX_PREFIXES_PER_ENDPOINT:
            reported.popitem(last=False)

    def discard(self, endpoint_id: EndpointId) -> None:
        """Discard the prefixes of an endpoint that restarted or whose events were lost."""
        self._reported_by_endpoint.pop(endpoint_id, None)

    def keep_only(self, endpoint_ids: set[EndpointId]) -> None:
        """Discard the prefixes of all other endpoints."""
        for endpoint_id in list(self._reported_by_endpoint):
            if endpoint_id not in endpoint_ids:
                del self._reported_by_endpoint[endpoint_id]

    def cached_share(self, endpoint_id: EndpointId, prefixes: Sequence[str], now: float) -> float:
        """Return the share of a prompt's prefixes that is likely cached."""
        reported = self._reported_by_endpoint.get(endpoint_id)
        if not reported or not prefixes:
            return 0.0
        for number in range(len(prefixes), 0, -1):
            reported_at = reported.get(prefixes[number - 1])
            if reported_at is not None and now - reported_at < const.PREFIX_TTL_S:
                return number / len(prefixes)
        return 0.0


class PreferenceTable:
    """Endpoint preferences by weighted rendezvous hashing, identical on every entry host."""

    def __init__(self) -> None:
        self._preferred_by_key: OrderedDict[tuple[str, str], tuple[Candidate, ...]] = OrderedDict()

    def clear(self) -> None:
        """Discard all preferences after the set of endpoints changed."""
        self._preferred_by_key.clear()

    def preferred(
        self, pool_key: str, profile: RequestProfile, candidates: Sequence[Candidate]
    ) -> tuple[Candidate, ...]:
        """Return the preferred endpoints for a request's prefix or, without one, fingerprint."""
        key = (pool_key, affinity_key(profile))
        known = self._preferred_by_key.get(key)
        if known is not None:
            self._preferred_by_key.move_to_end(key)
            return known
        chosen = tuple(rendezvous_order(key[1], candidates)[: const.PREFERRED_ENDPOINTS])
        self._preferred_by_key[key] = chosen
        if len(self._preferred_by_key) > const.MAX_PREFERENCES:
            self._preferred_by_key.popitem(last=False)
        return chosen


def affinity_key(profile: RequestProfile) -> str:
    """Return the key that is shared by requests that benefit from the same cache."""
    match profile.work:
        case ModelWork(prefix_hashes=(first, *_)):
            return first
        case _:
            return str(profile.fingerprint)


def rendezvous_order(key: str, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return endpoints by descending score; faster ones come first for more keys."""
    return sorted(candidates, key=lambda item: (-_score(key, item), item.endpoint_id))


def _score(key: str, candidate: Candidate) -> float:
    """Return the weighted rendezvous score of an endpoint for a key."""
    digest = xxhash.xxh3_64_intdigest(f"{key}|{candidate.endpoint_id}".encode())
    uniform = (digest + 0.5) / _HASH_RANGE
    return candidate.slots / candidate.interval_s / -math.log(uniform)
