"""Initial placement and repair orders for mixed fleets."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import replace

from lagoonwing_catalog.models import Engine, LayerRange
from lagoonwing_core.ids import EndpointId
from lagoonwing_fakes.fleets import make_fleet
from lagoonwing_placement import PlacementEndpoint, due_orders, infer_layout, plan


def _apply_plan(
    endpoints: list[PlacementEndpoint], layers_by_id: Mapping[EndpointId, LayerRange]
) -> list[PlacementEndpoint]:
    """Return the endpoints with the layers of a plan loaded."""
    return [
        replace(endpoint, held=layers_by_id.get(endpoint.endpoint_id)) for endpoint in endpoints
    ]


def _holders_by_layer(endpoints: list[PlacementEndpoint], layer_count: int) -> list[int]:
    """Return the number of endpoints that hold each layer."""
    return [
        sum(
            1
            for endpoint in endpoints
            if endpoint.held and endpoint.held.first <= layer < endpoint.held.end
        )
        for layer in range(layer_count)
    ]


def test_each_domain_with_capacity_holds_the_whole_model(
    engine: Engine, fleet: list[PlacementEndpoint]
) -> None:
    """Every layer is held inside each domain, so no path has to leave its domain."""
    placed_fleet = _apply_plan(fleet, plan(engine, fleet))
    for domain in ("a", "b", "c"):
        domain_endpoints = [
            endpoint for endpoint in placed_fleet if endpoint.failure_domain == domain
        ]
        assert min(_holders_by_layer(domain_endpoints, engine.layer_count)) >= 1


def test_large_fleet_tolerates_loss_of_any_two_endpoints_of_a_domain(engine: Engine) -> None:
    """Endpoints leave and fail in turn; a domain without a layer overloads inter-domain links."""
    endpoints = make_fleet(engine, {"a": (4, 6, 14), "b": (2, 9, 22), "c": (2, 15, 12)})
    layers_by_id = plan(engine, endpoints)
    for domain in ("a", "b", "c"):
        held = [
            layers_by_id[endpoint.endpoint_id]
            for endpoint in endpoints
            if endpoint.failure_domain == domain
        ]
        for layer in range(engine.layer_count):
            assert sum(layers.first <= layer < layers.end for layers in held) >= 3


def test_slow_accelerators_are_used(engine: Engine) -> None:
    """Slow endpoints may make up most of a fleet; unused, most memory would be idle."""
    endpoints = make_fleet(engine, {"a": (2, 3, 6), "b": (2, 3, 6), "c": (2, 3, 6)})
    shuffled = random.Random(1).sample(endpoints, len(endpoints))
    renamed = [
        replace(endpoint, endpoint_id=EndpointId(f"e-{n}")) for n, endpoint in enumerate(shuffled)
    ]
    for fleet in (endpoints, renamed):
        assert plan(engine, fleet).keys() == {endpoint.endpoint_id for endpoint in fleet}


def test_layers_fit_into_endpoint_memory(engine: Engine, fleet: list[PlacementEndpoint]) -> None:
    """Layer weights must leave memory for the KV cache."""
    for endpoint in _apply_plan(fleet, plan(engine, fleet)):
        assert endpoint.held is not None
        assert endpoint.held.count * engine.layer_mb < endpoint.accelerator.memory_mb


def test_scattered_fleet_holds_the_model_across_domains(
    engine: Engine, scattered_fleet: list[PlacementEndpoint]
) -> None:
    """Domains that can't hold the model on their own are planned as one group."""
    placed_fleet = _apply_plan(scattered_fleet, plan(engine, scattered_fleet))
    assert min(_holders_by_layer(placed_fleet, engine.layer_count)) >= 1


def test_fleet_with_insufficient_memory_gets_no_plan(
    engine: Engine, fleet: list[PlacementEndpoint]
) -> None:
    """An incomplete set of layers can't serve requests, so none is placed."""
    assert plan(engine, fleet[:2]) == {}
    assert due_orders(engine, fleet[:2]) == ()


def test_complete_fleet_needs_no_orders(engine: Engine, fleet: list[PlacementEndpoint]) -> None:
    """Endpoints that already hold the plan get no orders."""
    assert due_orders(engine, _apply_plan(fleet, plan(engine, fleet))) == ()


def test_layout_is_inferred_from_held_layers(
    engine: Engine, fleet: list[PlacementEndpoint]
) -> None:
    """A new leader that only sees the held layers keeps the same layout."""
    placed_fleet = _apply_plan(fleet, plan(engine, fleet))
    layout = infer_layout(engine, placed_fleet)
    assert layout is not None
    for endpoint in placed_fleet:
        assert endpoint.held is not None
        assert {endpoint.held.first, endpoint.held.end} <= set(layout.boundaries)


def test_restarted_endpoint_gets_the_missing_layers(
    engine: Engine, fleet: list[PlacementEndpoint]
) -> None:
    """An endpoint that restarts without layers is assigned the layers its domain lacks."""
    placed_fleet = _apply_plan(fleet, plan(engine, fleet))
    for lost_endpoint in placed_fleet:
        remaining = [endpoint for endpoint in placed_fleet if endpoint is not lost_endpoint]
        orders = due_orders(engine, [replace(lost_endpoint, held=None), *remaining])
        order = next(order for order in orders if order.endpoint_id == lost_endpoint.endpoint_id)
        domain_endpoints = [
            endpoint
            for endpoint in [replace(lost_endpoint, held=order.layers), *remaining]
            if endpoint.failure_domain == lost_endpoint.failure_domain
        ]
        assert min(_holders_by_layer(domain_endpoints, engine.layer_count)) >= 1


def test_pending_orders_count_as_held(engine: Engine, fleet: list[PlacementEndpoint]) -> None:
    """No second order is issued while the first one is loading."""
    placed_fleet = _apply_plan(fleet, plan(engine, fleet))
    lost_endpoint = placed_fleet[0]
    assert (
        due_orders(
            engine,
            [replace(lost_endpoint, held=None, pending=lost_endpoint.held), *placed_fleet[1:]],
        )
        == ()
    )


def test_redundant_endpoint_moves_to_missing_layers(
    engine: Engine, fleet: list[PlacementEndpoint]
) -> None:
    """After a permanent loss, an endpoint whose layers are replicated takes over."""
    placed_fleet = _apply_plan(fleet, plan(engine, fleet))
    for lost_endpoint in placed_fleet:
        remaining = [endpoint for endpoint in placed_fleet if endpoint is not lost_endpoint]
        for order in due_orders(engine, remaining):
            moved_endpoint = next(
                endpoint for endpoint in remaining if endpoint.endpoint_id == order.endpoint_id
            )
            assert moved_endpoint.failure_domain == lost_endpoint.failure_domain
            domain_after = [
                replace(endpoint, held=order.layers) if endpoint is moved_endpoint else endpoint
                for endpoint in remaining
                if endpoint.failure_domain == lost_endpoint.failure_domain
            ]
            domain_before = [
                endpoint
                for endpoint in remaining
                if endpoint.failure_domain == lost_endpoint.failure_domain
            ]
            missing_before = _holders_by_layer(domain_before, engine.layer_count).count(0)
            assert _holders_by_layer(domain_after, engine.layer_count).count(0) < missing_before
