"""Documents, routes and endpoint records of the catalog."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from lagoonwing_catalog import (
    CatalogStateMachine,
    RouteTable,
    encode_command,
    find_faults,
    store_document,
    unpack_document,
)
from lagoonwing_catalog.messages import Applied, LoseEndpoint, PutDocument, PutEndpoint
from lagoonwing_catalog.models import (
    Document,
    EndpointRecord,
    EndpointState,
    LayerRange,
    MemberKeys,
    RequestKind,
    Route,
    Service,
    ServiceWeight,
)
from lagoonwing_consensus.const import MAX_COMMAND_BYTES
from lagoonwing_core.ids import (
    DocumentVersion,
    EndpointId,
    FailureDomainId,
    LogIndex,
    MemberId,
    RouteId,
    ServiceId,
)

LARGE_DOCUMENT_ROUTES = 15_600


def _route(**changes: Any) -> Route:
    """Return a valid route with some changes."""
    route = Route(
        route_id=RouteId("r-1"),
        host="one.example",
        path_prefix="/a/",
        kind=RequestKind.SAFE,
        timeout_s=1.0,
        objective_s=0.3,
        priority=1,
        splits=(ServiceWeight(ServiceId("s-1"), 1.0),),
        max_attempts=2,
        is_public=False,
        is_resumable=False,
    )
    return msgspec.structs.replace(route, **changes)


def _document(version: int = 1, **changes: Any) -> Document:
    """Return a valid document with some changes."""
    document = Document(
        DocumentVersion(version), (_route(),), (Service(ServiceId("s-1"), "/healthz", 8),)
    )
    return msgspec.structs.replace(document, **changes)


def _record(endpoint_id: str = "e-1", **changes: Any) -> EndpointRecord:
    """Return a ready endpoint with some changes."""
    record = EndpointRecord(
        endpoint_id=EndpointId(endpoint_id),
        service_id=ServiceId("s-1"),
        address="127.0.0.1",
        port=8000,
        failure_domain=FailureDomainId("d-1"),
        slots=4,
        state=EndpointState.READY,
        started_ms=100,
        sequence=1,
    )
    return msgspec.structs.replace(record, **changes)


class _Machine:
    """State machine with typed commands."""

    def __init__(self) -> None:
        self.machine = CatalogStateMachine()
        self._index = 0

    def apply(self, command: PutDocument | PutEndpoint | LoseEndpoint) -> Applied:
        """Apply a command and return its result."""
        self._index += 1
        answer = self.machine.apply(LogIndex(self._index), encode_command(command))
        return msgspec.msgpack.decode(answer, type=Applied)

    def put(self, record: EndpointRecord) -> bool:
        """Put an endpoint; return whether that changed anything."""
        return self.apply(PutEndpoint(record)).changed

    def state_of(self, endpoint_id: str) -> EndpointState:
        """Return the state of an endpoint."""
        return self.machine.state.endpoint_by_id[EndpointId(endpoint_id)].state


@pytest.mark.parametrize(
    ("document", "reason"),
    [
        (_document(routes=(_route(timeout_s=0.0),)), "timeout"),
        (_document(routes=(_route(), _route(route_id=RouteId("r-2")))), "host and prefix"),
        (_document(services=()), "unknown service"),
        (_document(routes=(_route(splits=(ServiceWeight(ServiceId("s-1"), 0.0),)),)), "weights"),
        (_document(routes=(_route(splits=()),)), "weights"),
        (
            _document(
                members=(
                    MemberKeys(MemberId("m-1"), ("k",)),
                    MemberKeys(MemberId("m-2"), ("k",)),
                )
            ),
            "shares a key",
        ),
    ],
)
def test_invalid_documents_are_found(document: Document, reason: str) -> None:
    """Each kind of fault is told with its reason."""
    assert [fault for fault in find_faults(document) if reason in fault.reason]


def test_valid_document_has_no_faults() -> None:
    """A member may hold the same key twice."""
    members = (MemberKeys(MemberId("m-1"), ("k", "k")),)
    assert find_faults(_document(members=members)) == ()


def test_longest_prefix_of_the_host_is_matched() -> None:
    """Host names have no case; prefixes end at slashes."""
    long = _route(route_id=RouteId("r-2"), path_prefix="/a/b/")
    table = RouteTable(_document(routes=(_route(), long)))
    assert table.match("ONE.example", "/a/b/c") == long
    assert table.match("one.example", "/a/bc").route_id == "r-1"  # type: ignore[union-attr]
    assert table.match("one.example", "/ab/") is None
    assert table.match("two.example", "/a/") is None


def test_highest_document_number_is_in_force() -> None:
    """Equal and lower numbers are accepted without any change."""
    machine = _Machine()
    assert machine.apply(PutDocument(store_document(_document(5), b"five"))).changed
    assert not machine.apply(PutDocument(store_document(_document(5), b"other"))).changed
    assert not machine.apply(PutDocument(store_document(_document(4), b"four"))).changed
    stored = machine.machine.state.stored
    assert stored is not None
    assert stored.operator_bytes() == b"five"


def test_large_document_fits_into_one_command() -> None:
    """Ten times the routes of the largest document known take a tenth of a command's bound."""
    routes = tuple(
        _route(route_id=RouteId(f"r-{number}"), path_prefix=f"/p{number}/")
        for number in range(LARGE_DOCUMENT_ROUTES)
    )
    document = _document(routes=routes)
    command = encode_command(PutDocument(store_document(document, b"x" * 4_000_000)))
    assert len(command) < MAX_COMMAND_BYTES // 2
    stored = msgspec.msgpack.decode(command, type=PutDocument).stored
    assert unpack_document(stored.packed) == document


def test_late_announcements_change_nothing() -> None:
    """A lower number of the same start, and any number of an earlier start, are stale."""
    machine = _Machine()
    assert machine.put(_record(sequence=5, state=EndpointState.DRAINING))
    assert not machine.put(_record(sequence=4))
    assert not machine.put(_record(started_ms=99, sequence=9))
    assert machine.state_of("e-1") is EndpointState.DRAINING
    assert machine.put(_record(started_ms=101, sequence=1))
    assert machine.state_of("e-1") is EndpointState.READY


def test_endpoint_that_has_left_stays_away() -> None:
    """Delayed announcements don't revive it; a new start does."""
    machine = _Machine()
    machine.put(_record(sequence=5))
    assert machine.put(_record(sequence=5, state=EndpointState.LEFT))
    assert not machine.put(_record(sequence=9))
    assert machine.put(_record(started_ms=200, sequence=1))


def test_address_goes_to_the_later_start() -> None:
    """The former holder is out, and its delayed announcement doesn't bring it back."""
    machine = _Machine()
    machine.put(_record("e-1"))
    assert machine.put(_record("e-2", started_ms=200))
    assert machine.state_of("e-1") is EndpointState.LEFT
    assert not machine.put(_record("e-3", started_ms=150))
    assert machine.state_of("e-2") is EndpointState.READY


def test_lost_endpoint_holds_nothing_until_it_is_heard() -> None:
    """A delayed announcement from before the loss doesn't count as heard."""
    machine = _Machine()
    machine.put(_record(sequence=5, layers=LayerRange(0, 8)))
    assert not machine.apply(LoseEndpoint(EndpointId("e-1"), 99, 7)).changed
    assert machine.apply(LoseEndpoint(EndpointId("e-1"), 100, 7)).changed
    assert machine.machine.state.endpoint_by_id[EndpointId("e-1")].layers is None
    assert not machine.put(_record(sequence=6, layers=LayerRange(0, 8)))
    assert machine.put(_record(sequence=8, layers=LayerRange(0, 8)))


def test_snapshot_holds_everything() -> None:
    """A restored state is the same, and goes on with the same numbers."""
    machine = _Machine()
    machine.apply(PutDocument(store_document(_document(5), b"five")))
    machine.put(_record(layers=LayerRange(0, 8)))
    restored = CatalogStateMachine()
    restored.restore(machine.machine.snapshot())
    assert restored.state == machine.machine.state
    assert restored.state.changed_after(restored.state.revision) == ()
