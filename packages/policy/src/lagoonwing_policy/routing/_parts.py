"""Whole attempts that this entry host may have in flight on each endpoint."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from lagoonwing_core.ids import EndpointId
from lagoonwing_policy.sharing.models import CapacityPart

_HASH_RANGE = 2.0**64


@dataclass(frozen=True, slots=True)
class EvenPart:
    """A part like that of every other entry host, as long as there is no news of their work."""

    entry_hosts: int

    @property
    def size(self) -> float:
        """Share of the slots."""
        return 1.0 / self.entry_hosts


Part = EvenPart | CapacityPart


class PartTable:
    """Rounds this host's part of each endpoint's limit to whole attempts.

    Every entry host rounds the ends of its span by the same offset of the endpoint, so that the
    quotas of hosts with the same news add up to the limit, and no host is always rounded down.
    """

    def __init__(self, entry_hosts: int) -> None:
        self._other_part: Part = EvenPart(max(1, entry_hosts))
        self._part_by_endpoint: Mapping[EndpointId, CapacityPart] = {}

    def set_entry_hosts(self, count: int) -> None:
        """Divide every endpoint evenly among a number of entry hosts."""
        self._other_part = EvenPart(max(1, count))
        self._part_by_endpoint = {}

    def replace(
        self, part_by_endpoint: Mapping[EndpointId, CapacityPart], even_part: CapacityPart
    ) -> None:
        """Replace every part."""
        self._part_by_endpoint = part_by_endpoint
        self._other_part = even_part

    def part(self, endpoint_id: EndpointId) -> Part:
        """Return this host's part of an endpoint."""
        return self._part_by_endpoint.get(endpoint_id, self._other_part)

    def quota(self, endpoint_id: EndpointId, limit: float) -> int:
        """Return the attempts that this host may have in flight on an endpoint.

        Args:
            endpoint_id: The endpoint.
            limit: Attempts of all entry hosts together.
        """
        match self.part(endpoint_id):
            case EvenPart(entry_hosts):
                return math.ceil(limit / entry_hosts)
            case CapacityPart(start, end):
                offset = xxhash.xxh3_64_intdigest(endpoint_id.encode()) / _HASH_RANGE
                return _whole(limit * end + offset) - _whole(limit * start + offset)


def _whole(position: float) -> int:
    """Round down; ends that join but for the error of floating point give the same number."""
    return math.floor(round(position, 6))
