"""Work that this gateway has started lately, for load reports and as a sample of all gateways."""

from __future__ import annotations

from collections import deque

from lagoonwing_catalog.messages import DomainTransfers
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import ServiceId
from lagoonwing_gateway.const import (
    MAX_UNREPORTED_S,
    STARTED_BUCKET_S,
    STARTED_RATE_WINDOW_S,
)
from lagoonwing_placement import DomainLink

_KEPT_S = max(MAX_UNREPORTED_S, STARTED_RATE_WINDOW_S)


class StartedWork:
    """Sums up started work over the last moments."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._cost_by_service: dict[ServiceId, _RecentSum] = {}
        self._transfer_ms_by_link: dict[DomainLink, _RecentSum] = {}

    @callback
    def record_request(self, service_id: ServiceId, cost: float) -> None:
        """Record a request that is about to be sent."""
        recent = self._cost_by_service.setdefault(service_id, _RecentSum())
        recent.add(cost, self._clock.now())

    @callback
    def record_transfers(self, links: tuple[DomainLink, ...], transfer_ms: float) -> None:
        """Record the transfer of a prompt over links."""
        now = self._clock.now()
        for link in links:
            self._transfer_ms_by_link.setdefault(link, _RecentSum()).add(transfer_ms, now)

    def cost_since(self, service_id: ServiceId, seconds: float) -> float:
        """Return the cost of the requests started within the last seconds."""
        recent = self._cost_by_service.get(service_id)
        return 0.0 if recent is None else recent.total_since(self._clock.now() - seconds)

    def mean_age_s(self, service_id: ServiceId, seconds: float) -> float:
        """Return the mean time since the requests started within the last seconds, by cost."""
        now = self._clock.now()
        recent = self._cost_by_service.get(service_id)
        return 0.0 if recent is None else recent.mean_age_since(now - seconds, now)

    def cost_per_s(self) -> dict[ServiceId, float]:
        """Return the started cost per second of each service with recent starts."""
        since = self._clock.now() - STARTED_RATE_WINDOW_S
        totals = {
            service_id: recent.total_since(since)
            for service_id, recent in self._cost_by_service.items()
        }
        return {
            service_id: total / STARTED_RATE_WINDOW_S
            for service_id, total in totals.items()
            if total > 0.0
        }

    def transfers(self) -> tuple[DomainTransfers, ...]:
        """Return the transfer time started per second on each link with recent transfers."""
        since = self._clock.now() - STARTED_RATE_WINDOW_S
        totals = (
            (link, recent.total_since(since)) for link, recent in self._transfer_ms_by_link.items()
        )
        return tuple(
            DomainTransfers(link.source, link.target, total / STARTED_RATE_WINDOW_S)
            for link, total in totals
            if total > 0.0
        )


class _RecentSum:
    """Amounts of the last moments, added up in short buckets."""

    def __init__(self) -> None:
        self._buckets: deque[tuple[float, float]] = deque()

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        buckets = self._buckets
        while buckets and buckets[0][0] < now - _KEPT_S - STARTED_BUCKET_S:
            buckets.popleft()
        if buckets and now < buckets[-1][0] + STARTED_BUCKET_S:
            begun_at, total = buckets[-1]
            buckets[-1] = (begun_at, total + amount)
        else:
            buckets.append((now, amount))

    def mean_age_since(self, since: float, now: float) -> float:
        """Return the mean age of the amounts in the buckets that began after a time."""
        recent = [
            (now - begun_at, amount) for begun_at, amount in self._buckets if begun_at >= since
        ]
        total = sum(amount for _, amount in recent)
        return sum(age_s * amount for age_s, amount in recent) / total if total else 0.0

    def total_since(self, since: float) -> float:
        """Return the total of the buckets that began after a time."""
        total = 0.0
        for begun_at, amount in reversed(self._buckets):
            if begun_at < since:
                break
            total += amount
        return total
