"""Weighted max-min division of a pool's slots among members, then among entry hosts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lagoonwing_core.ids import HostId, MemberId
from lagoonwing_policy.sharing.const import EVEN_SHARE
from lagoonwing_policy.sharing.models import MemberWork


@dataclass(frozen=True, slots=True)
class Division:
    """Slots of one pool by entry host.

    Attributes:
        slots_by_member: Slots of a member over all entry hosts.
        slots_by_host: Slots that an entry host may use, including its reserve for new work.
        used_by_host: Slots of each member at each entry host.
    """

    slots_by_member: Mapping[MemberId, float]
    slots_by_host: Mapping[HostId, float]
    used_by_host: Mapping[HostId, Mapping[MemberId, float]]


def divide_pool(slots: float, rows_by_host: Mapping[HostId, Iterable[MemberWork]]) -> Division:
    """Divide the slots of a pool.

    A member gets at most as many slots as it has requests; unused slots go to the others by
    weight. The slots of a member are divided among entry hosts in proportion to its work there.
    Slots that no member uses, and a small reserve, are divided evenly among the hosts.

    Args:
        slots: Number of slots of the pool.
        rows_by_host: Work in this pool at each entry host, including hosts without work.
    """
    demand, weight = _sum_by_member(rows_by_host)
    contended = slots * (1.0 - EVEN_SHARE)
    allotted = max_min_allocation(contended, demand, weight)
    spare = slots - sum(allotted.values())
    even = spare / len(rows_by_host)
    used: dict[HostId, dict[MemberId, float]] = {}
    total: dict[HostId, float] = {}
    for host_id, rows in rows_by_host.items():
        used[host_id] = _used(rows, allotted, demand)
        total[host_id] = even + sum(used[host_id].values())
    return Division(allotted, total, used)


def _used(
    rows: Iterable[MemberWork],
    allotted: Mapping[MemberId, float],
    demand: Mapping[MemberId, float],
) -> dict[MemberId, float]:
    """Return the slots of each member at one entry host, in proportion to its work there."""
    used: dict[MemberId, float] = {}
    for row in rows:
        if demand[row.member_id] > 0.0:
            part = allotted[row.member_id] * row.requests / demand[row.member_id]
            used[row.member_id] = used.get(row.member_id, 0.0) + part
    return used


def _sum_by_member(
    rows_by_host: Mapping[HostId, Iterable[MemberWork]],
) -> tuple[dict[MemberId, float], dict[MemberId, float]]:
    """Return the total requests and the weight of each member over all entry hosts."""
    demand: dict[MemberId, float] = {}
    weight: dict[MemberId, float] = {}
    for rows in rows_by_host.values():
        for row in rows:
            demand[row.member_id] = demand.get(row.member_id, 0.0) + row.requests
            weight[row.member_id] = max(weight.get(row.member_id, 0.0), row.weight)
    return demand, weight


def max_min_allocation(
    amount: float, demand: Mapping[MemberId, float], weight: Mapping[MemberId, float]
) -> dict[MemberId, float]:
    """Compute a weighted max-min fair allocation.

    Members are processed in order of demand over weight: each gets its demand or its weighted
    share of the remaining amount, whichever is less.

    Args:
        amount: Amount to divide.
        demand: Amount that each member can use.
        weight: Weight of each member.
    """
    result: dict[MemberId, float] = {}
    left = amount
    weight_left = sum(weight.values())
    order = sorted(demand, key=lambda item: (demand[item] / max(weight[item], 1e-9), item))
    for member_id in order:
        part = left * weight[member_id] / weight_left if weight_left > 0.0 else 0.0
        result[member_id] = min(demand[member_id], part)
        left -= result[member_id]
        weight_left -= weight[member_id]
    return result
