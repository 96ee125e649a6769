"""Tests of endpoint gossip, expiry, leaves, conflicts, pauses and host states."""

from __future__ import annotations

import msgspec
import pytest

from bench.membership_network import DECODER, Network, make_record
from lagoonwing_core.ids import HostId, Incarnation
from lagoonwing_core.models import EndpointState
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_membership import EndpointConflict, HostState
from lagoonwing_membership._endpoints import EndpointTable
from lagoonwing_membership.models import AgedRecord, Header, Push


def _joined(size: int = 4, **options) -> Network:
    network = Network(size, **options)
    network.run(2.0)
    return network


def _renew(network: Network, name: str, hosts: list[int], seconds: float, start: int = 2) -> int:
    """Announce an endpoint every 0.8 s to the hosts round-robin; return the next sequence."""
    sequence = start
    end = network.now + seconds
    while network.now < end - 1e-9:
        network.host(hosts[sequence % len(hosts)]).announce(
            make_record(name, sequence=sequence), network.now
        )
        sequence += 1
        network.run(0.8)
    return sequence


def test_announcement_reaches_every_host() -> None:
    """An announcement to one host reaches all hosts within a few ticks."""
    network = _joined()
    assert network.host(0).announce(make_record("a"), network.now).is_ok()
    network.run(0.3)
    assert all(network.routable_endpoints(number) == {"a"} for number in range(4))


def test_silent_endpoint_expires_within_3_s_everywhere() -> None:
    """An endpoint is ineligible for work at all hosts 3 s after its last announcement."""
    network = _joined()
    _renew(network, "a", [0], 4.0)
    last_announced = network.now - 0.8
    network.run(last_announced + 3.0 - network.now)
    assert all(network.routable_endpoints(number) == set() for number in range(4))


def test_renewed_endpoint_stays_live() -> None:
    """Renewals to one host keep an endpoint live at all hosts on a lossy network."""
    network = _joined(loss=0.1, duplication=0.1, max_delay=0.1, seed=3)
    sequence = _renew(network, "a", [2], 4.0)
    for _ in range(20):
        sequence = _renew(network, "a", [2], 0.8, sequence)
        assert all(network.routable_endpoints(number) == {"a"} for number in range(4))


def test_endpoint_may_announce_to_any_host_in_turn() -> None:
    """An endpoint may announce to a different host each time."""
    network = _joined()
    sequence = _renew(network, "a", [0, 1, 2, 3], 4.0)
    for _ in range(8):
        sequence = _renew(network, "a", [0, 1, 2, 3], 0.8, sequence)
        assert all(network.routable_endpoints(number) == {"a"} for number in range(4))


def test_leave_is_final_for_its_incarnation() -> None:
    """After a leave, any announcement of the incarnation is refused; a new one is accepted."""
    network = _joined()
    _renew(network, "a", [0], 2.4)
    leave = make_record("a", sequence=20, state=EndpointState.LEAVING)
    assert network.host(1).announce(leave, network.now).is_ok()
    network.run(0.3)
    for number in range(4):
        assert network.routable_endpoints(number) == set()
        for sequence in (3, 19, 20, 21):
            late = network.host(number).announce(make_record("a", 1, sequence), network.now)
            assert late.error.code is ResultCode.ENDPOINT_REFUSED
    network.run(0.3)
    assert all(network.routable_endpoints(number) == set() for number in range(4))
    assert network.host(3).announce(make_record("a", incarnation=2), network.now).is_ok()
    assert network.routable_endpoints(3) == {"a"}
    network.run(0.3)
    assert all(network.routable_endpoints(number) == {"a"} for number in range(4))


def test_leave_is_relayed_around_a_failed_link() -> None:
    """A leave reaches a host through third hosts if the direct link is down."""
    network = _joined()
    _renew(network, "a", [0, 1], 2.4)
    host_ids = [network.addresses[0].host_id, network.addresses[3].host_id]
    network.partitioned |= {(host_ids[0], host_ids[1]), (host_ids[1], host_ids[0])}
    network.run(0.1)
    network.host(0).announce(make_record("a", 1, 50, EndpointState.LEAVING), network.now)
    network.run(0.5)
    assert all(network.routable_endpoints(number) == set() for number in range(4))


def test_partitioned_hosts_expire_an_endpoint_that_left() -> None:
    """Hosts that a leave can't reach stop using the endpoint within 3 s, as it expires."""
    network = _joined()
    _renew(network, "a", [0, 1], 2.4)
    network.partition(0)
    last_announced = network.now
    network.host(1).announce(make_record("a", sequence=30), network.now)
    network.run(0.1)
    network.host(0).announce(make_record("a", 1, 31, EndpointState.LEAVING), network.now)
    assert network.routable_endpoints(0) == set()
    network.run(last_announced + 3.0 - network.now)
    assert all(network.routable_endpoints(number) == set() for number in range(4))
    network.heal()
    network.run(5.0)
    late = network.host(3).announce(make_record("a", sequence=40), network.now)
    assert late.error.code is ResultCode.ENDPOINT_REFUSED


def test_restarted_host_ignores_announcements_from_before_a_leave() -> None:
    """A restarted host learns of leaves before it lists any endpoint."""
    network = _joined()
    _renew(network, "a", [0], 2.4)
    network.host(0).announce(make_record("a", 1, 20, EndpointState.LEAVING), network.now)
    network.run(0.5)
    network.start(2, incarnation=2000)
    network.step()
    network.host(2).announce(make_record("a", sequence=15), network.now)
    for _ in range(60):
        network.step()
        assert all(network.routable_endpoints(number) == set() for number in range(4))


def test_higher_incarnation_from_a_second_address_is_accepted() -> None:
    """An endpoint that moves with a higher incarnation replaces the old one at once."""
    network = _joined()
    _renew(network, "a", [0], 2.4)
    moved = make_record("a", incarnation=2, port=9001)
    assert network.host(1).announce(moved, network.now).is_ok()
    network.run(0.3)
    old = network.host(0).announce(make_record("a", sequence=99), network.now)
    assert old.error.code is ResultCode.ENDPOINT_REFUSED
    for number in range(4):
        assert [record.port for record in network.host(number).endpoints(network.now)] == [9001]


def test_equal_incarnation_from_a_second_address_is_refused() -> None:
    """A second address of the same incarnation is refused with an event, at any host."""
    network = _joined()
    _renew(network, "a", [0], 2.4)
    network.host(2).events()
    second = network.host(2).announce(make_record("a", sequence=99, port=9001), network.now)
    assert second.error.code is ResultCode.ENDPOINT_REFUSED
    assert any(isinstance(event, EndpointConflict) for event in network.host(2).events())
    network.run(0.3)
    for number in range(4):
        assert [record.port for record in network.host(number).endpoints(network.now)] == [9000]


def test_conflicting_addresses_converge_after_a_partition() -> None:
    """After a partition, all hosts keep the same address of two equal incarnations."""
    network = _joined()
    network.partition(0, 1)
    for sequence in range(2, 12):
        network.host(0).announce(make_record("a", sequence=sequence, port=9001), network.now)
        network.host(2).announce(make_record("a", sequence=sequence + 5), network.now)
        if sequence == 6:
            network.heal()
        network.run(0.8)
    for number in range(4):
        assert [record.port for record in network.host(number).endpoints(network.now)] == [9000]


def test_resumed_host_lists_no_endpoint_that_expired_during_the_pause() -> None:
    """After SIGCONT, neither table entries nor messages queued in the socket count as fresh."""
    network = _joined()
    sequence = _renew(network, "a", [1], 2.4)
    network.pause(0)
    _renew(network, "a", [1], 4.0, sequence)
    network.run(3.0)
    assert network.routable_endpoints(0) == set()
    network.resume(0)
    for _ in range(80):
        assert network.routable_endpoints(0) == set()
        network.step()


def test_announcement_queued_during_a_pause_is_not_fresh() -> None:
    """The age of an announcement to a paused host counts from the pause, not from the read."""
    network = _joined()
    network.pause(0)
    network.run(5.0)
    network.paused.clear()
    assert network.host(0).announce(make_record("a"), network.now).is_ok()
    assert network.routable_endpoints(0) == set()
    network.run(0.8)
    assert network.host(0).announce(make_record("a", sequence=2), network.now).is_ok()
    assert network.routable_endpoints(0) == {"a"}


def test_paused_host_is_suspected_then_lost_then_alive() -> None:
    """A paused host becomes suspect and lost, and alive again once it resumes."""
    network = _joined()
    network.pause(0)
    seen = set()
    for _ in range(100):
        network.step()
        seen |= {view.state for view in network.host(1).hosts(network.now)}
    assert seen == set(HostState)
    network.resume(0)
    network.run(3.0)
    for number in range(4):
        views = network.host(number).hosts(network.now)
        assert {view.state for view in views} == {HostState.ALIVE}


def test_host_behind_one_failed_link_is_not_suspected() -> None:
    """Indirect probes avoid false suspicion if only one link to a host is down."""
    network = _joined()
    host_ids = [network.addresses[0].host_id, network.addresses[3].host_id]
    network.partitioned |= {(host_ids[0], host_ids[1]), (host_ids[1], host_ids[0])}
    for _ in range(200):
        network.step()
        for number in range(4):
            states = {view.state for view in network.host(number).hosts(network.now)}
            assert states == {HostState.ALIVE}


def test_messages_and_tables_are_bounded() -> None:
    """Many endpoints are split over several messages; an oversize record is refused."""
    network = _joined(size=2)
    big = make_record("x" * 5000)
    assert network.host(0).announce(big, network.now).error.code is ResultCode.MESSAGE_TOO_LARGE
    for number in range(600):
        network.host(0).announce(make_record(f"endpoint-{number:04}"), network.now)
    network.run(0.5)
    assert len(network.routable_endpoints(1)) == 600
    assert network.largest_message_bytes < 64 * 1024


def test_record_of_unbounded_age_rejects_older_announcements() -> None:
    """A record of unbounded age is not listed, but is kept and forwarded as a tombstone."""
    network = _joined()
    header = Header(Incarnation(5), Incarnation(0), 0, 0, 0)
    push = Push(header, (), (AgedRecord(make_record("a", sequence=5), 0),))
    network.host(0).receive(HostId("e9"), push, network.now)
    network.run(2.0)
    assert all(network.routable_endpoints(number) == set() for number in range(4))
    late = network.host(1).announce(make_record("a", sequence=4), network.now)
    assert late.error.code is ResultCode.ENDPOINT_REFUSED


def test_negative_age_is_refused() -> None:
    """A peer can't extend a record's TTL by sending a negative age."""
    header = Header(Incarnation(5), Incarnation(0), 0, 0, 0)
    body = msgspec.msgpack.encode(Push(header, (), (AgedRecord(make_record("a"), -1),)))
    with pytest.raises(msgspec.ValidationError):
        DECODER.decode(body)


def test_joining_host_receives_old_tombstones() -> None:
    """A starting host learns of leaves from minutes ago before it lists any endpoint."""
    network = _joined()
    _renew(network, "a", [0], 2.4)
    network.host(0).announce(make_record("a", 1, 20, EndpointState.LEAVING), network.now)
    network.run(120.0)
    network.start(2, incarnation=2000)
    network.run(2.0)
    late = network.host(2).announce(make_record("a", sequence=15), network.now)
    assert late.error.code is ResultCode.ENDPOINT_REFUSED


def test_conflict_resolution_does_not_depend_on_order() -> None:
    """The lower of two addresses is kept whichever record arrives first."""
    for ports in ((9000, 9001), (9001, 9000)):
        table = EndpointTable(2.8)
        for port in ports:
            table.merge_record(make_record("a", sequence=port, port=port), 10.0, 10.0)
        (entry,) = table.live(10.0)
        assert entry.record is not None
        assert entry.record.port == 9000


def test_renewals_are_pulled_around_a_failed_link() -> None:
    """A host cut off from the announced-to host pulls renewals from a third host."""
    network = _joined()
    _renew(network, "a", [0], 1.6)
    host_ids = [network.addresses[0].host_id, network.addresses[3].host_id]
    network.partitioned |= {(host_ids[0], host_ids[1]), (host_ids[1], host_ids[0])}
    sequence = 10
    for _ in range(20):
        sequence = _renew(network, "a", [0], 0.8, sequence)
        assert network.routable_endpoints(3) == {"a"}
