"""Issues permits for requests to endpoints that named a limit.

Only the leader issues, so the permits of all gateways together stay within the limit.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from lagoonwing_catalog.messages import (
    IssuedPermit,
    PermitDemand,
    PermitGrant,
    ServiceGrant,
)
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, FailureDomainId, HostId, ServiceId
from lagoonwing_registry._permit_demands import ServiceDemands
from lagoonwing_registry.const import (
    ISSUED_SHARE,
    MIN_PERMIT_RATE,
    PERMIT_BURST_S,
)


@dataclass(frozen=True, slots=True)
class LimitedEndpoint:
    """An endpoint that takes a limited rate of requests.

    Attributes:
        rate: Requests per second that it named.
    """

    endpoint_id: EndpointId
    failure_domain: FailureDomainId
    rate: float


@dataclass(slots=True)
class _Bucket:
    """Permits of one endpoint that can be issued.

    Attributes:
        level: Permits, possibly a fraction of one.
        rate: Permits per second.
    """

    rate: float
    updated_at: float
    level: float = 0.0

    @property
    def capacity(self) -> float:
        """Most permits that can be saved up."""
        return max(1.0, self.rate * PERMIT_BURST_S)

    def due_s(self, number: int) -> float:
        """Return the time from now at which the next permits, so many of them, are there."""
        return max(0.0, (number - self.level) / self.rate)

    def refill(self, named_rate: float, now: float) -> None:
        """Add the permits of the time that has passed."""
        self.level += (now - self.updated_at) * self.rate
        self.updated_at = now
        self.rate = max(MIN_PERMIT_RATE, named_rate * ISSUED_SHARE)
        self.level = min(self.level, self.capacity)


class PermitIssuer:
    """Divides the limits of endpoints among the gateways, one permit at a time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._bucket_by_id: dict[EndpointId, _Bucket] = {}
        self._demands_by_service: dict[ServiceId, ServiceDemands] = {}
        self._number_by_gateway: dict[HostId, int] = {}

    @property
    def has_demand(self) -> bool:
        """Whether any gateway wants permits."""
        return bool(self._demands_by_service)

    @callback
    def clear(self) -> None:
        """Forget everything; another replica issues from now on."""
        self._bucket_by_id.clear()
        self._demands_by_service.clear()
        self._number_by_gateway.clear()

    @callback
    def update(self, gateway_id: HostId, domain: FailureDomainId, demand: PermitDemand) -> None:
        """Store what a gateway wants."""
        now = self._clock.now()
        self._number_by_gateway[gateway_id] = demand.number
        for service_id, service_demand in demand.demand_by_service.items():
            demands = self._demands_by_service.setdefault(service_id, ServiceDemands())
            demands.update(gateway_id, domain, service_demand, now)

    @callback
    def issue(
        self,
        limited_by_service: Mapping[ServiceId, Sequence[LimitedEndpoint]],
        answered_ids: frozenset[HostId] = frozenset(),
    ) -> dict[HostId, PermitGrant]:
        """Issue the permits that are due; return the grants by gateway.

        Args:
            limited_by_service: Limited endpoints at which requests may enter.
            answered_ids: Gateways that get a grant even if it holds no permits.
        """
        now = self._clock.now()
        self._refill(limited_by_service, now)
        grants: defaultdict[HostId, dict[ServiceId, ServiceGrant]] = defaultdict(dict)
        for service_id, demands in list(self._demands_by_service.items()):
            demands.expire(now)
            if not demands.state_by_gateway:
                del self._demands_by_service[service_id]
                continue
            endpoints = limited_by_service.get(service_id, ())
            permits_by_gateway = self._issue_for(demands, endpoints, now)
            receivers = answered_ids & demands.state_by_gateway.keys() | permits_by_gateway.keys()
            if not receivers:
                continue
            promises = demands.promises(self._due_s(endpoints, demands.longest_patience_s))
            backlog_s = self._backlog_s(demands.total() + 1, endpoints)
            for gateway_id in sorted(receivers):
                grants[gateway_id][service_id] = ServiceGrant(
                    tuple(permits_by_gateway.get(gateway_id, ())),
                    promises.get(gateway_id, {}),
                    backlog_s,
                )
        return {
            gateway_id: PermitGrant(self._number_by_gateway.get(gateway_id, 0), grant)
            for gateway_id, grant in grants.items()
        }

    def _issue_for(
        self, demands: ServiceDemands, endpoints: Sequence[LimitedEndpoint], now: float
    ) -> dict[HostId, list[IssuedPermit]]:
        """Issue permits of one service until they or the wants run out."""
        permits_by_gateway: defaultdict[HostId, list[IssuedPermit]] = defaultdict(list)
        ready = [
            endpoint
            for endpoint in endpoints
            if self._bucket_by_id[endpoint.endpoint_id].level >= 1
        ]
        while ready:
            want = demands.take_next()
            if want is None:
                break
            state = demands.state_by_gateway[want.gateway_id]
            endpoint = max(ready, key=lambda candidate: self._preference(candidate, state.domain))
            bucket = self._bucket_by_id[endpoint.endpoint_id]
            bucket.level -= 1
            if bucket.level < 1:
                ready.remove(endpoint)
            state.in_transit += 1
            state.issued_at = now
            permit = IssuedPermit(endpoint.endpoint_id, want.member_id)
            permits_by_gateway[want.gateway_id].append(permit)
        return permits_by_gateway

    def _due_s(self, endpoints: Sequence[LimitedEndpoint], horizon_s: float) -> list[float]:
        """Return the times from now at which permits can be issued, up to a horizon."""
        due_s: list[float] = []
        for endpoint in endpoints:
            bucket = self._bucket_by_id[endpoint.endpoint_id]
            count = math.floor(bucket.level + bucket.rate * horizon_s)
            due_s.extend(bucket.due_s(number) for number in range(1, count + 1))
        return sorted(due_s)

    def _backlog_s(self, requests: int, endpoints: Sequence[LimitedEndpoint]) -> float:
        """Return the time until a number of requests have got permits."""
        buckets = [self._bucket_by_id[endpoint.endpoint_id] for endpoint in endpoints]
        rate = sum(bucket.rate for bucket in buckets)
        missing = requests - sum(bucket.level for bucket in buckets)
        return max(0.0, missing / rate) if rate else math.inf

    def _preference(self, endpoint: LimitedEndpoint, domain: FailureDomainId) -> tuple[bool, float]:
        """Return the sort key of an endpoint: own failure domain first, then permits left."""
        return endpoint.failure_domain == domain, self._bucket_by_id[endpoint.endpoint_id].level

    def _refill(
        self, limited_by_service: Mapping[ServiceId, Sequence[LimitedEndpoint]], now: float
    ) -> None:
        """Refill the buckets of limited endpoints and discard all others."""
        rate_by_id = {
            endpoint.endpoint_id: endpoint.rate
            for endpoints in limited_by_service.values()
            for endpoint in endpoints
        }
        for endpoint_id in self._bucket_by_id.keys() - rate_by_id.keys():
            del self._bucket_by_id[endpoint_id]
        for endpoint_id, rate in rate_by_id.items():
            bucket = self._bucket_by_id.setdefault(endpoint_id, _Bucket(0.0, now))
            bucket.refill(rate, now)
