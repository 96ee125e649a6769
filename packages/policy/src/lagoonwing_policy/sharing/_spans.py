"""Spans of the pools by entry host, which follow the divisions with a delay."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from lagoonwing_core.ids import HostId
from lagoonwing_policy.sharing._division import Division
from lagoonwing_policy.sharing.const import REBALANCE_ABOVE, REBALANCE_BELOW, SHARE_SMOOTHING_S
from lagoonwing_policy.sharing.models import CapacitySpan

SharesByHost = dict[HostId, float]


class SpanTable:
    """Share of each pool by entry host, smoothed over time and held still against noise.

    Hosts with the same news come to the same shares, for the delay forgets where it started.
    """

    def __init__(self) -> None:
        self._hosts: tuple[HostId, ...] = ()
        self._smoothed_by_pool: dict[str, SharesByHost] = {}
        self._applied_by_pool: dict[str, SharesByHost] = {}
        self._rebalancing: set[str] = set()
        self._advanced = -math.inf

    def advance(
        self, hosts: Sequence[HostId], division_by_pool: Mapping[str, Division], now: float
    ) -> None:
        """Move every share towards its division.

        Args:
            hosts: Entry hosts that are alive, in order; another set starts afresh.
            division_by_pool: Divisions of the pools in which anybody has work.
            now: Time in seconds.
        """
        weight = 1.0 - math.exp(-max(0.0, now - self._advanced) / SHARE_SMOOTHING_S)
        if self._hosts != tuple(hosts):
            self._hosts = tuple(hosts)
            weight = 1.0
        self._advanced = now
        even = dict.fromkeys(self._hosts, 1.0 / len(self._hosts))
        known = {} if weight == 1.0 else self._smoothed_by_pool
        self._smoothed_by_pool = {
            pool: _smooth(known.get(pool, even), division, weight)
            for pool, division in division_by_pool.items()
        }
        applied = {} if weight == 1.0 else self._applied_by_pool
        self._applied_by_pool = {
            pool: self._applied(pool, applied.get(pool), smoothed)
            for pool, smoothed in self._smoothed_by_pool.items()
        }

    def _applied(
        self, pool: str, applied: SharesByHost | None, smoothed: SharesByHost
    ) -> SharesByHost:
        """Return the shares in use: those so far, unless the smoothed ones have moved away."""
        if applied is None:
            return smoothed
        distance = max(abs(smoothed[host_id] - applied[host_id]) for host_id in smoothed)
        if distance > REBALANCE_ABOVE:
            self._rebalancing.add(pool)
        elif distance < REBALANCE_BELOW:
            self._rebalancing.discard(pool)
        return smoothed if pool in self._rebalancing else applied

    def span(self, pool: str, host_id: HostId) -> CapacitySpan:
        """Return one host's span of a pool."""
        start = 0.0
        for other in self._hosts:
            end = start + self._applied_by_pool[pool][other]
            if other == host_id:
                return CapacitySpan(start, min(1.0, end))
            start = end
        raise KeyError(host_id)


def _smooth(
    share_by_host: Mapping[HostId, float], division: Division, weight: float
) -> SharesByHost:
    """Return shares moved towards a division by a weight."""
    total = sum(division.slots_by_host.values())
    return {
        host_id: share + weight * (division.slots_by_host[host_id] / total - share)
        for host_id, share in share_by_host.items()
    }
