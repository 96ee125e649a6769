"""Return of endpoints to the range of the layout after a repair: growing and shrinking."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonwing_catalog.models import Engine
from lagoonwing_placement._capacity import load_s, new_layer_count
from lagoonwing_placement._coverage import GroupCoverage
from lagoonwing_placement.const import SHRINK_MIN_HOLDERS
from lagoonwing_placement.models import (
    OrderReason,
    PartitionLayout,
    PlacementEndpoint,
    PlacementOrder,
)


def resize_orders(
    engine: Engine,
    layout: PartitionLayout,
    group: Iterable[PlacementEndpoint],
    coverage: GroupCoverage,
) -> list[PlacementOrder]:
    """Return the orders that restore the layout's block counts; `coverage` is updated.

    An endpoint that loaded only a hole grows. One that was extended over a hole shrinks once two
    others hold those blocks, with no less KV capacity than the weakest block of the group.
    """
    orders: list[PlacementOrder] = []
    for endpoint in group:
        if endpoint.pending is not None or endpoint.held is None:
            continue
        order = _resize_order(engine, layout, coverage, endpoint)
        if order is not None:
            coverage.apply(endpoint, order.layers)
            orders.append(order)
    return orders


def _resize_order(
    engine: Engine, layout: PartitionLayout, coverage: GroupCoverage, endpoint: PlacementEndpoint
) -> PlacementOrder | None:
    """Return the order that restores the block count of an endpoint, if one is due."""
    held = coverage.blocks(endpoint.held)
    count = layout.blocks_by_kind[endpoint.accelerator.kind]
    if not held or count in (0, len(held)):
        return None
    is_growing = count > len(held)
    weakest_tokens = min(coverage.capacity)
    best: tuple[float, int] | None = None
    for first in _starts(held, count, layout.block_count):
        layers = layout.layers(first, count)
        if not coverage.can_drop(endpoint, layers, remaining=SHRINK_MIN_HOLDERS):
            continue
        capacity = coverage.capacity_after(endpoint, layers)
        if not is_growing and min(capacity) < weakest_tokens:
            continue
        # Growing adds to the weakest blocks; shrinking leaves the weakest blocks alone.
        tokens = sum(coverage.capacity[first : first + count])
        if best is None or tokens < best[0]:
            best = (tokens, first)
    if best is None:
        return None
    layers = layout.layers(best[1], count)
    loaded = new_layer_count(endpoint.held, layers)
    reason = OrderReason.GROW if is_growing else OrderReason.SHRINK
    return PlacementOrder(endpoint.endpoint_id, layers, load_s(engine, loaded), reason)


def _starts(held: range, count: int, block_count: int) -> range:
    """Return the first blocks of the windows that contain the held blocks or lie within them."""
    if count > len(held):
        return range(max(0, held.stop - count), min(held.start, block_count - count) + 1)
    return range(held.start, held.stop - count + 1)
