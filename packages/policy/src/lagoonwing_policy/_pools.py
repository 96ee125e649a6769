"""Pools: the endpoints of one model or service and the requests queued for them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from lagoonwing_admission import Headroom, RankedQueue, ThroughputMeter, make_headroom
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import EndpointId, RequestId
from lagoonwing_core.models import EndpointKind, EndpointRecord
from lagoonwing_policy._requests import RequestEntity
from lagoonwing_policy._settings import SchedulerSettings
from lagoonwing_policy.cost import CostClassifier


@dataclass(slots=True)
class Pool:
    """Endpoints that serve the same work, and the requests for them.

    Attributes:
        bypass: Retries and requests that must run alone; served before the fair queue.
        slots: Number of requests that the pool can run concurrently.
        long_running: Number of running long requests.
        blocked: Whether nothing can start until a slot becomes free.
        long_blocked: Whether no long work can start until a slot becomes free.
        running: Number of running requests.
        no_route: Refusal while no route exists regardless of load.
        no_route_since: Time at which `no_route` was set.
    """

    key: str
    queue: RankedQueue[RequestEntity]
    classifier: CostClassifier
    headroom: Headroom
    meter: ThroughputMeter = field(default_factory=ThroughputMeter)
    bypass: OrderedDict[RequestId, RequestEntity] = field(default_factory=OrderedDict)
    slots: float = 0.0
    long_running: int = 0
    blocked: bool = False
    long_blocked: bool = False
    running: int = 0
    no_route: Refusal | None = None
    no_route_since: float = 0.0

    def open(self) -> None:
        """Clear the blocked flags."""
        self.blocked = False
        self.long_blocked = False

    def has_waiting(self) -> bool:
        """Return whether any request is waiting."""
        return bool(len(self.queue) or self.bypass)


class PoolTable:
    """Pools by key, and the pools that the dispatcher has to visit."""

    def __init__(self, settings: SchedulerSettings) -> None:
        self._settings = settings
        self._pool_by_key: dict[str, Pool] = {}
        self._pools_by_endpoint: dict[EndpointId, tuple[Pool, ...]] = {}
        # A dict preserves insertion order, which keeps runs with the same seed reproducible.
        self._ready: dict[str, Pool] = {}

    def __iter__(self) -> Iterator[Pool]:
        """Iterate over all pools."""
        return iter(self._pool_by_key.values())

    def get(self, key: str) -> Pool:
        """Return a pool; it is created if it does not exist."""
        pool = self._pool_by_key.get(key)
        if pool is None:
            queue: RankedQueue[RequestEntity] = RankedQueue(self._settings.queue)
            classifier = CostClassifier(self._settings.cost)
            pool = Pool(key, queue, classifier, make_headroom(self._settings.queue))
            self._pool_by_key[key] = pool
        return pool

    def find(self, key: str) -> Pool | None:
        """Return a pool if it exists."""
        return self._pool_by_key.get(key)

    def set_endpoints(self, records: Iterable[EndpointRecord]) -> None:
        """Replace the endpoints of every pool."""
        for pool in self:
            pool.slots = 0.0
            pool.no_route = None
            pool.headroom.reset()
        self._pools_by_endpoint = {}
        for record in records:
            pools = tuple(self.get(key) for key in _served_keys(record))
            self._pools_by_endpoint[record.endpoint_id] = pools
            for pool in pools:
                pool.slots += _slots_of(record)
        for pool in self:
            self.reopen(pool)

    def reopen(self, pool: Pool) -> None:
        """Clear the blocked flags of a pool and mark it ready."""
        pool.open()
        self.mark_ready(pool)

    def reopen_endpoint(self, endpoint_id: EndpointId) -> None:
        """Reopen the pools of an endpoint after one of its slots became free."""
        for pool in self._pools_by_endpoint.get(endpoint_id, ()):
            self.reopen(pool)

    def mark_ready(self, pool: Pool) -> None:
        """Schedule a pool for the next dispatch if requests are waiting in it."""
        if pool.has_waiting():
            self._ready[pool.key] = pool

    def drain_ready(self) -> list[Pool]:
        """Return the pools that are ready and clear the list."""
        ready = list(self._ready.values())
        self._ready.clear()
        return ready


def _served_keys(record: EndpointRecord) -> list[str]:
    """Return the keys of the pools that an endpoint belongs to."""
    if record.kind is EndpointKind.SERVICE:
        return [f"service/{record.service}"]
    return [f"model/{model_id}" for model_id in record.models]


def _slots_of(record: EndpointRecord) -> float:
    """Return the endpoint's slots; a stage counts in proportion to its layers."""
    if record.layers is None or not record.layer_count:
        return float(record.slots)
    held = record.layers.end - record.layers.first
    return record.slots * held / record.layer_count
