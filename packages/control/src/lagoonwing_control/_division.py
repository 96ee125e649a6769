"""Division of one cap among entry hosts by their demand."""

from __future__ import annotations

import math
from collections.abc import Mapping

from lagoonwing_core.ids import HostId

# Part of a rate that stays unallotted, so that a new entry host gets something at once.
RESERVE_SHARE = 0.02


def divide(
    cap: float, wanted_by_host: Mapping[HostId, float], integral: bool, turn: int
) -> dict[HostId, float]:
    """Return what each entry host ought to hold of a cap.

    Demands are met by water-filling: nobody gets more than it wants while another wants more
    than it gets. What nobody wants is spread evenly, less one portion for an unknown newcomer.

    Args:
        cap: Amount to divide.
        wanted_by_host: Demand of each live entry host.
        integral: Whether amounts are whole numbers.
        turn: Rises with time; rotates who gets what an even division leaves over.
    """
    usable = cap if integral else cap * (1.0 - RESERVE_SHARE)
    filled = water_fill(usable, wanted_by_host)
    spare = (usable - math.fsum(filled.values())) / (len(filled) + 1)
    level_by_host = {host_id: amount + max(0.0, spare) for host_id, amount in filled.items()}
    if not integral:
        return level_by_host
    return _whole(level_by_host, wanted_by_host, cap, turn)


def water_fill(cap: float, wanted_by_host: Mapping[HostId, float]) -> dict[HostId, float]:
    """Return the max-min fair division of a cap among demands."""
    amount_by_host: dict[HostId, float] = {}
    left = max(0.0, cap)
    ascending = sorted(wanted_by_host.items(), key=lambda item: (item[1], item[0]))
    for position, (host_id, wanted) in enumerate(ascending):
        level = left / (len(ascending) - position)
        amount_by_host[host_id] = min(max(0.0, wanted), level)
        left -= amount_by_host[host_id]
    return amount_by_host


def _whole(
    level_by_host: Mapping[HostId, float],
    wanted_by_host: Mapping[HostId, float],
    cap: float,
    turn: int,
) -> dict[HostId, float]:
    """Round a division down and give what is left over, one each, to unmet demands."""
    amount_by_host = {host_id: float(math.floor(x + 1e-9)) for host_id, x in level_by_host.items()}
    left = math.floor(cap) - int(math.fsum(amount_by_host.values()))
    hosts = sorted(amount_by_host)
    start = turn % len(hosts) if hosts else 0
    for host_id in hosts[start:] + hosts[:start]:
        if left > 0 and amount_by_host[host_id] < wanted_by_host[host_id]:
            amount_by_host[host_id] += 1.0
            left -= 1
    return amount_by_host
