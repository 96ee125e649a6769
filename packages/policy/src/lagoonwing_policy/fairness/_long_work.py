"""Limits on long work per endpoint and per pool."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import assert_never

from lagoonwing_core.ids import EndpointId
from lagoonwing_core.models import EndpointRecord
from lagoonwing_policy.fairness.models import BoundedLongWork, LongWorkPolicy, UnboundedLongWork


class LongWorkBounds:
    """Tracks the endpoints that have reached their limit of long work."""

    def __init__(self, policy: LongWorkPolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._entry_hosts = 1
        self._slots_by_id: dict[EndpointId, int] = {}
        self._limit_by_id: dict[EndpointId, int] = {}
        self._running_by_id: dict[EndpointId, int] = {}
        self._full: frozenset[EndpointId] = frozenset()

    @property
    def full(self) -> frozenset[EndpointId]:
        """Return the endpoints on which no further long work may start."""
        return self._full

    def set_entry_hosts(self, count: int) -> None:
        """Set the number of entry hosts that share the endpoints, including this one."""
        if count != self._entry_hosts:
            self._entry_hosts = max(1, count)
            self._set_limits({})

    def set_endpoints(self, records: Iterable[EndpointRecord]) -> None:
        """Replace the endpoints; limits of endpoints with unchanged slots are kept."""
        former_slots, former_limits = self._slots_by_id, self._limit_by_id
        self._slots_by_id = {record.endpoint_id: record.slots for record in records}
        kept = {
            endpoint_id: former_limits[endpoint_id]
            for endpoint_id, slots in self._slots_by_id.items()
            if former_slots.get(endpoint_id) == slots
        }
        self._set_limits(kept)

    def pool_limit(self, slots: float) -> int:
        """Return how many long requests this host may run in a pool, at least one."""
        match self._policy:
            case UnboundedLongWork():
                return max(1, int(slots))
            case BoundedLongWork(slot_share=slot_share):
                return max(1, int(slots * slot_share / self._entry_hosts))
            case _:
                assert_never(self._policy)

    def _set_limits(self, kept: dict[EndpointId, int]) -> None:
        """Set the limits of the endpoints, reusing the kept ones."""
        self._limit_by_id = {
            endpoint_id: kept.get(endpoint_id) or self._endpoint_limit(slots)
            for endpoint_id, slots in self._slots_by_id.items()
        }
        self._full = frozenset(
            endpoint_id for endpoint_id in self._running_by_id if self._is_full(endpoint_id)
        )

    def _endpoint_limit(self, slots: int) -> int:
        """Return how many long requests this host may run on an endpoint, at least one.

        This host's part of the limit is rounded up or down at random, so that all hosts
        together keep the limit on average.
        """
        match self._policy:
            case UnboundedLongWork():
                return max(1, slots)
            case BoundedLongWork(slot_share=slot_share):
                if self._entry_hosts == 1:
                    return max(1, int(slots * slot_share))
                part = slots * slot_share / self._entry_hosts
                return max(1, int(part + self._rng.random()))
            case _:
                assert_never(self._policy)

    def started(self, endpoint_id: EndpointId) -> None:
        """Add a long request on an endpoint."""
        self._running_by_id[endpoint_id] = self._running_by_id.get(endpoint_id, 0) + 1
        if endpoint_id not in self._full and self._is_full(endpoint_id):
            self._full |= {endpoint_id}

    def ended(self, endpoint_id: EndpointId) -> None:
        """Remove a long request from an endpoint."""
        self._running_by_id[endpoint_id] -= 1
        if not self._running_by_id[endpoint_id]:
            del self._running_by_id[endpoint_id]
        if endpoint_id in self._full and not self._is_full(endpoint_id):
            self._full -= {endpoint_id}

    def _is_full(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint has reached its limit of long work."""
        limit = self._limit_by_id.get(endpoint_id)
        return limit is not None and self._running_by_id.get(endpoint_id, 0) >= limit
