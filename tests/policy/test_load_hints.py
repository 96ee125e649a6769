"""Room that a late load report shows to several entry hosts at once."""

from __future__ import annotations

from lagoonwing_core.ids import EndpointId
from lagoonwing_policy.models import EndpointLoad


def test_entry_hosts_that_saw_the_same_room_do_not_each_take_all_of_it(make_harness) -> None:
    """Four hosts with work for all slots start hardly more than the endpoint has."""
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


def test_one_busy_host_borrows_what_the_others_leave(make_harness) -> None:
    """Over a few reports one host takes the room that the others don't use, but the last slot."""
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


def test_idle_endpoint_goes_before_a_full_one(make_harness) -> None:
    """Work does not queue in an engine that is known to be full while another one is idle."""
    harness = make_harness()
    harness.scheduler.set_entry_hosts(4)
    harness.add_endpoints(e1=8, e2=8)
    harness.add_member("acme")
    harness.scheduler.report_load(EndpointLoad(EndpointId("e1"), 8, 2, 0, reported=0.0))
    for number in range(2):
        harness.submit(f"r{number}")
    harness.tick()
    assert harness.scheduler.in_flight(EndpointId("e2")) == 2
