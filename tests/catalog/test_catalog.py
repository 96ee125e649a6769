"""Tests of documents, routes and endpoint records of the catalog."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from lagoonwing_catalog import (
    CatalogStateMachine,
    RouteTable,
    decompress_document,
    encode_command,
    find_validation_issues,
    make_stored_document,
)
from lagoonwing_catalog.messages import ApplyResult, MarkEndpointLost, PutDocument, PutEndpoint
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


class _CatalogDriver:
    """Drives a state machine: encodes commands and decodes results."""

    def __init__(self) -> None:
        self.state_machine = CatalogStateMachine()
        self._index = 0

    def apply(self, command: PutDocument | PutEndpoint | MarkEndpointLost) -> ApplyResult:
        """Apply a command and return its result."""
        self._index += 1
        result = self.state_machine.apply(LogIndex(self._index), encode_command(command))
        return msgspec.msgpack.decode(result, type=ApplyResult)

    def put(self, record: EndpointRecord) -> bool:
        """Put an endpoint; return whether the state changed."""
        return self.apply(PutEndpoint(record)).changed

    def state_of(self, endpoint_id: str) -> EndpointState:
        """Return the state of an endpoint."""
        return self.state_machine.state.endpoint_by_id[EndpointId(endpoint_id)].state


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
def test_invalid_documents_are_rejected(document: Document, reason: str) -> None:
    """Each kind of issue is reported with its reason."""
    assert [issue for issue in find_validation_issues(document) if reason in issue.reason]


def test_valid_document_has_no_issues() -> None:
    """A member may list the same key twice."""
    members = (MemberKeys(MemberId("m-1"), ("k", "k")),)
    assert find_validation_issues(_document(members=members)) == ()


def test_longest_prefix_of_the_host_is_matched() -> None:
    """Host names are case-insensitive; prefixes only match up to a slash."""
    long_route = _route(route_id=RouteId("r-2"), path_prefix="/a/b/")
    table = RouteTable(_document(routes=(_route(), long_route)))
    assert table.match("ONE.example", "/a/b/c") == long_route
    assert table.match("one.example", "/a/bc").route_id == "r-1"  # type: ignore[union-attr]
    assert table.match("one.example", "/ab/") is None
    assert table.match("two.example", "/a/") is None


def test_highest_document_version_is_active() -> None:
    """Equal and lower versions are accepted without changing the state."""
    driver = _CatalogDriver()
    assert driver.apply(PutDocument(make_stored_document(_document(5), b"five"))).changed
    assert not driver.apply(PutDocument(make_stored_document(_document(5), b"other"))).changed
    assert not driver.apply(PutDocument(make_stored_document(_document(4), b"four"))).changed
    stored = driver.state_machine.state.stored
    assert stored is not None
    assert stored.original_bytes() == b"five"


def test_large_document_fits_into_one_command() -> None:
    """Ten times the routes of the largest known document use a tenth of the command size limit."""
    routes = tuple(
        _route(route_id=RouteId(f"r-{number}"), path_prefix=f"/p{number}/")
        for number in range(LARGE_DOCUMENT_ROUTES)
    )
    document = _document(routes=routes)
    command = encode_command(PutDocument(make_stored_document(document, b"x" * 4_000_000)))
    assert len(command) < MAX_COMMAND_BYTES // 2
    stored = msgspec.msgpack.decode(command, type=PutDocument).stored
    assert decompress_document(stored.compressed_document) == document


def test_outdated_announcements_are_ignored() -> None:
    """Lower sequence numbers of the same start, and all of an earlier start, are outdated."""
    driver = _CatalogDriver()
    assert driver.put(_record(sequence=5, state=EndpointState.DRAINING))
    assert not driver.put(_record(sequence=4))
    assert not driver.put(_record(started_ms=99, sequence=9))
    assert driver.state_of("e-1") is EndpointState.DRAINING
    assert driver.put(_record(started_ms=101, sequence=1))
    assert driver.state_of("e-1") is EndpointState.READY


def test_left_endpoint_is_not_reactivated() -> None:
    """Delayed announcements are ignored; a new start is accepted."""
    driver = _CatalogDriver()
    driver.put(_record(sequence=5))
    assert driver.put(_record(sequence=5, state=EndpointState.LEFT))
    assert not driver.put(_record(sequence=9))
    assert driver.put(_record(started_ms=200, sequence=1))


def test_address_belongs_to_the_latest_start() -> None:
    """The previous owner is marked as left; its delayed announcement is ignored."""
    driver = _CatalogDriver()
    driver.put(_record("e-1"))
    assert driver.put(_record("e-2", started_ms=200))
    assert driver.state_of("e-1") is EndpointState.LEFT
    assert not driver.put(_record("e-3", started_ms=150))
    assert driver.state_of("e-2") is EndpointState.READY


def test_lost_endpoint_has_no_layers_until_next_announcement() -> None:
    """An announcement delayed from before the loss is ignored."""
    driver = _CatalogDriver()
    driver.put(_record(sequence=5, layers=LayerRange(0, 8)))
    assert not driver.apply(MarkEndpointLost(EndpointId("e-1"), 99, 7)).changed
    assert driver.apply(MarkEndpointLost(EndpointId("e-1"), 100, 7)).changed
    assert driver.state_machine.state.endpoint_by_id[EndpointId("e-1")].layers is None
    assert not driver.put(_record(sequence=6, layers=LayerRange(0, 8)))
    assert driver.put(_record(sequence=8, layers=LayerRange(0, 8)))


def test_snapshot_restores_the_full_state() -> None:
    """A restored state equals the original, including revisions."""
    driver = _CatalogDriver()
    driver.apply(PutDocument(make_stored_document(_document(5), b"five")))
    driver.put(_record(layers=LayerRange(0, 8)))
    restored = CatalogStateMachine()
    restored.restore(driver.state_machine.snapshot())
    assert restored.state == driver.state_machine.state
    assert restored.state.changed_after(restored.state.revision) == ()
