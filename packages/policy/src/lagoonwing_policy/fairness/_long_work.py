"""Bounds of long work on each endpoint and in each pool."""

from __future__ import annotations

from collections.abc import Iterable
from typing import assert_never

from lagoonwing_core.ids import EndpointId
from lagoonwing_core.models import EndpointRecord
from lagoonwing_policy.fairness.models import BoundedLongWork, LongWorkPolicy, MixedWork


class LongWorkBounds:
    """Keeps the set of endpoints that run as much long work as they may."""

    def __init__(self, policy: LongWorkPolicy) -> None:
        self._policy = policy
        self._limit_by_id: dict[EndpointId, int] = {}
        self._running_by_id: dict[EndpointId, int] = {}
        self._full: frozenset[EndpointId] = frozenset()

    @property
    def full(self) -> frozenset[EndpointId]:
        """Return the endpoints on which no more long work may start."""
        return self._full

    def set_endpoints(self, records: Iterable[EndpointRecord]) -> None:
        """Replace the bounds of the endpoints."""
        self._limit_by_id = {
            record.endpoint_id: self.limit(float(record.slots)) for record in records
        }
        self._full = frozenset(
            endpoint_id for endpoint_id in self._running_by_id if self._is_full(endpoint_id)
        )

    def limit(self, slots: float) -> int:
        """Return how many of some slots long work may take; one at least."""
        match self._policy:
            case MixedWork():
                return max(1, int(slots))
            case BoundedLongWork(slot_share=slot_share):
                return max(1, int(slots * slot_share))
            case _:
                assert_never(self._policy)

    def started(self, endpoint_id: EndpointId) -> None:
        """Count long work on an endpoint."""
        self._running_by_id[endpoint_id] = self._running_by_id.get(endpoint_id, 0) + 1
        if endpoint_id not in self._full and self._is_full(endpoint_id):
            self._full |= {endpoint_id}

    def ended(self, endpoint_id: EndpointId) -> None:
        """Stop counting long work on an endpoint."""
        self._running_by_id[endpoint_id] -= 1
        if not self._running_by_id[endpoint_id]:
            del self._running_by_id[endpoint_id]
        if endpoint_id in self._full and not self._is_full(endpoint_id):
            self._full -= {endpoint_id}

    def _is_full(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint runs as much long work as it may."""
        limit = self._limit_by_id.get(endpoint_id)
        return limit is not None and self._running_by_id.get(endpoint_id, 0) >= limit
