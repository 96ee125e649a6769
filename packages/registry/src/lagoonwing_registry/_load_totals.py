"""Sums of the loads that gateways report."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lagoonwing_catalog.messages import (
    DomainTransfers,
    EndpointLoad,
    LoadReport,
    LoadSummary,
    ReplicaLoad,
    ServicePressure,
)
from lagoonwing_core.ids import EndpointId, FailureDomainId, ServiceId

# Sums below this are what remains of rounding after a report was subtracted.
MIN_TOTAL = 1e-6

_DomainPair = tuple[FailureDomainId, FailureDomainId]


@dataclass(slots=True)
class LoadTotals:
    """Sum of reports, with addition and subtraction."""

    sequences_by_id: dict[EndpointId, int] = field(default_factory=dict)
    kv_by_id: dict[EndpointId, int] = field(default_factory=dict)
    prefill_by_id: dict[EndpointId, int] = field(default_factory=dict)
    started_by_service: dict[ServiceId, float] = field(default_factory=dict)
    waiting_by_service: dict[ServiceId, dict[int, float]] = field(default_factory=dict)
    transfers_by_pair: dict[_DomainPair, float] = field(default_factory=dict)

    def add(self, report: LoadReport | ReplicaLoad, sign: int = 1) -> None:
        """Add a report; subtract it if `sign` is -1."""
        for endpoint_id, load in report.load_by_id.items():
            for table, amount in (
                (self.sequences_by_id, load.sequences),
                (self.kv_by_id, load.kv_token_layers),
                (self.prefill_by_id, load.prefill_ms),
            ):
                table[endpoint_id] = table.get(endpoint_id, 0) + sign * amount
        for service_id, pressure in report.pressure_by_service.items():
            started = self.started_by_service.get(service_id, 0.0)
            self.started_by_service[service_id] = started + sign * pressure.started_cost_per_s
            waiting = self.waiting_by_service.setdefault(service_id, {})
            for rank, cost in pressure.waiting_cost_by_rank.items():
                waiting[rank] = waiting.get(rank, 0.0) + sign * cost
        for transfers in report.transfers:
            pair = (transfers.source, transfers.target)
            rate = self.transfers_by_pair.get(pair, 0.0)
            self.transfers_by_pair[pair] = rate + sign * transfers.started_ms_per_s

    def loads(self) -> dict[EndpointId, EndpointLoad]:
        """Return the non-zero loads."""
        return {
            endpoint_id: EndpointLoad(
                sequences, self.kv_by_id[endpoint_id], self.prefill_by_id[endpoint_id]
            )
            for endpoint_id, sequences in self.sequences_by_id.items()
            if sequences or self.kv_by_id[endpoint_id] or self.prefill_by_id[endpoint_id]
        }

    def pressures(self) -> dict[ServiceId, ServicePressure]:
        """Return the non-zero demand by service."""
        pressures: dict[ServiceId, ServicePressure] = {}
        for service_id, started in self.started_by_service.items():
            waiting = _without_rounding(self.waiting_by_service[service_id])
            if waiting or started > MIN_TOTAL:
                pressures[service_id] = ServicePressure(max(0.0, started), waiting)
        return pressures

    def transfers(self) -> tuple[DomainTransfers, ...]:
        """Return the non-zero transfers between failure domains."""
        return tuple(
            DomainTransfers(source, target, rate)
            for (source, target), rate in self.transfers_by_pair.items()
            if rate > MIN_TOTAL
        )

    def summary(
        self, suspects: tuple[EndpointId, ...], slowdown_by_id: dict[EndpointId, float]
    ) -> LoadSummary:
        """Return the message for a gateway."""
        return LoadSummary(
            self.loads(), suspects, self.pressures(), slowdown_by_id, self.transfers()
        )


def lowest_slowdowns(reports: Iterable[LoadReport | ReplicaLoad]) -> dict[EndpointId, float]:
    """Return the lowest slowdown of each endpoint: one fast stream shows that it isn't slow."""
    lowest: dict[EndpointId, float] = {}
    for report in reports:
        for endpoint_id, slowdown in report.slowdown_by_id.items():
            lowest[endpoint_id] = min(slowdown, lowest.get(endpoint_id, slowdown))
    return lowest


def _without_rounding(cost_by_rank: Mapping[int, float]) -> dict[int, float]:
    """Return the costs that are more than a rounding error."""
    return {rank: cost for rank, cost in cost_by_rank.items() if cost > MIN_TOTAL}
