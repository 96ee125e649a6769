"""Placement orders derived from the layers that endpoints currently hold."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from lagoonwing_catalog.models import Engine
from lagoonwing_core.ids import AcceleratorKind
from lagoonwing_placement._capacity import load_s, max_layers
from lagoonwing_placement._coverage import GroupCoverage
from lagoonwing_placement._holes import hole_orders
from lagoonwing_placement._planner import (
    EndpointGroup,
    assign_layers,
    choose_layout,
    group_by_domain,
)
from lagoonwing_placement._resize import resize_orders
from lagoonwing_placement.models import (
    OrderReason,
    PartitionLayout,
    PlacementEndpoint,
    PlacementOrder,
)


def due_orders(
    engine: Engine, endpoints: Sequence[PlacementEndpoint]
) -> tuple[PlacementOrder, ...]:
    """Return the orders that bring each failure domain closer to holding every layer.

    Holes are closed first. Other loads wait while as many run as the weight store serves at full
    speed, because every further load delays those that run.
    """
    layout = infer_layout(engine, endpoints)
    if layout is None:
        return _initial_orders(engine, endpoints)
    orders: list[PlacementOrder] = []
    for group in group_by_domain(engine, endpoints):
        orders.extend(_group_orders(engine, layout, group))
    return _limit_loads(engine, endpoints, orders)


def infer_layout(engine: Engine, endpoints: Iterable[PlacementEndpoint]) -> PartitionLayout | None:
    """Infer the layout from the layers currently held, if any are.

    This keeps the layout of the first plan across leader changes and fleet changes. Ranges count
    by their layers, so that endpoints that have only loaded a hole so far don't change it.
    """
    layers_by_count_by_kind: dict[AcceleratorKind, Counter[int]] = defaultdict(Counter)
    width = 0
    accelerator_by_kind = {}
    for endpoint in endpoints:
        accelerator_by_kind[endpoint.accelerator.kind] = endpoint.accelerator
        if endpoint.target is not None:
            width = math.gcd(width, endpoint.target.first, endpoint.target.end)
            count = endpoint.target.count
            layers_by_count_by_kind[endpoint.accelerator.kind][count] += count
    if width == 0 or engine.layer_count % width != 0:
        return None
    boundaries = tuple(range(0, engine.layer_count + 1, width))
    blocks_by_kind = {}
    for kind, accelerator in accelerator_by_kind.items():
        most_common = layers_by_count_by_kind[kind].most_common(1)
        layers = most_common[0][0] if most_common else max_layers(engine, accelerator)
        blocks_by_kind[kind] = min(layers // width, len(boundaries) - 1)
    return PartitionLayout(boundaries, blocks_by_kind)


def _initial_orders(
    engine: Engine, endpoints: Sequence[PlacementEndpoint]
) -> tuple[PlacementOrder, ...]:
    """Return the orders of the first plan."""
    layout = choose_layout(engine, endpoints)
    if layout is None:
        return ()
    orders: list[PlacementOrder] = []
    for group in group_by_domain(engine, endpoints):
        orders.extend(_empty_orders(engine, layout, group, [0.0] * layout.block_count))
    return tuple(orders)


def _group_orders(
    engine: Engine, layout: PartitionLayout, group: EndpointGroup
) -> list[PlacementOrder]:
    """Return the orders due within a group of endpoints that holds the model between them."""
    coverage = GroupCoverage(engine, layout, group)
    orders: list[PlacementOrder] = []
    if any(coverage.capacity):
        orders.extend(hole_orders(engine, layout, group, coverage))
    ordered_ids = {order.endpoint_id for order in orders}
    others = [endpoint for endpoint in group if endpoint.endpoint_id not in ordered_ids]
    orders.extend(_empty_orders(engine, layout, others, coverage.capacity))
    if not coverage.missing_blocks():
        orders.extend(resize_orders(engine, layout, others, coverage))
    return orders


def _empty_orders(
    engine: Engine,
    layout: PartitionLayout,
    endpoints: Iterable[PlacementEndpoint],
    capacity: list[float],
) -> list[PlacementOrder]:
    """Return the orders for endpoints without layers; `capacity` is updated."""
    empty = [endpoint for endpoint in endpoints if endpoint.target is None]
    layers_by_id = assign_layers(engine, layout, empty, capacity)
    return [
        PlacementOrder(endpoint_id, layers, load_s(engine, layers.count), OrderReason.EMPTY)
        for endpoint_id, layers in sorted(layers_by_id.items())
    ]


def _limit_loads(
    engine: Engine, endpoints: Iterable[PlacementEndpoint], orders: Iterable[PlacementOrder]
) -> tuple[PlacementOrder, ...]:
    """Return the orders without those whose load would slow the more urgent ones."""
    running = sum(
        endpoint.pending is not None and endpoint.pending != endpoint.held for endpoint in endpoints
    )
    due: list[PlacementOrder] = []
    for order in sorted(orders, key=_urgency):
        is_load = order.load_s > 0
        is_urgent = order.reason is OrderReason.HOLE
        if is_load and not is_urgent and running >= engine.loads_at_once > 0:
            continue
        running += is_load
        due.append(order)
    return tuple(due)


def _urgency(order: PlacementOrder) -> tuple[bool, float]:
    """Return the sort key of an order: holes first, then the shortest load."""
    return order.reason is not OrderReason.HOLE, order.load_s
