"""Checks that hold between the parts of a configuration document."""

from __future__ import annotations

from collections.abc import Iterator

from lagoonwing_catalog.errors import DocumentFault
from lagoonwing_catalog.models import Document, Route
from lagoonwing_core.ids import ServiceId


def find_faults(document: Document) -> tuple[DocumentFault, ...]:
    """Return everything that makes a document invalid."""
    return (*_route_faults(document), *_service_faults(document), *_key_faults(document))


def _route_faults(document: Document) -> Iterator[DocumentFault]:
    """Yield the faults of routes."""
    service_ids = {service.service_id for service in document.services}
    route_by_place: dict[tuple[str, str], Route] = {}
    for route in document.routes:
        place = (route.host, route.path_prefix)
        other = route_by_place.setdefault(place, route)
        if other is not route:
            yield DocumentFault(route.route_id, f"has the host and prefix of {other.route_id}")
        if route.timeout_s <= 0:
            yield DocumentFault(route.route_id, "the timeout is not positive")
        if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
            yield DocumentFault(route.route_id, "the prefix doesn't begin and end with a slash")
        yield from _split_faults(route, service_ids)


def _split_faults(route: Route, service_ids: set[ServiceId]) -> Iterator[DocumentFault]:
    """Yield the faults of a route's weights."""
    for split in route.splits:
        if split.service_id not in service_ids:
            yield DocumentFault(route.route_id, f"names the unknown service {split.service_id}")
        if split.weight < 0:
            yield DocumentFault(route.route_id, "has a negative weight")
    if sum(split.weight for split in route.splits) <= 0:
        yield DocumentFault(route.route_id, "the weights add up to nothing")


def _service_faults(document: Document) -> Iterator[DocumentFault]:
    """Yield the faults of services."""
    seen: set[str] = set()
    for service in document.services:
        if service.service_id in seen:
            yield DocumentFault(service.service_id, "stands twice")
        seen.add(service.service_id)


def _key_faults(document: Document) -> Iterator[DocumentFault]:
    """Yield the faults of members' keys."""
    member_by_key: dict[str, str] = {}
    for member in document.members or ():
        for key in member.keys:
            other = member_by_key.setdefault(key, member.member_id)
            if other != member.member_id:
                yield DocumentFault(member.member_id, f"shares a key with {other}")
