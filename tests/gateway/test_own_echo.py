"""Own load in the summaries of a new replica."""

from __future__ import annotations

from lagoonwing_catalog.messages import EndpointLoad, LoadReport, LoadSummary
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import EndpointId
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
