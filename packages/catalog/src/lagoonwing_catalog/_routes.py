"""Lookup of routes and keys in the active document."""

from __future__ import annotations

from collections import defaultdict

from lagoonwing_catalog._member_keys import canonical_key, index_members
from lagoonwing_catalog._route_keys import (
    HostName,
    RouteKey,
    canonical_host,
    is_canonical,
    keyed_routes,
    other_spelling,
)
from lagoonwing_catalog.models import Document, MemberKeys, Route, Service
from lagoonwing_core.ids import DocumentVersion, ServiceId


class RouteTable:
    """Immutable index of one document.

    Attributes:
        shadowed_routes: Routes without requests, each with the one that gets them instead. A valid
            document has none; older builds accepted hosts that differ in letter case, port or white
            space only.
    """

    def __init__(self, document: Document) -> None:
        self.version: DocumentVersion = document.version
        self.limits = document.limits
        self.requires_keys = document.members is not None
        self.service_by_id: dict[ServiceId, Service] = {
            service.service_id: service for service in document.services
        }
        self._route_by_prefix_by_host: dict[HostName, dict[str, Route]] = defaultdict(dict)
        self.shadowed_routes: list[tuple[Route, Route]] = []
        for key, route in keyed_routes(document.routes):
            self._add_route(key, route)
        self._member_by_key = index_members(document.members or ())

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, if any.

        Args:
            host: Host of the request, with or without a port.
            path: Path without query.
        """
        name = canonical_host(host)
        route = self._match_prefix(name, path)
        return route if route is not None else self._match_prefix(other_spelling(name), path)

    def member_by_key(self, key: str) -> MemberKeys | None:
        """Return the member with the given key, if any."""
        return self._member_by_key.get(canonical_key(key))

    def _add_route(self, key: RouteKey, route: Route) -> None:
        """Index a route; of two that clash, the one that gets the requests at older builds too."""
        route_by_prefix = self._route_by_prefix_by_host[key.host]
        other = route_by_prefix.get(key.path_prefix)
        if other is None:
            route_by_prefix[key.path_prefix] = route
        elif is_canonical(route.host) or not is_canonical(other.host):
            route_by_prefix[key.path_prefix] = route
            self.shadowed_routes.append((other, route))
        else:
            self.shadowed_routes.append((route, other))

    def _match_prefix(self, host: HostName, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix, if any."""
        route_by_prefix = self._route_by_prefix_by_host.get(host)
        if route_by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None
