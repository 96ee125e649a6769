"""What selects a route; asked by the check of documents and by the lookup of requests alike.

Two routes clash if no request can tell them apart. The host of a request is the value of its
`Host` header (RFC 9110, section 7.2): white space around it does not belong to it, a port is not
part of a host (RFC 3986, section 3.2), and ASCII letters of either case are the same (RFC 3986,
section 6.2.2.1; RFC 4343). Prefixes are compared as they are written, since a prefix has to begin
the path.
"""

from __future__ import annotations

import string
from collections.abc import Iterable, Iterator
from functools import cache
from typing import NamedTuple, NewType

from lagoonwing_catalog.models import Route

# Host name in the form in which hosts are compared.
HostName = NewType("HostName", str)

_WHITE_SPACE = " \t"
_TO_LOWER_CASE = str.maketrans(string.ascii_uppercase, string.ascii_lowercase)


class RouteKey(NamedTuple):
    """Host and path prefix of a route, in the form in which they are compared."""

    host: HostName
    path_prefix: str


def keyed_routes(routes: Iterable[Route]) -> Iterator[tuple[RouteKey, Route]]:
    """Yield routes with what selects them; in a valid document, no two have the same key."""
    host_of = cache(canonical_host)  # Many routes share a host.
    for route in routes:
        yield RouteKey(host_of(route.host), route.path_prefix), route


def canonical_host(text: str) -> HostName:
    """Return the host of a `Host` header or of a route.

    Text in which no port can be told apart, like an IPv6 address without brackets, is kept whole.
    """
    host = text.strip(_WHITE_SPACE)
    if host.startswith("["):
        host = host[: host.find("]") + 1] or host
    elif host.count(":") == 1:
        host = host[: host.index(":")].rstrip(_WHITE_SPACE)
    return HostName(host.lower() if host.isascii() else host.translate(_TO_LOWER_CASE))


def is_canonical(text: str) -> bool:
    """Return whether a host is written in the form in which it is compared, but for letter case."""
    return text.lower() == canonical_host(text).lower()


def other_spelling(host: HostName) -> HostName:
    """Return the same name with or without the dot that ends a complete domain name.

    A request can tell the two apart, so both may have routes; it is served by those of the other
    spelling where none of its own matches.
    """
    return HostName(host[:-1] if host.endswith(".") else f"{host}.")
