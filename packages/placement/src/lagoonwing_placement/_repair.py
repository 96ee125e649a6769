"""Placement orders derived from the layers that endpoints currently hold."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from lagoonwing_catalog.models import Engine
from lagoonwing_placement._capacity import load_s, new_layer_count
from lagoonwing_placement._coverage import GroupCoverage
from lagoonwing_placement._holes import hole_orders
from lagoonwing_placement._layout import infer_layout, keep_layout
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


class RepairPlanner:
    """Plans the orders of one service and keeps its layout for as long as layers are held.

    Repair leaves ranges that differ from the layout for a while, so the layout is not inferred
    anew in each round.
    """

    def __init__(self) -> None:
        self._layout: PartitionLayout | None = None

    def due_orders(
        self, engine: Engine, endpoints: Sequence[PlacementEndpoint]
    ) -> tuple[PlacementOrder, ...]:
        """Return the orders that bring each failure domain closer to holding every layer.

        Holes are closed first. Other loads wait while as many run as the weight store serves at
        full speed, because every further load delays those that run.
        """
        is_first_plan = all(endpoint.target is None for endpoint in endpoints)
        self._layout = self._current_layout(engine, endpoints, is_first_plan)
        if self._layout is None:
            return ()
        orders: list[PlacementOrder] = []
        for group in group_by_domain(engine, endpoints):
            orders.extend(_group_orders(engine, self._layout, group))
        return tuple(orders) if is_first_plan else _limit_loads(engine, endpoints, orders)

    def _current_layout(
        self, engine: Engine, endpoints: Sequence[PlacementEndpoint], is_first_plan: bool
    ) -> PartitionLayout | None:
        """Return the layout in force, or a new one if no layers are held."""
        layout: PartitionLayout | None = None
        if self._layout is not None and not is_first_plan:
            layout = keep_layout(engine, endpoints, self._layout)
        return layout or infer_layout(engine, endpoints) or choose_layout(engine, endpoints)


def due_orders(
    engine: Engine, endpoints: Sequence[PlacementEndpoint]
) -> tuple[PlacementOrder, ...]:
    """Return the orders of a leader that only knows the layers that are held now."""
    return RepairPlanner().due_orders(engine, endpoints)


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
        endpoint.pending is not None and new_layer_count(endpoint.held, endpoint.pending) > 0
        for endpoint in endpoints
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
