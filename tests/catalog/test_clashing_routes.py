"""Two routes that one request selects are never both in force: the check and the lookup agree."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from lagoonwing_catalog import (
    CatalogStateMachine,
    RouteTable,
    canonical_host,
    decompress_document,
    find_validation_issues,
)
from lagoonwing_catalog.models import (
    Document,
    RequestKind,
    Route,
    Service,
    ServiceWeight,
)
from lagoonwing_core.ids import DocumentVersion, RouteId, ServiceId

SERVICES = (Service(ServiceId("s-1"), "/healthz", 8),)

# Snapshot of a replica of build 783e7fa that had accepted a document with three routes of one host:
# the second is written in another letter, the third with a port.
OLD_SNAPSHOT = bytes.fromhex(
    "9401009402c47b78019bca3479cee2225dc37549f929a9e9897aa91589b90539a98bf58bf59795e61527a6a5"
    "9e76e0600083d3f61f200c8689931617eb1ac2f98c870e1d001962b4ce8954438c300c31de88ea122b0b0322"
    "1c638c62cee42920f72dd47738006218c118c660c6590786730c0e0c0c087f39e841fc750000de8c57b7c4a2"
    "7801ad90310ec2300c45efe239a1a15d5046ae811852ead2089254715a55aa7a779c85125618fd6dffe7ef15"
    "668c6483075d0b88614a48a02f2b78e310344479040143a0c4451b3abc9b032ec68d4f647d34699063c4de2e"
    "dcaea862ed617dc7c5e4c9f4792659876c2b1dfb364a29018471b6b7ec4eecbe890f58bdc3ceff87d525acd9"
    "6165327d52dcfa3d5c03dbf51db778eb577092c56924f3e6f602a078807b0190"
)

# Parts from which hosts are made: few, so that those of two routes often clash.
_NAMES = st.sampled_from(["b", "B", "bb", "b.c", "B.c", "", "[::1]", "::1", "\u212a", "k", "ü"])
_ENDS = st.sampled_from(["", ".", "..", ":80", ":", ":8080", ":x", ".:80", " ", "\t", ":80 "])
_STARTS = st.sampled_from(["", " ", "\t"])
_HOSTS = st.builds(lambda start, name, end: start + name + end, _STARTS, _NAMES, _ENDS)
_PREFIXES = st.sampled_from(["/", "/s/", "/S/", "/s/t/", "//s/", "/%73/", "/s/?x/"])
_PATHS = st.sampled_from(["/", "/s/", "/s/1", "/S/1", "/s/t/1", "//s/1", "/%73/1", "s", ""])


def _route(number: int, host: str, prefix: str = "/s/") -> Route:
    """Return a route with this host and prefix."""
    return Route(
        route_id=RouteId(f"r-{number}"),
        host=host,
        path_prefix=prefix,
        kind=RequestKind.UNSAFE,
        timeout_s=1.0,
        objective_s=0.3,
        priority=1,
        splits=(ServiceWeight(ServiceId("s-1"), 1.0),),
        max_attempts=1,
        is_public=True,
        is_resumable=False,
    )


def _document(*hosts_and_prefixes: tuple[str, str]) -> Document:
    """Return a document with a route for each host and prefix."""
    routes = tuple(
        _route(number, host, prefix) for number, (host, prefix) in enumerate(hosts_and_prefixes, 1)
    )
    return Document(DocumentVersion(1), routes, SERVICES)


# Guards against requests of one route that run at the service of another, since the check of a
# document tells two hosts apart that the lookup does not.
@pytest.mark.parametrize(
    ("host", "other"),
    [
        ("bodega.example", "Bodega.example"),
        ("bodega.example", "BODEGA.EXAMPLE"),
        ("b.example", " b.example"),
        ("b.example", "b.example\t"),
        ("b.example", "b.example:80"),
        ("b.example:8080", "B.example:9090"),
        ("b.example", "b.example:"),
        ("b.example.", "B.example.:80"),
        ("[::1]", "[::1]:80"),
        ("[::A]", "[::a]"),
    ],
)
def test_hosts_that_no_request_tells_apart_clash(host: str, other: str) -> None:
    """They are refused in either order, with both spellings in the reason."""
    for first, second in ((host, other), (other, host)):
        (issue,) = find_validation_issues(_document((first, "/s/"), (second, "/s/")))
        assert issue.subject == "r-2"
        assert "r-1" in issue.reason
        assert repr(first) in issue.reason
        assert repr(second) in issue.reason


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (("b.example", "/s/"), ("b.example", "/S/")),
        (("b.example", "/s/"), ("B.example", "/s/t/")),
        (("b.example", "/s/"), ("b.example.", "/s/")),
        (("b.example", "/~a/"), ("b.example", "/%7Ea/")),
        (("b.example", "/%c3%a9/"), ("b.example", "/%C3%A9/")),
        (("b.example", "/s/"), ("b.example", "//s/")),
        (("b.example", "/s/"), ("b.example", "/x/../s/")),
        (("b.example", "/s/"), ("b.example", "/s/?x/")),
        (("k.example", "/s/"), ("\u212a.example", "/s/")),
        (("a b/c", "/s/"), ("", "/s/")),
        (("[::1]", "/s/"), ("::1", "/s/")),
    ],
)
def test_routes_that_a_request_tells_apart_are_accepted(
    first: tuple[str, str], second: tuple[str, str]
) -> None:
    """A valid document is never refused; each route gets the requests that name it as written."""
    document = _document(first, second)
    assert find_validation_issues(document) == ()
    table = RouteTable(document)
    assert table.shadowed_routes == []
    for route in document.routes:
        assert table.match(route.host, route.path_prefix) == route


def test_longer_prefix_wins_whatever_the_letters_of_the_host() -> None:
    """Two routes of one host in other letters are told apart by their prefixes."""
    table = RouteTable(_document(("b.example", "/s/"), ("B.EXAMPLE", "/s/t/")))
    assert table.match("B.example:80", "/s/t/1").route_id == "r-2"  # type: ignore[union-attr]
    assert table.match("b.example", "/s/1").route_id == "r-1"  # type: ignore[union-attr]


@pytest.mark.parametrize(
    "spelling",
    ["b.example", "B.Example", "b.example:80", "b.example.", "B.EXAMPLE.:8080", " b.example"],
)
@pytest.mark.parametrize(
    "host", ["b.example", "b.EXAMPLE", "b.example:80", " b.example", "b.example."]
)
def test_all_spellings_of_a_host_find_its_only_route(host: str, spelling: str) -> None:
    """A request is not answered 404 because of the spelling of its host."""
    assert RouteTable(_document((host, "/s/"))).match(spelling, "/s/1") is not None


@pytest.mark.parametrize("spelling", ["[::1]", "[::1]:80", "[::1]:"])
def test_host_in_brackets_is_not_cut_at_its_colons(spelling: str) -> None:
    """The port follows the closing bracket."""
    table = RouteTable(_document(("[::1]", "/s/"), ("[::2]", "/s/")))
    assert table.match(spelling, "/s/1").route_id == "r-1"  # type: ignore[union-attr]


@given(st.lists(st.tuples(_HOSTS, _PREFIXES), max_size=6), _HOSTS, _PATHS, st.randoms())
@example([("b", "/s/"), ("B", "/s/")], "b", "/s/1", random.Random(1))
def test_no_request_selects_two_accepted_routes_equally(
    hosts_and_prefixes: list[tuple[str, str]], host: str, path: str, rng: random.Random
) -> None:
    """The order of routes changes nothing in a document that is accepted."""
    document = _document(*hosts_and_prefixes)
    if find_validation_issues(document):
        return
    shuffled = msgspec.structs.replace(
        document, routes=tuple(rng.sample(document.routes, len(document.routes)))
    )
    table = RouteTable(document)
    assert table.shadowed_routes == []
    assert RouteTable(shuffled).match(host, path) == table.match(host, path)


@given(st.lists(st.tuples(_HOSTS, _PREFIXES), max_size=6))
def test_refused_routes_are_those_without_requests(
    hosts_and_prefixes: list[tuple[str, str]],
) -> None:
    """The check finds a clash if, and only if, the lookup leaves a route without requests."""
    document = _document(*hosts_and_prefixes)
    assert len(find_validation_issues(document)) == len(RouteTable(document).shadowed_routes)


@given(_HOSTS | st.text())
def test_canonical_host_is_stable(text: str) -> None:
    """What one gateway hands over to another is compared in the same form there."""
    assert canonical_host(canonical_host(text)) == canonical_host(text)


@given(st.lists(st.tuples(_HOSTS, _PREFIXES), min_size=1, max_size=6), _PATHS)
def test_routes_of_older_builds_get_the_same_requests(
    hosts_and_prefixes: list[tuple[str, str]], path: str
) -> None:
    """Where an older build accepted a clash, its gateways and these choose the same route.

    Requests that found no route at the older build may find one now.
    """
    document = _document(*hosts_and_prefixes)
    old_table = {(route.host.lower(), route.path_prefix): route for route in document.routes}
    prefixes = [path[:end] for end in range(len(path), 0, -1) if path[end - 1] == "/"]
    for host in ("b", "bb", "b.", "b.c", "ü"):
        matches = (old_table.get((host, prefix)) for prefix in prefixes)
        old = next((route for route in matches if route is not None), None)
        new = RouteTable(document).match(host, path)
        assert old is None or new == old or _is_longer(new, old)


def _is_longer(new: Route | None, old: Route) -> bool:
    """Return whether a route that no request could name before has the longer prefix."""
    return new is not None and len(new.path_prefix) > len(old.path_prefix)


def test_clash_accepted_by_an_older_build_is_restored_and_served() -> None:
    """The snapshot of an older build is applied as it is; the route that it served stays served."""
    machine = CatalogStateMachine()
    machine.restore(OLD_SNAPSHOT)
    assert machine.snapshot() == OLD_SNAPSHOT
    stored = machine.state.stored
    assert stored is not None
    document = decompress_document(stored.compressed_document)
    issues = find_validation_issues(document)
    assert [issue.passes_older_builds for issue in issues] == [True, True]
    table = RouteTable(document)
    assert table.match("bodega.example", "/s/1").route_id == "r-2"  # type: ignore[union-attr]
    assert [route.route_id for route, winner in table.shadowed_routes] == ["r-1", "r-3"]


def test_clash_that_every_build_refuses_is_known_as_such() -> None:
    """The same spelling twice was never accepted, beside others that were."""
    issues = find_validation_issues(_document(("B", "/s/"), ("b", "/s/"), ("b", "/s/")))
    assert [issue.passes_older_builds for issue in issues] == [True, False]


def test_reason_quotes_long_hosts_in_part() -> None:
    """A refusal and its log line stay short whatever the document holds."""
    long_host = "b" * 100_000
    (issue,) = find_validation_issues(_document((long_host, "/s/"), (long_host.upper(), "/s/")))
    assert len(issue.reason) < 500
