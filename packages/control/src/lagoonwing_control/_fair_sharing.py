"""Max-min fair division of one cap among entry hosts."""

from __future__ import annotations

import math
from collections.abc import Mapping

from lagoonwing_core.ids import HostId

# Fraction of a rate kept unallotted so that a new entry host gets a share immediately.
RESERVED_FRACTION = 0.02


def divide_cap(
    cap: float, demand_by_host: Mapping[HostId, float], integral: bool, rotation: int
) -> dict[HostId, float]:
    """Return the target share of a cap for each entry host.

    Demands are met by water-filling (max-min fairness). Capacity beyond the demand is spread
    evenly, with one portion held back for an entry host that has not reported yet.

    Args:
        cap: Amount to divide.
        demand_by_host: Demand of each live entry host.
        integral: Whether shares must be integers.
        rotation: Increases with time; rotates which hosts receive the remainder.
    """
    distributable = cap if integral else cap * (1.0 - RESERVED_FRACTION)
    demand_share_by_host = max_min_fair_shares(distributable, demand_by_host)
    surplus_share = (distributable - math.fsum(demand_share_by_host.values())) / (
        len(demand_share_by_host) + 1
    )
    share_by_host = {
        host_id: amount + max(0.0, surplus_share)
        for host_id, amount in demand_share_by_host.items()
    }
    if not integral:
        return share_by_host
    return _round_to_integers(share_by_host, demand_by_host, cap, rotation)


def max_min_fair_shares(cap: float, demand_by_host: Mapping[HostId, float]) -> dict[HostId, float]:
    """Return the max-min fair shares of a cap, computed by water-filling."""
    amount_by_host: dict[HostId, float] = {}
    remaining = max(0.0, cap)
    ascending = sorted(demand_by_host.items(), key=lambda item: (item[1], item[0]))
    for position, (host_id, demand) in enumerate(ascending):
        equal_share = remaining / (len(ascending) - position)
        amount_by_host[host_id] = min(max(0.0, demand), equal_share)
        remaining -= amount_by_host[host_id]
    return amount_by_host


def _round_to_integers(
    share_by_host: Mapping[HostId, float],
    demand_by_host: Mapping[HostId, float],
    cap: float,
    rotation: int,
) -> dict[HostId, float]:
    """Round shares down and distribute the remainder, one unit each, to unmet demands."""
    amount_by_host = {host_id: float(math.floor(x + 1e-9)) for host_id, x in share_by_host.items()}
    remaining = math.floor(cap) - int(math.fsum(amount_by_host.values()))
    hosts = sorted(amount_by_host)
    start = rotation % len(hosts) if hosts else 0
    for host_id in hosts[start:] + hosts[:start]:
        if remaining > 0 and amount_by_host[host_id] < demand_by_host[host_id]:
            amount_by_host[host_id] += 1.0
            remaining -= 1
    return amount_by_host
