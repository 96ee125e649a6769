"""Aggregates the capacity of a cell's endpoints by model, layer range and service."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lagoonwing_core.ids import EndpointId
from lagoonwing_core.models import EndpointKind, EndpointRecord
from lagoonwing_membership import const
from lagoonwing_membership.models import CapacityRow


@dataclass(slots=True)
class _Sum:
    """Running totals of one capacity row."""

    endpoints: int = 0
    slots: int = 0
    free_slots: int = 0
    tokens_per_s: float = 0.0


def capacity_rows(
    records: Iterable[EndpointRecord], running_by_id: Mapping[EndpointId, int]
) -> tuple[CapacityRow, ...]:
    """Aggregate endpoints by model, layer range and service.

    Args:
        records: Endpoints eligible for work.
        running_by_id: Attempts known to be running on each endpoint.

    Returns:
        Rows sorted by key, at most `MAX_ROWS_PER_CELL`.
    """
    sum_by_key: dict[tuple[str, int, int], _Sum] = {}
    for record in records:
        running = running_by_id.get(record.endpoint_id, 0)
        for key in _keys(record):
            row = sum_by_key.setdefault(key, _Sum())
            row.endpoints += 1
            row.slots += record.slots
            row.free_slots += max(0, record.slots - running)
            row.tokens_per_s += record.tokens_per_s
    rows = (
        CapacityRow(*key, row.endpoints, row.slots, row.free_slots, round(row.tokens_per_s))
        for key, row in sorted(sum_by_key.items())
    )
    return tuple(rows)[: const.MAX_ROWS_PER_CELL]


def differs_significantly(old: tuple[CapacityRow, ...], new: tuple[CapacityRow, ...]) -> bool:
    """Return whether the rows or their slots differ, or free slots differ beyond the threshold."""
    if len(old) != len(new):
        return True
    for one, other in zip(old, new, strict=True):
        if (one.key, one.first, one.end, one.slots) != (
            other.key,
            other.first,
            other.end,
            other.slots,
        ):
            return True
        if abs(one.free_slots - other.free_slots) > const.SIGNIFICANT_CHANGE_RATIO * max(
            1, one.slots
        ):
            return True
    return False


def _keys(record: EndpointRecord) -> list[tuple[str, int, int]]:
    """Return the keys of the rows that an endpoint counts towards."""
    if record.kind is EndpointKind.SERVICE:
        return [(f"service/{record.service}", 0, 0)]
    first, end = (record.layers.first, record.layers.end) if record.layers else (0, 0)
    return [(f"model/{model_id}", first, end) for model_id in record.models]
