"""Capacity that a delayed load report shows to several entry hosts at once."""

from __future__ import annotations

from lagoonwing_core.ids import EndpointId
from lagoonwing_policy.models import EndpointLoad


def test_entry_hosts_with_the_same_report_do_not_each_use_all_of_the_room(make_harness) -> None:
    """Four hosts with work for all slots exceed the endpoint's slots by at most one each."""
    harnesses = [make_harness() for _ in range(4)]
    for harness in harnesses:
        harness.scheduler.set_entry_hosts(4)
        harness.add_endpoints(e1=16)
        harness.add_member("acme")
        harness.submit("first")
        harness.tick()
    for harness in harnesses:
        harness.scheduler.report_load(EndpointLoad(EndpointId("e1"), 4, 0, 0, reported=0.0))
        for number in range(30):
            harness.submit(f"r{number}")
        harness.run_for(0.2)
    in_flight = sum(harness.scheduler.in_flight(EndpointId("e1")) for harness in harnesses)
    assert 16 <= in_flight <= 16 + len(harnesses)


def test_busy_host_borrows_unused_capacity_of_others(make_harness) -> None:
    """Over several reports one host borrows all unused slots except the last one."""
    harness = make_harness()
    harness.scheduler.set_entry_hosts(4)
    harness.add_endpoints(e1=16)
    harness.add_member("acme")
    for number in range(30):
        harness.submit(f"r{number}")
    for _ in range(15):
        running = harness.scheduler.in_flight(EndpointId("e1"))
        harness.scheduler.report_load(EndpointLoad(EndpointId("e1"), running, 0, 0, harness.now))
        harness.run_for(0.2)
    assert harness.scheduler.in_flight(EndpointId("e1")) == 15


def test_idle_endpoint_is_preferred_to_a_full_one(make_harness) -> None:
    """Work is not sent to an engine that is known to be full while another one is idle."""
    harness = make_harness()
    harness.scheduler.set_entry_hosts(4)
    harness.add_endpoints(e1=8, e2=8)
    harness.add_member("acme")
    harness.scheduler.report_load(EndpointLoad(EndpointId("e1"), 8, 2, 0, reported=0.0))
    for number in range(2):
        harness.submit(f"r{number}")
    harness.tick()
    assert harness.scheduler.in_flight(EndpointId("e2")) == 2
