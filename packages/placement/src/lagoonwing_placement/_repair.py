"""Placement orders derived from the layers that endpoints currently hold."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from lagoonwing_catalog.models import Engine, LayerRange
from lagoonwing_core.ids import AcceleratorKind
from lagoonwing_placement._capacity import load_s, max_layers, resident_tokens
from lagoonwing_placement._planner import (
    EndpointGroup,
    assign_layers,
    choose_layout,
    group_by_domain,
)
from lagoonwing_placement.models import PartitionLayout, PlacementEndpoint, PlacementOrder


def due_orders(
    engine: Engine, endpoints: Sequence[PlacementEndpoint]
) -> tuple[PlacementOrder, ...]:
    """Return the orders that bring each failure domain closer to holding every layer.

    Endpoints without layers are assigned first. If a domain still has blocks that no endpoint
    holds, an endpoint whose layers are replicated elsewhere in the group is moved to them.
    """
    layout = infer_layout(engine, endpoints) or choose_layout(engine, endpoints)
    if layout is None:
        return ()
    orders: list[PlacementOrder] = []
    for group in group_by_domain(engine, endpoints):
        orders.extend(_group_orders(engine, layout, group))
    return tuple(orders)


def infer_layout(engine: Engine, endpoints: Iterable[PlacementEndpoint]) -> PartitionLayout | None:
    """Infer the layout from the layers currently held, if any are.

    This keeps the layout of the first plan across leader changes and fleet changes.
    """
    counts_by_kind: dict[AcceleratorKind, Counter[int]] = defaultdict(Counter)
    width = 0
    accelerator_by_kind = {}
    for endpoint in endpoints:
        accelerator_by_kind[endpoint.accelerator.kind] = endpoint.accelerator
        if endpoint.target is not None:
            width = math.gcd(width, endpoint.target.first, endpoint.target.end)
            counts_by_kind[endpoint.accelerator.kind][endpoint.target.count] += 1
    if width == 0 or engine.layer_count % width != 0:
        return None
    boundaries = tuple(range(0, engine.layer_count + 1, width))
    blocks_by_kind = {}
    for kind, accelerator in accelerator_by_kind.items():
        most_common = counts_by_kind[kind].most_common(1)
        layers = most_common[0][0] if most_common else max_layers(engine, accelerator)
        blocks_by_kind[kind] = min(layers // width, len(boundaries) - 1)
    return PartitionLayout(boundaries, blocks_by_kind)


def _group_orders(
    engine: Engine, layout: PartitionLayout, group: EndpointGroup
) -> list[PlacementOrder]:
    """Return the orders due within a group of endpoints that holds the model between them."""
    capacity = [0.0] * layout.block_count
    for endpoint in group:
        _add_capacity(engine, layout, capacity, endpoint, 1.0)
    empty = [endpoint for endpoint in group if endpoint.target is None]
    layers_by_id = assign_layers(engine, layout, empty, capacity)
    orders = [
        PlacementOrder(endpoint_id, layers, load_s(engine, layers.count), "empty")
        for endpoint_id, layers in sorted(layers_by_id.items())
    ]
    holders = [endpoint for endpoint in group if endpoint.target is not None]
    move = _move_to_missing_block(engine, layout, holders, capacity) if not all(capacity) else None
    return orders if move is None else [*orders, move]


def _add_capacity(
    engine: Engine,
    layout: PartitionLayout,
    capacity: list[float],
    endpoint: PlacementEndpoint,
    sign: float,
) -> None:
    """Add the KV capacity of an endpoint, times `sign`, to the blocks it will hold."""
    layers = endpoint.target
    if layers is None:
        return
    tokens = resident_tokens(engine, endpoint.accelerator, layers.count)
    for block in range(layout.block_count):
        if layers.covers(layout.layers(block, 1)):
            capacity[block] += sign * tokens


def _move_to_missing_block(
    engine: Engine,
    layout: PartitionLayout,
    holders: Iterable[PlacementEndpoint],
    capacity: Sequence[float],
) -> PlacementOrder | None:
    """Return an order that moves a redundant endpoint to a block that no endpoint holds.

    Only one endpoint moves at a time, so that two endpoints never drop the same layer together.
    """
    missing_block = next(block for block, tokens in enumerate(capacity) if tokens <= 0)
    best: tuple[float, PlacementEndpoint] | None = None
    for endpoint in holders:
        if endpoint.pending is not None:
            return None
        remaining = list(capacity)
        _add_capacity(engine, layout, remaining, endpoint, -1.0)
        lost = [
            tokens_left
            for block, tokens_left in enumerate(remaining)
            if capacity[block] > 0
            and endpoint.held is not None
            and endpoint.held.covers(layout.layers(block, 1))
        ]
        if lost and min(lost) > 0 and (best is None or min(lost) > best[0]):
            best = (min(lost), endpoint)
    if best is None:
        return None
    endpoint = best[1]
    count = layout.blocks_by_kind[endpoint.accelerator.kind]
    first = max(0, min(missing_block, layout.block_count - count))
    layers = layout.layers(first, count)
    return PlacementOrder(endpoint.endpoint_id, layers, load_s(engine, layers.count), "hole")


def new_layer_count(held: LayerRange | None, wanted: LayerRange) -> int:
    """Return the number of layers that an endpoint must load for an order."""
    if held is None:
        return wanted.count
    common = min(held.end, wanted.end) - max(held.first, wanted.first)
    return wanted.count - max(0, common)
