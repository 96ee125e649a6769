"""Sums of load reports: what a gateway learns of the others."""

from __future__ import annotations

import msgspec

from lagoonwing_catalog.messages import (
    CATALOG_DECODER,
    DomainTransfers,
    EndpointLoad,
    LoadReport,
    ServicePressure,
)
from lagoonwing_core.ids import EndpointId, FailureDomainId, ServiceId
from lagoonwing_registry._load_totals import LoadTotals, lowest_slowdowns

ENDPOINT = EndpointId("e-1")
SERVICE = ServiceId("models")


def make_report(started: float, waiting: dict[int, float], slowdown: float) -> LoadReport:
    """Return a report of one gateway."""
    transfers = DomainTransfers(FailureDomainId("a"), FailureDomainId("b"), started / 10)
    return LoadReport(
        {ENDPOINT: EndpointLoad(1, 100, 20)},
        (),
        {SERVICE: ServicePressure(started, waiting)},
        {ENDPOINT: slowdown},
        (transfers,),
    )


def test_own_report_is_not_in_the_load_of_the_others() -> None:
    """A gateway that counted its own work twice would take busy endpoints for full ones."""
    own, other = make_report(0.1, {1: 0.3}, 2.0), make_report(0.2, {0: 5.0}, 3.0)
    totals = LoadTotals()
    for report in (own, other):
        totals.add(report)
    totals.add(own, -1)
    summary = totals.summary((), {})
    assert summary.load_by_id == other.load_by_id
    pressure = summary.pressure_by_service[SERVICE]
    assert abs(pressure.started_cost_per_s - 0.2) < 1e-9
    assert pressure.waiting_cost_by_rank == {0: 5.0}
    assert [round(transfers.started_ms_per_s, 6) for transfers in summary.transfers] == [0.02]


def test_nothing_is_left_of_subtracted_reports() -> None:
    """Rounding errors must not look like waiting requests, which hold back less urgent ones."""
    report = make_report(0.1 + 0.2, {0: 0.1, 2: 0.7}, 1.0)
    totals = LoadTotals()
    for _ in range(3):
        totals.add(report)
    for _ in range(3):
        totals.add(report, -1)
    summary = totals.summary((), {})
    assert (summary.load_by_id, summary.pressure_by_service, summary.transfers) == ({}, {}, ())


def test_one_fast_observation_clears_an_endpoint() -> None:
    """A gateway whose paths all cross a slow endpoint must not make the others look slow."""
    reports = [make_report(1.0, {}, slowdown) for slowdown in (4.0, 1.1, 6.0)]
    assert lowest_slowdowns(reports) == {ENDPOINT: 1.1}


def test_report_of_an_older_gateway_is_understood() -> None:
    """During a rolling upgrade gateways of two versions report to one registry."""
    older = msgspec.msgpack.encode([24, {"e-1": [1, 100, 20]}, []])
    assert CATALOG_DECODER.decode(older) == LoadReport({ENDPOINT: EndpointLoad(1, 100, 20)})
