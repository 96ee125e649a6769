"""Room that a late load report shows to several entry hosts at once."""

from __future__ import annotations

from lagoonwing_core.ids import EndpointId
from lagoonwing_policy.models import EndpointLoad


def test_entry_hosts_that_saw_the_same_room_do_not_each_take_all_of_it(make_cell) -> None:
    """Four hosts with work for all slots start hardly more than the endpoint has."""
    cells = [make_cell() for _ in range(4)]
    for cell in cells:
        cell.scheduler.set_entry_hosts(4)
        cell.add_endpoints(e1=16)
        cell.add_member("acme")
        cell.submit("first")
        cell.tick()
    for cell in cells:
        cell.scheduler.report_load(EndpointLoad(EndpointId("e1"), 4, 0, 0, reported=0.0))
        for number in range(30):
            cell.submit(f"r{number}")
        cell.run_for(0.2)
    in_flight = sum(cell.scheduler.in_flight(EndpointId("e1")) for cell in cells)
    assert 16 <= in_flight <= 16 + len(cells)


def test_one_busy_host_borrows_what_the_others_leave(make_cell) -> None:
    """Over a few reports one host takes the room that the others don't use, but the last slot."""
    cell = make_cell()
    cell.scheduler.set_entry_hosts(4)
    cell.add_endpoints(e1=16)
    cell.add_member("acme")
    for number in range(30):
        cell.submit(f"r{number}")
    for _ in range(15):
        running = cell.scheduler.in_flight(EndpointId("e1"))
        cell.scheduler.report_load(EndpointLoad(EndpointId("e1"), running, 0, 0, cell.now))
        cell.run_for(0.2)
    assert cell.scheduler.in_flight(EndpointId("e1")) == 15


def test_idle_endpoint_goes_before_a_full_one(make_cell) -> None:
    """Work does not queue in an engine that is known to be full while another one is idle."""
    cell = make_cell()
    cell.scheduler.set_entry_hosts(4)
    cell.add_endpoints(e1=8, e2=8)
    cell.add_member("acme")
    cell.scheduler.report_load(EndpointLoad(EndpointId("e1"), 8, 2, 0, reported=0.0))
    for number in range(2):
        cell.submit(f"r{number}")
    cell.tick()
    assert cell.scheduler.in_flight(EndpointId("e2")) == 2
