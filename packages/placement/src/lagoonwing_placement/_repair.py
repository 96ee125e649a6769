"""Which orders are due, from what endpoints hold now."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from lagoonwing_catalog.models import Engine, LayerRange
from lagoonwing_core.ids import AcceleratorKind
from lagoonwing_placement._capacity import load_s, max_layers, resident_tokens
from lagoonwing_placement._planner import Group, choose_shape, group_by_domain, spread
from lagoonwing_placement.models import Host, PlaceOrder, Shape


def due_orders(engine: Engine, hosts: Sequence[Host]) -> tuple[PlaceOrder, ...]:
    """Return the orders that bring the fleet closer to serving every layer everywhere.

    Endpoints without layers are filled first. Where blocks are still held by nobody in a
    domain, an endpoint whose layers others hold as well is moved there.
    """
    shape = shape_of(engine, hosts) or choose_shape(engine, hosts)
    if shape is None:
        return ()
    orders: list[PlaceOrder] = []
    for group in group_by_domain(engine, hosts):
        orders.extend(_group_orders(engine, shape, group))
    return tuple(orders)


def shape_of(engine: Engine, hosts: Iterable[Host]) -> Shape | None:
    """Return the cut that the layers held now follow, if any are held.

    So a later leader, and a fleet that has changed, keep the cut of the first plan.
    """
    counts_by_kind: dict[AcceleratorKind, Counter[int]] = defaultdict(Counter)
    width = 0
    accelerator_by_kind = {}
    for host in hosts:
        accelerator_by_kind[host.accelerator.kind] = host.accelerator
        if host.target is not None:
            width = math.gcd(width, host.target.first, host.target.end)
            counts_by_kind[host.accelerator.kind][host.target.count] += 1
    if width == 0 or engine.layer_count % width != 0:
        return None
    edges = tuple(range(0, engine.layer_count + 1, width))
    blocks_by_kind = {}
    for kind, accelerator in accelerator_by_kind.items():
        usual = counts_by_kind[kind].most_common(1)
        layers = usual[0][0] if usual else max_layers(engine, accelerator)
        blocks_by_kind[kind] = min(layers // width, len(edges) - 1)
    return Shape(edges, blocks_by_kind)


def _group_orders(engine: Engine, shape: Shape, group: Group) -> list[PlaceOrder]:
    """Return the orders due among endpoints that hold the model together."""
    room = [0.0] * shape.block_count
    for host in group:
        _add_room(engine, shape, room, host, 1.0)
    empty = [host for host in group if host.target is None]
    layers_by_id = spread(engine, shape, empty, room)
    orders = [
        PlaceOrder(endpoint_id, layers, load_s(engine, layers.count), "empty")
        for endpoint_id, layers in sorted(layers_by_id.items())
    ]
    holders = [host for host in group if host.target is not None]
    move = _move_to_hole(engine, shape, holders, room) if not all(room) else None
    return orders if move is None else [*orders, move]


def _add_room(engine: Engine, shape: Shape, room: list[float], host: Host, sign: float) -> None:
    """Add the room of one endpoint to the blocks that it will hold."""
    layers = host.target
    if layers is None:
        return
    tokens = resident_tokens(engine, host.accelerator, layers.count)
    for block in range(shape.block_count):
        if layers.covers(shape.layers(block, 1)):
            room[block] += sign * tokens


def _move_to_hole(
    engine: Engine, shape: Shape, holders: Iterable[Host], room: Sequence[float]
) -> PlaceOrder | None:
    """Return an order that moves a spare holder to blocks that nobody holds.

    One endpoint moves at a time, so that no layer is given up by two at once.
    """
    hole = next(block for block, tokens in enumerate(room) if tokens <= 0)
    best: tuple[float, Host] | None = None
    for host in holders:
        if host.pending is not None:
            return None
        rest = list(room)
        _add_room(engine, shape, rest, host, -1.0)
        lost = [
            left
            for block, left in enumerate(rest)
            if room[block] > 0
            and host.held is not None
            and host.held.covers(shape.layers(block, 1))
        ]
        if lost and min(lost) > 0 and (best is None or min(lost) > best[0]):
            best = (min(lost), host)
    if best is None:
        return None
    host = best[1]
    count = shape.blocks_by_kind[host.accelerator.kind]
    first = max(0, min(hole, shape.block_count - count))
    layers = shape.layers(first, count)
    return PlaceOrder(host.endpoint_id, layers, load_s(engine, layers.count), "hole")


def new_layers(held: LayerRange | None, wanted: LayerRange) -> int:
    """Return how many layers an order makes an endpoint load."""
    if held is None:
        return wanted.count
    common = min(held.end, wanted.end) - max(held.first, wanted.first)
    return wanted.count - max(0, common)
