"""Lookup of routes and keys in the document in force."""

from __future__ import annotations

from collections import defaultdict

from lagoonwing_catalog.models import Document, MemberKeys, Route, Service
from lagoonwing_core.ids import DocumentVersion, ServiceId


class RouteTable:
    """One document, indexed; a new document makes a new table."""

    def __init__(self, document: Document) -> None:
        self.version: DocumentVersion = document.version
        self.limits = document.limits
        self.asks_for_keys = document.members is not None
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
        """Return the route with the longest prefix of a path, if there is one.

        Args:
            host: Host name without a port.
            path: Path without its query.
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

    def member_of(self, key: str) -> MemberKeys | None:
        """Return the member that holds a key, if there is one."""
        return self._member_by_key.get(key)
