"""Repair of blocks that no endpoint of a group holds: which endpoints load them, and in what way.

A hole stops every path through the group, so the time until it is closed counts most. An endpoint
loads the missing blocks alone and grows to its full range afterwards. It gives up a block only if
another endpoint holds that block now, so that a repair never opens the next hole.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace

from lagoonwing_catalog.models import Engine, LayerRange
from lagoonwing_core.ids import EndpointId
from lagoonwing_placement._capacity import load_s, max_layers, new_layer_count
from lagoonwing_placement._coverage import GroupCoverage
from lagoonwing_placement._planner import assign_layers
from lagoonwing_placement.models import (
    OrderReason,
    PartitionLayout,
    PlacementEndpoint,
    PlacementOrder,
)


@dataclass(frozen=True, slots=True)
class _Step:
    """One more missing block for an endpoint.

    Attributes:
        endpoint: Endpoint as planned so far.
        layers: Layers that it would hold.
        load_s: Time until it has loaded all its new layers.
        min_tokens: Smallest KV capacity of any block that the endpoint holds before or after.
    """

    endpoint: PlacementEndpoint
    layers: LayerRange
    load_s: float
    min_tokens: float

    @property
    def rank(self) -> tuple[float, float, str]:
        """Sort key; the smallest is the best."""
        return self.load_s, -self.min_tokens, self.endpoint.endpoint_id


def hole_orders(
    engine: Engine,
    layout: PartitionLayout,
    group: Iterable[PlacementEndpoint],
    coverage: GroupCoverage,
) -> list[PlacementOrder]:
    """Return the orders that close the holes of a group soonest; `coverage` is updated.

    Empty endpoints come first. The blocks that are still missing are handed out one by one, each
    to the endpoint that has it loaded first.
    """
    endpoints = tuple(group)
    planned_by_id = _plan_empty(engine, layout, endpoints, coverage)
    free = {
        endpoint.endpoint_id: endpoint
        for endpoint in endpoints
        if endpoint.pending is None and endpoint.held is not None
    }
    while missing := coverage.missing_blocks():
        steps = [
            step
            for endpoint in (free | planned_by_id).values()
            for step in _steps(engine, layout, coverage, endpoint, missing)
        ]
        if not steps:
            break
        best = min(steps, key=lambda step: step.rank)
        coverage.apply(best.endpoint, best.layers)
        planned = replace(best.endpoint, pending=best.layers)
        planned_by_id[planned.endpoint_id] = planned
    return [_order(engine, planned) for planned in planned_by_id.values()]


def _plan_empty(
    engine: Engine,
    layout: PartitionLayout,
    endpoints: Iterable[PlacementEndpoint],
    coverage: GroupCoverage,
) -> dict[EndpointId, PlacementEndpoint]:
    """Return the empty endpoints with the missing blocks of the ranges that they should hold."""
    empty_by_id = {
        endpoint.endpoint_id: endpoint for endpoint in endpoints if endpoint.target is None
    }
    layers_by_id = assign_layers(engine, layout, empty_by_id.values(), list(coverage.capacity))
    planned_by_id: dict[EndpointId, PlacementEndpoint] = {}
    for endpoint_id, layers in layers_by_id.items():
        wanted = coverage.blocks(layers)
        missing = [block for block in coverage.missing_blocks() if block in wanted]
        if not missing:
            continue
        urgent = layout.layers(missing[0], missing[-1] + 1 - missing[0])
        coverage.apply(empty_by_id[endpoint_id], urgent)
        planned_by_id[endpoint_id] = replace(empty_by_id[endpoint_id], pending=urgent)
    return planned_by_id


def _order(engine: Engine, planned: PlacementEndpoint) -> PlacementOrder:
    """Return the order of an endpoint with planned layers."""
    assert planned.pending is not None
    loaded = new_layer_count(planned.held, planned.pending)
    return PlacementOrder(
        planned.endpoint_id, planned.pending, load_s(engine, loaded), OrderReason.HOLE
    )


def _steps(
    engine: Engine,
    layout: PartitionLayout,
    coverage: GroupCoverage,
    endpoint: PlacementEndpoint,
    missing: Sequence[int],
) -> Iterator[_Step]:
    """Yield the ways in which an endpoint can load one more missing block and open no hole."""
    limit = max_layers(engine, endpoint.accelerator)
    for window in _windows(coverage.blocks(endpoint.target), endpoint.pending is None, missing):
        layers = layout.layers(window.start, len(window))
        if layers.count > limit or not coverage.can_drop(endpoint, layers):
            continue
        capacity = coverage.capacity_after(endpoint, layers)
        affected = {*coverage.blocks(endpoint.target), *window}
        yield _Step(
            endpoint,
            layers,
            load_s(engine, new_layer_count(endpoint.held, layers)),
            min(capacity[block] for block in affected),
        )


def _windows(held: range, may_move: bool, missing: Sequence[int]) -> Iterator[range]:
    """Yield the held blocks extended by one missing block, and the missing blocks alone."""
    if held and held.start - 1 in missing:
        yield range(held.start - 1, held.stop)
    if held and held.stop in missing:
        yield range(held.start, held.stop + 1)
    if may_move:
        for block in missing:
            yield range(block, block + 1)
