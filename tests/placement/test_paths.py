"""Paths over holders of layers, under load and losses."""

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
    Host,
    Path,
    PathFinder,
    Work,
    group_holders,
    kv_token_layers,
    plan,
)

USUAL = Work(800, 200)


def _holders(engine: Engine, hosts: list[Host]) -> list[Holder]:
    """Return the endpoints as holders of the first plan."""
    layers_by_id = plan(engine, hosts)
    return [
        Holder(
            host.endpoint_id,
            host.failure_domain,
            host.accelerator,
            layers_by_id[host.endpoint_id],
            engine.slots,
        )
        for host in hosts
    ]


def _assert_whole(engine: Engine, path: Path, holders: list[Holder]) -> None:
    """Check that every layer runs once and in order, at endpoints that hold it."""
    held_by_id = {holder.endpoint_id: holder.layers for holder in holders}
    position = 0
    for part in path.parts:
        assert part.layers.first == position
        assert held_by_id[part.endpoint_id].covers(part.layers)
        position = part.layers.end
    assert position == engine.layer_count
    assert len({part.endpoint_id for part in path.parts}) == len(path.parts)


def test_path_stays_in_one_domain(engine: Engine, fleet: list[Host]) -> None:
    """Pipes between domains are shared by all, so a path crosses none without need."""
    holders = _holders(engine, fleet)
    path = PathFinder(engine, {}, random.Random(1)).find(group_holders(engine, holders), USUAL)
    assert path is not None
    _assert_whole(engine, path, holders)
    domains = {part.endpoint_id.split("-")[0] for part in path.parts}
    assert len(domains) == 1


def test_path_crosses_where_it_must(engine: Engine, scattered: list[Host]) -> None:
    """Without a copy in any domain the layers are still run, each once."""
    holders = _holders(engine, scattered)
    path = PathFinder(engine, {}, random.Random(1)).find(group_holders(engine, holders), USUAL)
    assert path is not None
    _assert_whole(engine, path, holders)


def test_no_path_over_a_missing_layer(engine: Engine, fleet: list[Host]) -> None:
    """A layer that nobody holds leaves no path."""
    holders = [one for one in _holders(engine, fleet) if one.layers.first > 0]
    assert (
        PathFinder(engine, {}, random.Random(1)).find(group_holders(engine, holders), USUAL) is None
    )


def test_full_endpoint_is_left_out(engine: Engine, fleet: list[Host]) -> None:
    """An endpoint whose memory is reserved gets nothing more."""
    holders = _holders(engine, fleet)
    first = PathFinder(engine, {}, random.Random(1)).find(group_holders(engine, holders), USUAL)
    assert first is not None
    loads: Mapping[EndpointId, EndpointLoad] = {
        part.endpoint_id: EndpointLoad(1, 10**9, 0) for part in first.parts
    }
    second = PathFinder(engine, loads, random.Random(1)).find(group_holders(engine, holders), USUAL)
    assert second is not None
    used = {part.endpoint_id for part in first.parts}
    assert used.isdisjoint(part.endpoint_id for part in second.parts)


def test_surge_is_spread_until_memory_is_full(engine: Engine, fleet: list[Host]) -> None:
    """A surge fills every domain before a request finds no path, and no memory overflows."""
    holders = _holders(engine, fleet)
    loads: dict[EndpointId, EndpointLoad] = {}
    rng = random.Random(1)
    domains: Counter[str] = Counter()
    while (
        path := PathFinder(engine, loads, rng).find(group_holders(engine, holders), USUAL)
    ) is not None:
        domains[path.parts[0].endpoint_id.split("-")[0]] += 1
        for part in path.parts:
            known = loads.get(part.endpoint_id, EndpointLoad(0, 0, 0))
            loads[part.endpoint_id] = EndpointLoad(
                known.sequences + 1,
                known.kv_token_layers + USUAL.tokens * part.layers.count,
                known.read_ms + 10,
            )
    for holder in holders:
        capacity = kv_token_layers(engine, holder.accelerator, holder.layers.count)
        load = loads.get(holder.endpoint_id, EndpointLoad(0, 0, 0))
        assert load.kv_token_layers <= capacity
    assert set(domains) == {"a", "b", "c"}
    assert sum(domains.values()) >= 60


@settings(max_examples=60, deadline=None, derandomize=True)
@given(data=st.data())
def test_any_path_runs_each_layer_once(data: st.DataObject) -> None:
    """Holders of any ranges, loads and speeds never give a path with a gap or an overlap."""
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
        group_holders(engine, holders), Work(50, 50)
    )
    covered = {layer for one in holders for layer in range(one.layers.first, one.layers.end)}
    if path is None:
        assert len(covered) < 8 or any(one.accelerator.memory_mb < 17 for one in holders)
        return
    _assert_whole(engine, path, holders)
