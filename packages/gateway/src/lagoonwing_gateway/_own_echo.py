"""Own load that a summary still contains after the gateway has changed to another replica."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from lagoonwing_catalog.messages import (
    DomainTransfers,
    EndpointLoad,
    LoadReport,
    LoadSummary,
    ServicePressure,
)
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_gateway.const import REPLICA_LOAD_TTL_S


class OwnEcho:
    """Removes own load and demand from the summaries of a new replica.

    A replica leaves the report of a gateway out of the summary for it. A lost replica can't
    withdraw the report, so the others count it until the loads of that replica expire.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._report = LoadReport({})
        # Last reports to lost replicas, with the time until which the others count them.
        self._echoes: list[tuple[float, LoadReport]] = []

    @callback
    def record_report(self, report: LoadReport) -> None:
        """Record a report that is sent to the current replica."""
        self._report = report

    @callback
    def record_lost_replica(self, last_message_at: float) -> None:
        """Record that the replica is lost that got the last report."""
        report = self._report
        if not (report.load_by_id or report.pressure_by_service or report.transfers):
            # A replica that refused the subscription got none.
            return
        self._echoes.append((last_message_at + REPLICA_LOAD_TTL_S, report))
        self._report = LoadReport({})

    def without_echo(self, summary: LoadSummary) -> LoadSummary:
        """Return a summary without own load and demand."""
        now = self._clock.now()
        self._echoes = [(until, echo) for until, echo in self._echoes if now < until]
        for _, echo in self._echoes:
            summary = _subtract(summary, echo)
        return summary


def _subtract(summary: LoadSummary, echo: LoadReport) -> LoadSummary:
    """Return a summary without an own report."""
    return msgspec.structs.replace(
        summary,
        load_by_id=_subtract_loads(summary.load_by_id, echo.load_by_id),
        pressure_by_service=_subtract_pressures(
            summary.pressure_by_service, echo.pressure_by_service
        ),
        transfers=_subtract_transfers(summary.transfers, echo.transfers),
    )


def _subtract_loads(
    load_by_id: Mapping[EndpointId, EndpointLoad], echo_by_id: Mapping[EndpointId, EndpointLoad]
) -> dict[EndpointId, EndpointLoad]:
    """Return loads without own ones; own load that has ended is never counted below zero."""
    remaining = dict(load_by_id)
    for endpoint_id, echo in echo_by_id.items():
        load = load_by_id.get(endpoint_id)
        if load is not None:
            remaining[endpoint_id] = EndpointLoad(
                max(0, load.sequences - echo.sequences),
                max(0, load.kv_token_layers - echo.kv_token_layers),
                max(0, load.prefill_ms - echo.prefill_ms),
            )
    return remaining


def _subtract_pressures(
    pressure_by_service: Mapping[ServiceId, ServicePressure],
    echo_by_service: Mapping[ServiceId, ServicePressure],
) -> dict[ServiceId, ServicePressure]:
    """Return the demand for services without own demand."""
    remaining = dict(pressure_by_service)
    for service_id, echo in echo_by_service.items():
        pressure = pressure_by_service.get(service_id)
        if pressure is not None:
            remaining[service_id] = ServicePressure(
                max(0.0, pressure.started_cost_per_s - echo.started_cost_per_s),
                {
                    rank: max(0.0, cost - echo.waiting_cost_by_rank.get(rank, 0.0))
                    for rank, cost in pressure.waiting_cost_by_rank.items()
                },
            )
    return remaining


def _subtract_transfers(
    transfers: Iterable[DomainTransfers], echo: Iterable[DomainTransfers]
) -> tuple[DomainTransfers, ...]:
    """Return the transfers between failure domains without own transfers."""
    echo_by_pair = {(own.source, own.target): own.started_ms_per_s for own in echo}
    return tuple(
        DomainTransfers(
            total.source,
            total.target,
            max(0.0, total.started_ms_per_s - echo_by_pair.get((total.source, total.target), 0.0)),
        )
        for total in transfers
    )
