"""Repair after losses: holes are closed without opening others, and capacity returns."""

from __future__ import annotations

from dataclasses import replace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonwing_catalog.models import Engine, LayerRange
from lagoonwing_core.ids import EndpointId
from lagoonwing_fakes.fleets import make_engine, make_fleet
from lagoonwing_placement import (
    OrderReason,
    PlacementEndpoint,
    PlacementOrder,
    due_orders,
    new_layer_count,
    plan,
)
from lagoonwing_placement._planner import group_by_domain

ENGINE = msgspec.structs.replace(make_engine(), loads_at_once=3)
FLEET = make_fleet(ENGINE, {"a": (1, 3, 4), "b": (1, 3, 6), "c": (1, 4, 3)})
PLAN = plan(ENGINE, FLEET)
# Rounds of planning after which every repair of these fleets has ended.
MAX_ROUNDS = 60


class Store:
    """Endpoints whose loads complete after the rounds that their new layers take."""

    def __init__(self, engine: Engine, endpoints: list[PlacementEndpoint]) -> None:
        self._engine = engine
        self.by_id = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        self._remaining_by_id: dict[EndpointId, int] = {}

    def orders(self) -> tuple[PlacementOrder, ...]:
        """Return the orders that are due."""
        return due_orders(self._engine, list(self.by_id.values()))

    def accept(self, order: PlacementOrder) -> None:
        """Start an order: layers that are not kept are given up at once."""
        endpoint = self.by_id[order.endpoint_id]
        assert endpoint.pending is None
        rounds = -(-new_layer_count(endpoint.held, order.layers) // 4)
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
        return group_by_domain(self._engine, list(self.by_id.values()))

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


def _store_after(lost: set[int], returned: set[int]) -> Store:
    """Return a placed fleet of which some endpoints were lost, and some of those came back."""
    endpoints = [
        endpoint if number in lost else replace(endpoint, held=PLAN[endpoint.endpoint_id])
        for number, endpoint in enumerate(FLEET)
        if number not in lost or number in returned
    ]
    return Store(ENGINE, endpoints)


numbers = st.sets(st.integers(0, len(FLEET) - 1), max_size=9)


@settings(max_examples=60, deadline=None)
@given(lost=numbers, returned=numbers)
def test_repair_never_loses_layers_and_ends(lost: set[int], returned: set[int]) -> None:
    """No round loses a layer; once all lost endpoints are back, each domain is whole again."""
    store = _store_after(lost, returned)
    store.run()
    if lost <= returned:
        for group in store.groups():
            assert store.held_layers(group) == set(range(ENGINE.layer_count))


def test_all_holes_are_ordered_at_once() -> None:
    """Several missing blocks are loaded by several endpoints, not one after the other."""
    domain_b = [n for n, endpoint in enumerate(FLEET) if endpoint.failure_domain == "b"]
    store = _store_after(set(domain_b[:2]), set())
    group = next(group for group in store.groups() if group[0].failure_domain == "b")
    missing = set(range(ENGINE.layer_count)) - store.held_layers(group)
    assert missing
    loading: set[int] = set()
    for order in store.orders():
        loading.update(range(order.layers.first, order.layers.end))
    assert missing <= loading


def test_hole_is_loaded_before_the_rest_of_the_range() -> None:
    """A returned endpoint loads the missing layers alone, then grows to its former range."""
    store = _store_after({0}, {0})
    former = PLAN[FLEET[0].endpoint_id]
    first = next(order for order in store.orders() if order.endpoint_id == FLEET[0].endpoint_id)
    if first.reason is OrderReason.HOLE:
        assert first.layers.count < former.count
    store.run()
    held = store.by_id[FLEET[0].endpoint_id].held
    assert held is not None
    assert held.count == former.count


def test_other_loads_wait_for_those_that_run_at_full_speed() -> None:
    """Beyond the store's concurrent loads, only holes are ordered; the rest would slow them."""
    everyone = set(range(len(FLEET)))
    store = _store_after(everyone - {0, 1, 2, 3}, everyone)
    orders = store.orders()
    others = [order for order in orders if order.reason is not OrderReason.HOLE]
    assert len(others) <= ENGINE.loads_at_once
