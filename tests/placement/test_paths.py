"""Path selection over layer holders, under load and endpoint losses."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import Engine, LayerRange
from lagoonwing_core.ids import EndpointId
from lagoonwing_placement import (
    Holder,
    Path,
    PathFinder,
    PlacementEndpoint,
    RequestSize,
    group_holders,
    kv_token_layers,
    plan,
)

TYPICAL = RequestSize(800, 200)


def _holders(engine: Engine, endpoints: list[PlacementEndpoint]) -> list[Holder]:
    """Return the endpoints as holders of the layers of the initial plan."""
    layers_by_id = plan(engine, endpoints)
    return [
        Holder(
            endpoint.endpoint_id,
            endpoint.failure_domain,
            endpoint.accelerator,
            layers_by_id[endpoint.endpoint_id],
            engine.slots,
        )
        for endpoint in endpoints
    ]


def _assert_covers_all_layers(engine: Engine, path: Path, holders: list[Holder]) -> None:
    """Check that every layer runs once, in order, on an endpoint that holds it."""
    held_by_id = {holder.endpoint_id: holder.layers for holder in holders}
    position = 0
    for segment in path.segments:
        assert segment.layers.first == position
        assert held_by_id[segment.endpoint_id].covers(segment.layers)
        position = segment.layers.end
    assert position == engine.layer_count
    assert len({segment.endpoint_id for segment in path.segments}) == len(path.segments)


def test_path_stays_in_one_domain(engine: Engine, fleet: list[PlacementEndpoint]) -> None:
    """Inter-domain links are shared, so a path doesn't use one unnecessarily."""
    holders = _holders(engine, fleet)
    path = PathFinder(engine, {}, random.Random(1)).find(group_holders(engine, holders), TYPICAL)
    assert path is not None
    _assert_covers_all_layers(engine, path, holders)
    domains = {segment.endpoint_id.split("-")[0] for segment in path.segments}
    assert len(domains) == 1


def test_path_crosses_domains_when_required(
    engine: Engine, scattered_fleet: list[PlacementEndpoint]
) -> None:
    """If no domain holds the whole model, the path spans several domains."""
    holders = _holders(engine, scattered_fleet)
    path = PathFinder(engine, {}, random.Random(1)).find(group_holders(engine, holders), TYPICAL)
    assert path is not None
    _assert_covers_all_layers(engine, path, holders)


def test_no_path_if_a_layer_is_missing(engine: Engine, fleet: list[PlacementEndpoint]) -> None:
    """No path exists if no endpoint holds one of the layers."""
    holders = [holder for holder in _holders(engine, fleet) if holder.layers.first > 0]
    assert (
        PathFinder(engine, {}, random.Random(1)).find(group_holders(engine, holders), TYPICAL)
        is None
    )


def test_full_endpoint_is_not_used(engine: Engine, fleet: list[PlacementEndpoint]) -> None:
    """An endpoint whose KV cache is fully reserved gets no further requests."""
    holders = _holders(engine, fleet)
    first = PathFinder(engine, {}, random.Random(1)).find(group_holders(engine, holders), TYPICAL)
    assert first is not None
    loads: Mapping[EndpointId, EndpointLoad] = {
        segment.endpoint_id: EndpointLoad(1, 10**9, 0) for segment in first.segments
    }
    second = PathFinder(engine, loads, random.Random(1)).find(
        group_holders(engine, holders), TYPICAL
    )
    assert second is not None
    used = {segment.endpoint_id for segment in first.segments}
    assert used.isdisjoint(segment.endpoint_id for segment in second.segments)


def test_load_surge_fills_all_domains_without_overcommit(
    engine: Engine, fleet: list[PlacementEndpoint]
) -> None:
    """All domains are used before a request finds no path, and no KV cache is overcommitted."""
    holders = _holders(engine, fleet)
    loads: dict[EndpointId, EndpointLoad] = {}
    rng = random.Random(1)
    domains: Counter[str] = Counter()
    while (
        path := PathFinder(engine, loads, rng).find(group_holders(engine, holders), TYPICAL)
    ) is not None:
        domains[path.segments[0].endpoint_id.split("-")[0]] += 1
        for segment in path.segments:
            load = loads.get(segment.endpoint_id, EndpointLoad(0, 0, 0))
            loads[segment.endpoint_id] = EndpointLoad(
                load.sequences + 1,
                load.kv_token_layers + TYPICAL.tokens * segment.layers.count,
                load.prefill_ms + 10,
            )
    for holder in holders:
        capacity = kv_token_layers(engine, holder.accelerator, holder.layers.count)
        load = loads.get(holder.endpoint_id, EndpointLoad(0, 0, 0))
        assert load.kv_token_layers <= capacity
    assert set(domains) == {"a", "b", "c"}
    assert sum(domains.values()) >= 60


@settings(max_examples=60, deadline=None, derandomize=True)
@given(data=st.data())
def test_path_runs_each_layer_once(data: st.DataObject) -> None:
    """Arbitrary layer ranges, loads and speeds never give a path with a gap or an overlap."""
    accelerators = (8.0, 16.0, 64.0)
    engine = Engine(
        96, 80_000, 8, 1.0, 1.0, 0.01, 0.01, 1e5, 1_000, 100.0, 1, 1.0, 1, 50, 50, (), ()
    )
    from lagoonwing_catalog.models import Accelerator

    holders = []
    loads = {}
    for number in range(data.draw(st.integers(1, 12))):
        first = data.draw(st.integers(0, 7))
        end = data.draw(st.integers(first + 1, 8))
        memory = data.draw(st.sampled_from(accelerators)) + 8
        endpoint_id = EndpointId(f"e-{number}")
        domain = data.draw(st.sampled_from(["a", "b"]))
        accelerator = Accelerator("k", memory, data.draw(st.floats(0.5, 20)), 1.0)  # type: ignore[arg-type]
        holders.append(Holder(endpoint_id, domain, accelerator, LayerRange(first, end), 96))  # type: ignore[arg-type]
        loads[endpoint_id] = EndpointLoad(data.draw(st.integers(0, 50)), 0, 5)
    path = PathFinder(engine, loads, random.Random(1)).find(
        group_holders(engine, holders), RequestSize(50, 50)
    )
    covered = {
        layer for holder in holders for layer in range(holder.layers.first, holder.layers.end)
    }
    if path is None:
        assert len(covered) < 8 or any(holder.accelerator.memory_mb < 17 for holder in holders)
        return
    _assert_covers_all_layers(engine, path, holders)
