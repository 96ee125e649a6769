"""Membership: spread, expiry, leave, return, conflicts, pauses and host states."""

from __future__ import annotations

import msgspec
import pytest

from bench.membership_network import DECODER, Network, record_of
from lagoonwing_core.ids import HostId, Incarnation
from lagoonwing_core.models import EndpointState
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_membership import EndpointConflict, HostState
from lagoonwing_membership.models import AgedRecord, Header, Push


def _joined(size: int = 4, **options) -> Network:
    network = Network(size, **options)
    network.run(2.0)
    return network


def _renew(network: Network, name: str, hosts: list[int], seconds: float, start: int = 2) -> int:
    """Announce every 0.8 s to one of the hosts in turn; return the next sequence."""
    sequence = start
    end = network.now + seconds
    while network.now < end - 1e-9:
        network.host(hosts[sequence % len(hosts)]).announce(
            record_of(name, sequence=sequence), network.now
        )
        sequence += 1
        network.run(0.8)
    return sequence


def test_announcement_reaches_every_host() -> None:
    """What one host hears, every host knows within a few ticks."""
    network = _joined()
    assert network.host(0).announce(record_of("a"), network.now).is_ok()
    network.run(0.3)
    assert all(network.names(number) == {"a"} for number in range(4))


def test_silent_endpoint_expires_within_3_s_everywhere() -> None:
    """An endpoint that is no longer heard gets no new work anywhere 3 s later."""
    network = _joined()
    _renew(network, "a", [0], 4.0)
    last_heard = network.now - 0.8
    network.run(last_heard + 3.0 - network.now)
    assert all(network.names(number) == set() for number in range(4))


def test_renewed_endpoint_stays() -> None:
    """Renewals to one host keep an endpoint known at all, lossy network or not."""
    network = _joined(loss=0.1, double=0.1, max_delay=0.1, seed=3)
    sequence = _renew(network, "a", [2], 4.0)
    for _ in range(20):
        sequence = _renew(network, "a", [2], 0.8, sequence)
        assert all(network.names(number) == {"a"} for number in range(4))


def test_endpoint_may_announce_to_any_host_in_turn() -> None:
    """The host that hears an endpoint may change with each announcement."""
    network = _joined()
    sequence = _renew(network, "a", [0, 1, 2, 3], 4.0)
    for _ in range(8):
        sequence = _renew(network, "a", [0, 1, 2, 3], 0.8, sequence)
        assert all(network.names(number) == {"a"} for number in range(4))


def test_leave_is_final_for_its_incarnation() -> None:
    """Announcements after the leave lose, whatever their sequence; a new incarnation wins."""
    network = _joined()
    _renew(network, "a", [0], 2.4)
    leave = record_of("a", sequence=20, state=EndpointState.LEAVING)
    assert network.host(1).announce(leave, network.now).is_ok()
    network.run(0.3)
    for number in range(4):
        assert network.names(number) == set()
        for sequence in (3, 19, 20, 21):
            late = network.host(number).announce(record_of("a", 1, sequence), network.now)
            assert late.error.code is ResultCode.ENDPOINT_REFUSED
    network.run(0.3)
    assert all(network.names(number) == set() for number in range(4))
    assert network.host(3).announce(record_of("a", incarnation=2), network.now).is_ok()
    assert network.names(3) == {"a"}
    network.run(0.3)
    assert all(network.names(number) == {"a"} for number in range(4))


def test_leave_at_one_host_reaches_a_host_that_only_a_third_can_tell() -> None:
    """A leave goes round a cut between two hosts, while the endpoint renews it or not."""
    network = _joined()
    _renew(network, "a", [0, 1], 2.4)
    ends = [network.addresses[0].host_id, network.addresses[3].host_id]
    network.cut |= {(ends[0], ends[1]), (ends[1], ends[0])}
    network.run(0.1)
    network.host(0).announce(record_of("a", 1, 50, EndpointState.LEAVING), network.now)
    network.run(0.5)
    assert all(network.names(number) == set() for number in range(4))


def test_leave_heard_only_beyond_a_cut_ends_work_everywhere() -> None:
    """Hosts that can't hear the leave stop giving work within 3 s by expiry."""
    network = _joined()
    _renew(network, "a", [0, 1], 2.4)
    network.cut_off(0)
    last_heard = network.now
    network.host(1).announce(record_of("a", sequence=30), network.now)
    network.run(0.1)
    network.host(0).announce(record_of("a", 1, 31, EndpointState.LEAVING), network.now)
    assert network.names(0) == set()
    network.run(last_heard + 3.0 - network.now)
    assert all(network.names(number) == set() for number in range(4))
    network.heal()
    network.run(5.0)
    late = network.host(3).announce(record_of("a", sequence=40), network.now)
    assert late.error.code is ResultCode.ENDPOINT_REFUSED


def test_old_announcement_after_a_restart_loses() -> None:
    """A restarted host learns of leaves before it gives anyone work."""
    network = _joined()
    _renew(network, "a", [0], 2.4)
    network.host(0).announce(record_of("a", 1, 20, EndpointState.LEAVING), network.now)
    network.run(0.5)
    network.start(2, incarnation=2000)
    network.step()
    network.host(2).announce(record_of("a", sequence=15), network.now)
    for _ in range(60):
        network.step()
        assert all(network.names(number) == set() for number in range(4))


def test_higher_incarnation_from_a_second_address_wins() -> None:
    """An endpoint that moved with a higher incarnation is taken at once."""
    network = _joined()
    _renew(network, "a", [0], 2.4)
    moved = record_of("a", incarnation=2, port=9001)
    assert network.host(1).announce(moved, network.now).is_ok()
    network.run(0.3)
    old = network.host(0).announce(record_of("a", sequence=99), network.now)
    assert old.error.code is ResultCode.ENDPOINT_REFUSED
    for number in range(4):
        assert [record.port for record in network.host(number).endpoints(network.now)] == [9001]


def test_equal_incarnation_from_a_second_address_is_refused() -> None:
    """The second address is refused with an event, at any host."""
    network = _joined()
    _renew(network, "a", [0], 2.4)
    network.host(2).events()
    second = network.host(2).announce(record_of("a", sequence=99, port=9001), network.now)
    assert second.error.code is ResultCode.ENDPOINT_REFUSED
    assert any(isinstance(event, EndpointConflict) for event in network.host(2).events())
    network.run(0.3)
    for number in range(4):
        assert [record.port for record in network.host(number).endpoints(network.now)] == [9000]


def test_two_addresses_on_two_sides_of_a_cut_settle_on_one() -> None:
    """After a partition every host keeps the same one of two equal incarnations."""
    network = _joined()
    network.cut_off(0, 1)
    for sequence in range(2, 12):
        network.host(0).announce(record_of("a", sequence=sequence, port=9001), network.now)
        network.host(2).announce(record_of("a", sequence=sequence + 5), network.now)
        if sequence == 6:
            network.heal()
        network.run(0.8)
    for number in range(4):
        assert [record.port for record in network.host(number).endpoints(network.now)] == [9000]


def test_paused_host_gives_no_work_to_what_expired_meanwhile() -> None:
    """After SIGCONT neither the table nor what waited in the socket counts as fresh."""
    network = _joined()
    sequence = _renew(network, "a", [1], 2.4)
    network.pause(0)
    _renew(network, "a", [1], 4.0, sequence)
    network.run(3.0)
    assert network.names(0) == set()
    network.resume(0)
    for _ in range(80):
        assert network.names(0) == set()
        network.step()


def test_announcement_that_waited_in_a_paused_host_is_not_fresh() -> None:
    """What an endpoint sent to a paused host counts from the pause, not from its reading."""
    network = _joined()
    network.pause(0)
    network.run(5.0)
    network.paused.clear()
    assert network.host(0).announce(record_of("a"), network.now).is_ok()
    assert network.names(0) == set()
    network.run(0.8)
    assert network.host(0).announce(record_of("a", sequence=2), network.now).is_ok()
    assert network.names(0) == {"a"}


def test_paused_host_is_suspected_then_lost_then_refutes() -> None:
    """A pause makes a host suspect and lost; it refutes after it goes on."""
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


def test_host_that_one_link_cannot_reach_is_not_lost() -> None:
    """Indirect probes spare a host that only one other can't reach."""
    network = _joined()
    ends = [network.addresses[0].host_id, network.addresses[3].host_id]
    network.cut |= {(ends[0], ends[1]), (ends[1], ends[0])}
    for _ in range(200):
        network.step()
        for number in range(4):
            states = {view.state for view in network.host(number).hosts(network.now)}
            assert HostState.LOST not in states


def test_messages_and_tables_are_bounded() -> None:
    """Many endpoints go in many messages; an oversize record is refused."""
    network = _joined(size=2)
    big = record_of("x" * 5000)
    assert network.host(0).announce(big, network.now).error.code is ResultCode.MESSAGE_TOO_LARGE
    for number in range(600):
        network.host(0).announce(record_of(f"endpoint-{number:04}"), network.now)
    network.run(0.5)
    assert len(network.names(1)) == 600
    assert network.largest < 64 * 1024


def test_record_from_a_host_not_met_before_keeps_old_news_out() -> None:
    """A message whose age nothing bounds gives no work, but is remembered and told on."""
    network = _joined()
    header = Header(Incarnation(5), Incarnation(0), 0, 0, 0)
    push = Push(header, (), (AgedRecord(record_of("a", sequence=5), 0),))
    network.host(0).receive(HostId("e9"), push, network.now)
    network.run(2.0)
    assert all(network.names(number) == set() for number in range(4))
    late = network.host(1).announce(record_of("a", sequence=4), network.now)
    assert late.error.code is ResultCode.ENDPOINT_REFUSED


def test_negative_age_is_refused() -> None:
    """A peer can't keep a record beyond its life by a negative age."""
    header = Header(Incarnation(5), Incarnation(0), 0, 0, 0)
    body = msgspec.msgpack.encode(Push(header, (), (AgedRecord(record_of("a"), -1),)))
    with pytest.raises(msgspec.ValidationError):
        DECODER.decode(body)
