"""Consistency checks of a configuration document."""

from __future__ import annotations

from collections.abc import Iterator

from lagoonwing_catalog._member_keys import canonical_key
from lagoonwing_catalog._route_keys import RouteKey, keyed_routes
from lagoonwing_catalog.errors import ValidationIssue
from lagoonwing_catalog.models import Document, Route
from lagoonwing_core.ids import MemberId, ServiceId

# Longest text of a document that is quoted in a reason.
_MAX_QUOTED_CHARACTERS = 80


def find_validation_issues(document: Document) -> tuple[ValidationIssue, ...]:
    """Return all validation issues of a document."""
    return (
        *_clash_issues(document),
        *_route_issues(document),
        *_service_issues(document),
        *_key_issues(document),
    )


def _clash_issues(document: Document) -> Iterator[ValidationIssue]:
    """Yield the issues of routes that no request can tell from an earlier one."""
    first_by_key: dict[RouteKey, Route] = {}
    seen: set[tuple[str, str]] = set()
    for key, route in keyed_routes(document.routes):
        other = first_by_key.setdefault(key, route)
        host_and_prefix = (route.host, route.path_prefix)
        if other is not route:
            reason = (
                f"has the host and prefix of {other.route_id}: hosts {_quote(other.host)} and "
                f"{_quote(route.host)}, prefix {_quote(route.path_prefix)}"
            )
            yield ValidationIssue(
                route.route_id, reason, passes_older_builds=host_and_prefix not in seen
            )
        seen.add(host_and_prefix)


def _quote(text: str) -> str:
    """Return a text of a document for a reason, truncated if long."""
    is_long = len(text) > _MAX_QUOTED_CHARACTERS
    return repr(text[:_MAX_QUOTED_CHARACTERS]) + ("..." if is_long else "")


def _route_issues(document: Document) -> Iterator[ValidationIssue]:
    """Yield the issues of single routes."""
    service_ids = {service.service_id for service in document.services}
    for route in document.routes:
        if route.timeout_s <= 0:
            yield ValidationIssue(route.route_id, "the timeout is not positive")
        if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
            yield ValidationIssue(route.route_id, "the prefix doesn't begin and end with a slash")
        yield from _split_issues(route, service_ids)


def _split_issues(route: Route, service_ids: set[ServiceId]) -> Iterator[ValidationIssue]:
    """Yield the issues of a route's traffic split."""
    for split in route.splits:
        if split.service_id not in service_ids:
            yield ValidationIssue(route.route_id, f"names the unknown service {split.service_id}")
        if split.weight < 0:
            yield ValidationIssue(route.route_id, "has a negative weight")
    if sum(split.weight for split in route.splits) <= 0:
        yield ValidationIssue(route.route_id, "the weights add up to nothing")


def _service_issues(document: Document) -> Iterator[ValidationIssue]:
    """Yield the issues of services."""
    seen_ids: set[str] = set()
    for service in document.services:
        if service.service_id in seen_ids:
            yield ValidationIssue(service.service_id, "stands twice")
        seen_ids.add(service.service_id)


def _key_issues(document: Document) -> Iterator[ValidationIssue]:
    """Yield the issues of member keys."""
    first_by_key: dict[str, MemberId] = {}
    first_as_written: dict[str, MemberId] = {}
    for member in document.members or ():
        for key in member.keys:
            other = first_by_key.setdefault(canonical_key(key), member.member_id)
            other_as_written = first_as_written.setdefault(key, member.member_id)
            if other != member.member_id:
                yield ValidationIssue(
                    member.member_id,
                    f"shares a key with {other}",
                    passes_older_builds=other_as_written == member.member_id,
                )
