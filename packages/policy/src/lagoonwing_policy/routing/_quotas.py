"""Number of attempts that this entry host may have in flight on each endpoint."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from lagoonwing_core.ids import EndpointId
from lagoonwing_policy.sharing.models import CapacitySpan

_HASH_RANGE = 2.0**64


@dataclass(frozen=True, slots=True)
class EvenShare:
    """Equal share of every entry host, used until work reports are available."""

    entry_hosts: int

    @property
    def size(self) -> float:
        """Share of the slots."""
        return 1.0 / self.entry_hosts


HostShare = EvenShare | CapacitySpan


class QuotaTable:
    """Rounds this host's share of each endpoint's limit to an integer.

    All entry hosts add the same endpoint-specific offset before they round the ends of their
    spans. The quotas of hosts with the same reports thus add up to the limit, and no host is
    always rounded down.
    """

    def __init__(self, entry_hosts: int) -> None:
        self._default_share: HostShare = EvenShare(max(1, entry_hosts))
        self._span_by_endpoint: Mapping[EndpointId, CapacitySpan] = {}

    def set_entry_hosts(self, count: int) -> None:
        """Divide every endpoint evenly among `count` entry hosts."""
        self._default_share = EvenShare(max(1, count))
        self._span_by_endpoint = {}

    def replace(
        self, span_by_endpoint: Mapping[EndpointId, CapacitySpan], even_span: CapacitySpan
    ) -> None:
        """Replace all spans."""
        self._span_by_endpoint = span_by_endpoint
        self._default_share = even_span

    def share_of(self, endpoint_id: EndpointId) -> HostShare:
        """Return this host's share of an endpoint."""
        return self._span_by_endpoint.get(endpoint_id, self._default_share)

    def quota(self, endpoint_id: EndpointId, limit: float) -> int:
        """Return the number of attempts that this host may have in flight on an endpoint.

        Args:
            endpoint_id: The endpoint.
            limit: Limit for all entry hosts together.
        """
        match self.share_of(endpoint_id):
            case EvenShare(entry_hosts):
                return math.ceil(limit / entry_hosts)
            case CapacitySpan(start, end):
                offset = xxhash.xxh3_64_intdigest(endpoint_id.encode()) / _HASH_RANGE
                return _stable_floor(limit * end + offset) - _stable_floor(limit * start + offset)


def _stable_floor(position: float) -> int:
    """Round down, tolerating rounding errors so that adjacent spans get the same boundary."""
    return math.floor(round(position, 6))
