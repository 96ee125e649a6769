"""Spans of the pools by entry host; smoothed divisions with hysteresis."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from lagoonwing_core.ids import HostId
from lagoonwing_policy.sharing._division import Division
from lagoonwing_policy.sharing.const import REBALANCE_ABOVE, REBALANCE_BELOW, SHARE_SMOOTHING_S
from lagoonwing_policy.sharing.models import CapacitySpan

SharesByHost = dict[HostId, float]


class SpanTable:
    """Shares of each pool by entry host, smoothed over time, with hysteresis against noise.

    Hosts with the same reports converge to the same shares, because exponential smoothing
    forgets its initial state.
    """

    def __init__(self) -> None:
        self._hosts: tuple[HostId, ...] = ()
        self._smoothed_by_pool: dict[str, SharesByHost] = {}
        self._applied_by_pool: dict[str, SharesByHost] = {}
        self._rebalancing: set[str] = set()
        self._updated = -math.inf

    def advance(
        self, hosts: Sequence[HostId], division_by_pool: Mapping[str, Division], now: float
    ) -> None:
        """Move all shares towards their divisions.

        Args:
            hosts: Live entry hosts, sorted; a changed set resets the smoothing.
            division_by_pool: Divisions of the pools in which any host has work.
            now: Time in seconds.
        """
        weight = 1.0 - math.exp(-max(0.0, now - self._updated) / SHARE_SMOOTHING_S)
        if self._hosts != tuple(hosts):
            self._hosts = tuple(hosts)
            weight = 1.0
        self._updated = now
        even = dict.fromkeys(self._hosts, 1.0 / len(self._hosts))
        previous = {} if weight == 1.0 else self._smoothed_by_pool
        self._smoothed_by_pool = {
            pool: _smooth(previous.get(pool, even), division, weight)
            for pool, division in division_by_pool.items()
        }
        current = {} if weight == 1.0 else self._applied_by_pool
        self._applied_by_pool = {
            pool: self._apply_hysteresis(pool, current.get(pool), smoothed)
            for pool, smoothed in self._smoothed_by_pool.items()
        }

    def _apply_hysteresis(
        self, pool: str, current: SharesByHost | None, smoothed: SharesByHost
    ) -> SharesByHost:
        """Return the shares to use: the current ones, or the smoothed ones while rebalancing."""
        if current is None:
            return smoothed
        distance = max(abs(smoothed[host_id] - current[host_id]) for host_id in smoothed)
        if distance > REBALANCE_ABOVE:
            self._rebalancing.add(pool)
        elif distance < REBALANCE_BELOW:
            self._rebalancing.discard(pool)
        return smoothed if pool in self._rebalancing else current

    def span(self, pool: str, host_id: HostId) -> CapacitySpan:
        """Return the span of one host in a pool."""
        start = 0.0
        for current_id in self._hosts:
            end = start + self._applied_by_pool[pool][current_id]
            if current_id == host_id:
                return CapacitySpan(start, min(1.0, end))
            start = end
        raise KeyError(host_id)


def _smooth(
    share_by_host: Mapping[HostId, float], division: Division, weight: float
) -> SharesByHost:
    """Return shares that are moved towards a division by `weight`."""
    total = sum(division.slots_by_host.values())
    return {
        host_id: share + weight * (division.slots_by_host[host_id] / total - share)
        for host_id, share in share_by_host.items()
    }
