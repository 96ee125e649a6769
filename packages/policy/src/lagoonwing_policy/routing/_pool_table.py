"""Pools of the usable endpoints, built again whenever the set of endpoints changes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import EndpointId
from lagoonwing_core.models import EndpointRecord
from lagoonwing_policy.routing import errors
from lagoonwing_policy.routing._links import LinkTable
from lagoonwing_policy.routing._pools import Candidate, RoutePool, build_pools
from lagoonwing_policy.routing.models import RoutePolicy
from lagoonwing_policy.sharing.models import CapacitySpan


class PoolTable:
    """Pools by key, and the endpoints of all pools.

    Attributes:
        candidate_by_id: Endpoints of all pools.
    """

    def __init__(self, links: LinkTable, policy: RoutePolicy) -> None:
        self._links = links
        self._policy = policy
        self._pool_by_key: dict[str, RoutePool] = {}
        self.candidate_by_id: dict[EndpointId, Candidate] = {}

    def rebuild(self, records: Iterable[EndpointRecord]) -> list[EndpointId]:
        """Replace all pools; return the endpoints that have restarted since the last call."""
        known = self.candidate_by_id
        self._pool_by_key = build_pools(records, self._links, self._policy)
        self.candidate_by_id = {}
        for pool in self._pool_by_key.values():
            self.candidate_by_id.update(pool.candidate_by_id)
        return [
            endpoint_id
            for endpoint_id, old in known.items()
            if (new := self.candidate_by_id.get(endpoint_id)) is not None and new.stage != old.stage
        ]

    def get(self, key: str) -> RoutePool | None:
        """Return the pool with a key, if any."""
        return self._pool_by_key.get(key)

    def complete(self, key: str) -> RoutePool | None:
        """Return the pool with a key, or None if no route through it can exist."""
        pool = self._pool_by_key.get(key)
        return pool if pool is not None and pool.is_complete() else None

    def refusal(self, key: str) -> Refusal:
        """Return why no route through the pool with a key can exist."""
        return errors.incomplete_pipeline() if key in self._pool_by_key else errors.no_endpoint()

    def spans_by_endpoint(
        self, span_by_pool: Mapping[str, CapacitySpan]
    ) -> dict[EndpointId, CapacitySpan]:
        """Return the span of each endpoint; keys without a pool are ignored."""
        spans: dict[EndpointId, CapacitySpan] = {}
        for key, span in span_by_pool.items():
            pool = self._pool_by_key.get(key)
            if pool is not None:
                spans.update(dict.fromkeys(pool.candidate_by_id, span))
        return spans

    def planned_tokens_per_s(self, key: str) -> float:
        """Return the planned throughput of a pool's stages, in tokens per second."""
        pool = self._pool_by_key.get(key)
        if pool is None:
            return 0.0
        return sum(split.plan.tokens_per_s for split in pool.splits)
