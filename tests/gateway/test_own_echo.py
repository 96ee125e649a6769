"""Own load in the summaries of a new replica."""

from __future__ import annotations

from lagoonwing_catalog.messages import (
    DomainTransfers,
    EndpointLoad,
    LoadReport,
    LoadSummary,
    ServicePressure,
)
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import EndpointId, FailureDomainId, ServiceId
from lagoonwing_gateway._own_echo import OwnEcho

ENDPOINT = EndpointId("e")
OWN = LoadReport({ENDPOINT: EndpointLoad(3, 300, 30)})
WITH_ECHO = LoadSummary(
    {ENDPOINT: EndpointLoad(5, 500, 40), EndpointId("f"): EndpointLoad(1, 1, 1)}
)


def test_own_load_that_a_lost_replica_reported_is_removed() -> None:
    """After a replica is lost, its last report of this gateway must not count beside own load."""
    echo = OwnEcho(ManualClock())
    echo.record_report(OWN)
    assert echo.without_echo(WITH_ECHO) == WITH_ECHO
    echo.record_lost_replica(0.0)
    summary = echo.without_echo(WITH_ECHO)
    assert summary.load_by_id[ENDPOINT] == EndpointLoad(2, 200, 10)
    assert summary.load_by_id[EndpointId("f")] == EndpointLoad(1, 1, 1)


def test_refused_subscription_does_not_hide_the_echo() -> None:
    """A second replica that refuses the gateway got no report; the first one's still counts."""
    echo = OwnEcho(ManualClock())
    echo.record_report(OWN)
    echo.record_lost_replica(0.0)
    echo.record_lost_replica(0.1)
    assert echo.without_echo(WITH_ECHO).load_by_id[ENDPOINT] == EndpointLoad(2, 200, 10)


def test_echo_ends_with_the_loads_of_the_lost_replica() -> None:
    """The others drop the loads 2.5 s after the replica's last message; then nothing is removed."""
    clock = ManualClock()
    echo = OwnEcho(clock)
    echo.record_report(OWN)
    echo.record_lost_replica(0.0)
    clock.advance(2.5)
    assert echo.without_echo(WITH_ECHO) == WITH_ECHO
    # Load that has ended is never counted below zero.
    echo.record_report(OWN)
    echo.record_lost_replica(2.5)
    small = LoadSummary({ENDPOINT: EndpointLoad(1, 100, 50)})
    assert echo.without_echo(small).load_by_id[ENDPOINT] == EndpointLoad(0, 0, 20)


def test_own_demand_that_a_lost_replica_reported_is_removed() -> None:
    """Own waiting requests and starts counted as those of others too, which refused new ones."""
    service_id = ServiceId("s")
    link = (FailureDomainId("a"), FailureDomainId("b"))
    echo = OwnEcho(ManualClock())
    echo.record_report(
        LoadReport(
            {},
            pressure_by_service={service_id: ServicePressure(100.0, {0: 500.0, 1: 50.0})},
            transfers=(DomainTransfers(*link, 30.0),),
        )
    )
    echo.record_lost_replica(0.0)
    summary = echo.without_echo(
        LoadSummary(
            {},
            pressure_by_service={service_id: ServicePressure(300.0, {0: 700.0, 1: 20.0, 2: 5.0})},
            transfers=(DomainTransfers(*link, 40.0),),
        )
    )
    assert summary.pressure_by_service == {
        service_id: ServicePressure(200.0, {0: 200.0, 1: 0.0, 2: 5.0})
    }
    assert summary.transfers == (DomainTransfers(*link, 10.0),)


def test_echoes_of_two_lost_replicas_are_both_removed() -> None:
    """A second loss within 2.5 s made the report to the first replica count as load of others."""
    clock = ManualClock()
    echo = OwnEcho(clock)
    echo.record_report(OWN)
    echo.record_lost_replica(0.0)
    clock.advance(1.0)
    echo.record_report(LoadReport({ENDPOINT: EndpointLoad(1, 100, 5)}))
    echo.record_lost_replica(1.0)
    assert echo.without_echo(WITH_ECHO).load_by_id[ENDPOINT] == EndpointLoad(1, 100, 5)
    clock.advance(1.5)
    assert echo.without_echo(WITH_ECHO).load_by_id[ENDPOINT] == EndpointLoad(4, 400, 35)
    clock.advance(1.0)
    assert echo.without_echo(WITH_ECHO) == WITH_ECHO
