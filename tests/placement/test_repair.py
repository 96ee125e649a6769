"""Repair after losses: holes are closed without opening others, and capacity returns."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonwing_catalog.models import LayerRange
from lagoonwing_core.ids import EndpointId
from lagoonwing_fakes.fleets import make_engine, make_fleet
from lagoonwing_placement import (
    OrderReason,
    PlacementEndpoint,
    PlacementOrder,
    RepairPlanner,
    new_layer_count,
    plan,
)
from lagoonwing_placement._planner import group_by_domain

ENGINE = msgspec.structs.replace(make_engine(), loads_at_once=3)
FLEET = make_fleet(ENGINE, {"a": (1, 3, 4), "b": (1, 3, 6), "c": (1, 4, 3)})
PLAN = plan(ENGINE, FLEET)
# Its layout leaves memory for twice the blocks of each endpoint.
ROOMY_FLEET = make_fleet(ENGINE, {"a": (1, 4, 6), "b": (1, 4, 6), "c": (1, 5, 6)})
ROOMY_PLAN = plan(ENGINE, ROOMY_FLEET)
LAYERS_PER_ROUND = 4
# Rounds of planning after which every repair of these fleets has ended.
MAX_ROUNDS = 60


class FleetSimulation:
    """Endpoints under one planner; a load completes after the rounds that its new layers take."""

    def __init__(self, endpoints: list[PlacementEndpoint]) -> None:
        self.by_id = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        self.accepted: list[PlacementOrder] = []
        self._planner = RepairPlanner()
        self._remaining_by_id: dict[EndpointId, int] = {}

    def orders(self) -> tuple[PlacementOrder, ...]:
        """Return the orders that are due."""
        return self._planner.due_orders(ENGINE, list(self.by_id.values()))

    def accept(self, order: PlacementOrder) -> None:
        """Start an order: layers that are not kept are given up at once."""
        endpoint = self.by_id[order.endpoint_id]
        assert endpoint.pending is None
        self.accepted.append(order)
        rounds = math.ceil(new_layer_count(endpoint.held, order.layers) / LAYERS_PER_ROUND)
        self._remaining_by_id[endpoint.endpoint_id] = rounds
        kept = _common(endpoint.held, order.layers)
        self.by_id[endpoint.endpoint_id] = replace(endpoint, held=kept, pending=order.layers)

    def advance(self) -> None:
        """Advance all loads by one round."""
        for endpoint_id in list(self._remaining_by_id):
            self._remaining_by_id[endpoint_id] -= 1
            if self._remaining_by_id[endpoint_id] > 0:
                continue
            del self._remaining_by_id[endpoint_id]
            endpoint = self.by_id[endpoint_id]
            self.by_id[endpoint_id] = replace(endpoint, held=endpoint.pending, pending=None)

    def held_layers(self, group: tuple[PlacementEndpoint, ...]) -> set[int]:
        """Return the layers that a group of endpoints holds now."""
        ranges = (self.by_id[endpoint.endpoint_id].held for endpoint in group)
        return {layer for held in ranges if held for layer in range(held.first, held.end)}

    def groups(self) -> tuple[tuple[PlacementEndpoint, ...], ...]:
        """Return the groups of endpoints that hold the model between them."""
        return group_by_domain(ENGINE, list(self.by_id.values()))

    def run(self) -> None:
        """Plan and load until nothing is due; no round may lose a layer that a group held."""
        for _ in range(MAX_ROUNDS):
            groups = self.groups()
            before = [self.held_layers(group) for group in groups]
            orders = self.orders()
            if not orders and not self._remaining_by_id:
                return
            for order in orders:
                self.accept(order)
            after = [self.held_layers(group) for group in groups]
            assert all(held <= kept for held, kept in zip(before, after, strict=True))
            self.advance()
        raise AssertionError("the repair did not end")


def _common(held: LayerRange | None, wanted: LayerRange) -> LayerRange | None:
    """Return the layers that are in both ranges."""
    if held is None:
        return None
    first, end = max(held.first, wanted.first), min(held.end, wanted.end)
    return LayerRange(first, end) if first < end else None


def _after_losses(lost: set[int], returned: set[int]) -> FleetSimulation:
    """Return a placed fleet of which some endpoints were lost, and some of those came back."""
    endpoints = [
        endpoint if number in lost else replace(endpoint, held=PLAN[endpoint.endpoint_id])
        for number, endpoint in enumerate(FLEET)
        if number not in lost or number in returned
    ]
    return FleetSimulation(endpoints)


numbers_of_endpoints = st.sets(st.integers(0, len(FLEET) - 1), max_size=9)
EVERY_LAYER = set(range(ENGINE.layer_count))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(lost=numbers_of_endpoints, returned=numbers_of_endpoints)
def test_repair_never_loses_layers_and_ends(lost: set[int], returned: set[int]) -> None:
    """No round loses a layer that a group of endpoints held before it."""
    _after_losses(lost, returned).run()


@settings(max_examples=300, deadline=None, derandomize=True)
@given(lost=numbers_of_endpoints)
def test_fleet_is_whole_once_all_endpoints_are_back(lost: set[int]) -> None:
    """Each group holds every layer again."""
    fleet = _after_losses(lost, lost)
    fleet.run()
    for group in fleet.groups():
        assert fleet.held_layers(group) == EVERY_LAYER


def test_all_holes_are_ordered_at_once() -> None:
    """Missing blocks that lie apart are loaded by several endpoints in the same round."""
    fleet = FleetSimulation(
        [
            replace(endpoint, held=ROOMY_PLAN[endpoint.endpoint_id])
            for endpoint in ROOMY_FLEET
            if not (endpoint.failure_domain == "a" and _holds_end(ROOMY_PLAN[endpoint.endpoint_id]))
        ]
    )
    group = next(group for group in fleet.groups() if group[0].failure_domain == "a")
    missing = EVERY_LAYER - fleet.held_layers(group)
    assert {0, ENGINE.layer_count - 1} <= missing
    group_ids = {endpoint.endpoint_id for endpoint in group}
    loading: set[int] = set()
    for order in fleet.orders():
        if order.endpoint_id in group_ids:
            loading.update(range(order.layers.first, order.layers.end))
    assert missing <= loading


def _holds_end(layers: LayerRange) -> bool:
    """Return whether a range holds the first or the last layer."""
    return layers.first == 0 or layers.end == ENGINE.layer_count


def test_hole_is_loaded_before_the_rest_of_the_range() -> None:
    """A returned endpoint loads the missing layers alone, then grows to its former range."""
    fleet = _after_losses({0}, {0})
    former = PLAN[FLEET[0].endpoint_id]
    first = next(order for order in fleet.orders() if order.endpoint_id == FLEET[0].endpoint_id)
    assert first.reason is OrderReason.HOLE
    assert first.layers.count < former.count
    fleet.run()
    held = fleet.by_id[FLEET[0].endpoint_id].held
    assert held is not None
    assert held.count == former.count


def test_other_loads_wait_for_those_that_run_at_full_speed() -> None:
    """Beyond the store's concurrent loads, only holes are ordered; the rest would slow them."""
    everyone = set(range(len(FLEET)))
    fleet = _after_losses(everyone - {0, 1, 2, 3}, everyone)
    others = [order for order in fleet.orders() if order.reason is not OrderReason.HOLE]
    assert len(others) <= ENGINE.loads_at_once


@pytest.mark.parametrize("seed", range(40))
def test_extended_endpoints_do_not_change_the_layout(seed: int) -> None:
    """Endpoints return to the first plan's number of layers, however many were extended.

    A layout inferred from extended ranges would enlarge all others of the kind at the expense of
    their KV cache.
    """
    count_by_kind = {
        endpoint.accelerator.kind: ROOMY_PLAN[endpoint.endpoint_id].count
        for endpoint in ROOMY_FLEET
    }
    lost = random.Random(seed).sample(ROOMY_FLEET, 8)
    fleet = FleetSimulation(
        [replace(endpoint, held=ROOMY_PLAN[endpoint.endpoint_id]) for endpoint in ROOMY_FLEET]
    )
    assert fleet.orders() == ()
    for endpoint in lost:
        del fleet.by_id[endpoint.endpoint_id]
    fleet.run()
    fleet.by_id.update({endpoint.endpoint_id: endpoint for endpoint in lost})
    fleet.run()
    resized = [
        order for order in fleet.accepted if order.reason in (OrderReason.GROW, OrderReason.SHRINK)
    ]
    kind_by_id = {endpoint.endpoint_id: endpoint.accelerator.kind for endpoint in ROOMY_FLEET}
    for order in resized:
        assert order.layers.count == count_by_kind[kind_by_id[order.endpoint_id]]
