"""Failure domains in which a request has failed and that its next attempt avoids."""

from __future__ import annotations

from collections import OrderedDict

from lagoonwing_core.ids import FailureDomainId, RequestId
from lagoonwing_policy.routing import const

_NO_DOMAINS: frozenset[FailureDomainId] = frozenset()


class FailedDomainTable:
    """Failure domains by request, for the most recently failed requests."""

    def __init__(self) -> None:
        self._domains_by_request: OrderedDict[RequestId, frozenset[FailureDomainId]] = OrderedDict()

    def of(self, request_id: RequestId) -> frozenset[FailureDomainId]:
        """Return the domains that a request avoids."""
        return self._domains_by_request.get(request_id, _NO_DOMAINS)

    def add(
        self, request_id: RequestId, domain: FailureDomainId | None
    ) -> frozenset[FailureDomainId]:
        """Add a domain, if it is known, and return all domains of the request."""
        avoided = self._domains_by_request.pop(request_id, _NO_DOMAINS)
        if domain is not None:
            avoided |= {domain}
        self._domains_by_request[request_id] = avoided
        if len(self._domains_by_request) > const.MAX_FAILED_DOMAINS:
            self._domains_by_request.popitem(last=False)
        return avoided

    def discard(self, request_id: RequestId) -> None:
        """Discard a request that has ended."""
        self._domains_by_request.pop(request_id, None)
