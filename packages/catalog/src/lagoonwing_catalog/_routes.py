"""Lookup of routes and keys in the active document."""

from __future__ import annotations

from collections import defaultdict

from lagoonwing_catalog.models import Document, MemberKeys, Route, Service
from lagoonwing_core.ids import DocumentVersion, ServiceId


class RouteTable:
    """Immutable index of one document."""

    def __init__(self, document: Document) -> None:
        self.version: DocumentVersion = document.version
        self.limits = document.limits
        self.requires_keys = document.members is not None
        self.service_by_id: dict[ServiceId, Service] = {
            service.service_id: service for service in document.services
        }
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in document.routes:
            self._route_by_prefix_by_host[route.host.lower()][route.path_prefix] = route
        self._member_by_key: dict[str, MemberKeys] = {
            key: member for member in document.members or () for key in member.keys
        }

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, if any.

        Args:
            host: Host name without port.
            path: Path without query.
        """
        route_by_prefix = self._route_by_prefix_by_host.get(host.lower())
        if route_by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def member_by_key(self, key: str) -> MemberKeys | None:
        """Return the member with the given key, if any."""
        return self._member_by_key.get(key)
