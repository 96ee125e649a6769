"""Gateways and replicas of older builds get no message that they can't read."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from lagoonwing_catalog import CatalogStateMachine
from lagoonwing_catalog.messages import (
    CATALOG_DECODER,
    CatalogMessage,
    HandoverAddress,
    PeerGateway,
    PeerList,
    ReplicaGateways,
    ReplicaLoad,
    Subscribe,
)
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import FailureDomainId, HostId, Revision
from lagoonwing_registry._subscribers import Subscribers
from lagoonwing_registry.const import GATEWAYS_TTL_S

_DOMAIN = FailureDomainId("d-1")
_OTHER = HostId("registry-2")


class _Channel:
    """Records what is pushed to a gateway."""

    def __init__(self, peer_id: str) -> None:
        self.peer_id = HostId(peer_id)
        self.messages: list[CatalogMessage] = []

    def push(self, message: CatalogMessage) -> bool:
        """Record a message."""
        self.messages.append(message)
        return True


def _make_subscribers(clock: ManualClock) -> Subscribers:
    """Return the subscribers of a replica."""
    return Subscribers(CatalogStateMachine(), lambda: 0.0, tuple, clock)


def _subscribe(subscribers: Subscribers, name: str, *, takes_requests: bool) -> _Channel:
    """Subscribe a gateway; one of an older build takes no requests of others."""
    channel: Any = _Channel(name)
    handover = HandoverAddress("127.0.0.1", 7_610) if takes_requests else None
    subscribers.add(channel, Subscribe(Revision(1), _DOMAIN, handover))
    return channel


def _gateways(*names: str) -> ReplicaGateways:
    """Return the gateways of a replica."""
    address = HandoverAddress("127.0.0.1", 7_610)
    return ReplicaGateways(tuple(PeerGateway(HostId(name), address, _DOMAIN, ()) for name in names))


# Guards against gateways of older builds whose channel ends each time that they are sent a list of
# peers, up to 88 times in 15 s.
def test_gateway_of_an_older_build_gets_no_list_of_peers() -> None:
    """The others get theirs."""
    subscribers = _make_subscribers(ManualClock())
    old = _subscribe(subscribers, "gateway-1", takes_requests=False)
    new = [_subscribe(subscribers, f"gateway-{n}", takes_requests=True) for n in (2, 3)]
    subscribers.push_peers()
    assert not any(isinstance(message, PeerList) for message in old.messages)
    for channel in new:
        assert any(isinstance(message, PeerList) for message in channel.messages)


def test_replica_of_an_older_build_gets_no_gateways() -> None:
    """One that says that it reads them does, and so does one that has sent its own."""
    clock = ManualClock()
    subscribers = _make_subscribers(clock)
    subscribers.update_remote(_OTHER, ReplicaLoad(0, {}))
    assert subscribers.readers_of_gateways() == ()
    subscribers.update_remote_gateways(_OTHER, _gateways())
    assert subscribers.readers_of_gateways() == (_OTHER,)
    clock.advance(GATEWAYS_TTL_S + 0.1)
    subscribers.update_remote(_OTHER, ReplicaLoad(0, {}))
    assert subscribers.readers_of_gateways() == ()
    subscribers.update_remote(_OTHER, ReplicaLoad(0, {}, reads_gateways=True))
    assert subscribers.readers_of_gateways() == (_OTHER,)


def test_gateways_that_are_not_repeated_are_no_peers_any_more() -> None:
    """A replica that went back to an older build doesn't repeat them."""
    clock = ManualClock()
    subscribers = _make_subscribers(clock)
    channel = _subscribe(subscribers, "gateway-1", takes_requests=True)
    for until_s in (0.0, GATEWAYS_TTL_S + 0.1):
        clock.advance(until_s)
        subscribers.update_remote(_OTHER, ReplicaLoad(0, {}))
        if until_s == 0.0:
            subscribers.update_remote_gateways(_OTHER, _gateways("gateway-9"))
        subscribers.push_peers()
    lists = [message.peers for message in channel.messages if isinstance(message, PeerList)]
    assert [len(peers) for peers in lists] == [1, 0]


def test_new_reader_is_told_at_once() -> None:
    """A replica that says that it reads them gets the gateways with the next push."""
    subscribers = _make_subscribers(ManualClock(100.0))
    _subscribe(subscribers, "gateway-1", takes_requests=True)
    assert subscribers.push_peers() is not None
    assert subscribers.push_peers() is None
    subscribers.update_remote(_OTHER, ReplicaLoad(0, {}, reads_gateways=True))
    assert subscribers.push_peers() is not None
    assert subscribers.push_peers() is None


@pytest.mark.parametrize("field_count", [6, 7])
def test_loads_of_both_forms_are_read(field_count: int) -> None:
    """A replica of an older build sends fewer fields, and ignores the last one of a newer build."""
    encoded = msgspec.msgpack.encode(ReplicaLoad(3, {}, reads_gateways=True))
    values = msgspec.msgpack.decode(encoded)
    assert len(values) == 8
    shortened = msgspec.msgpack.encode(values[: field_count + 1])
    load = CATALOG_DECODER.decode(shortened)
    assert load == ReplicaLoad(3, {}, reads_gateways=field_count == 7)
