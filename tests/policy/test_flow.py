"""Maximum flow through stages of mixed accelerators, and routes that reach it."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.clusters import LAYERS, make_record, staged_cluster
from bench.stage_engines import RoutingSimulation, make_profile
from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_core.models import LayerRange
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy._protocols import EndpointUse, NoFreeSlot
from lagoonwing_policy.models import EndpointLoad
from lagoonwing_policy.routing import FlowRouter, FlowRoutes, LinkCost, RouterSettings
from lagoonwing_policy.routing._flow import plan_flow
from lagoonwing_policy.routing._links import LinkTable

TARGET_SHARE = 0.9
HALF = LAYERS // 2
FIRST, SECOND, ALL = LayerRange(0, HALF), LayerRange(HALF, LAYERS), LayerRange(0, LAYERS)


def _stages(*parts: tuple[LayerRange, float], first_number: int = 0):
    rng = random.Random(1)
    return [
        make_record(first_number + number, rng, layers, speed)
        for number, (layers, speed) in enumerate(parts)
    ]


def _router(records, links=()) -> FlowRouter:
    router = FlowRouter(RouterSettings(links=links), random.Random(1))
    router.set_endpoints(records, 0.0)
    return router


def _fill(router: FlowRouter) -> tuple[list[tuple[EndpointId, ...]], dict]:
    """Start requests until no route has room; return the routes and the loads."""
    loads: dict[EndpointId, EndpointUse] = {}
    routes = []
    while True:
        chosen = router.choose(make_profile(len(routes), 20), loads, frozenset(), False, 0.0)
        if chosen.is_error():
            assert isinstance(chosen.error, NoFreeSlot)
            return routes, loads
        routes.append(tuple(stage.endpoint_id for stage in chosen.ok.stages))
        for endpoint_id in routes[-1]:
            loads.setdefault(endpoint_id, EndpointUse()).running += 1


@pytest.mark.parametrize(
    ("parts", "bound"),
    [
        ([(FIRST, 100.0), (SECOND, 60.0)], 60.0),
        ([(FIRST, 100.0), (SECOND, 60.0), (SECOND, 60.0)], 100.0),
        ([(FIRST, 100.0), (SECOND, 60.0), (ALL, 30.0)], 90.0),
        ([(FIRST, 50.0), (LayerRange(0, 8), 70.0), (LayerRange(8, HALF), 40.0), (SECOND, 200)], 90),
        ([(FIRST, 100.0), (LayerRange(HALF + 1, LAYERS), 60.0)], 0.0),
        ([(FIRST, 100.0), (LayerRange(HALF - 1, LAYERS), 60.0)], 0.0),
    ],
)
def test_planned_throughput_is_the_maximum_flow(parts, bound: float) -> None:
    """Layer ranges must be adjacent; parallel stages add up, and the minimum cut is the bound."""
    plan = plan_flow(_stages(*parts), LAYERS, LinkTable(RouterSettings()))
    assert plan.tokens_per_s == pytest.approx(bound, rel=1e-3)


def test_pipeline_with_missing_layers_is_refused() -> None:
    """A request is refused, not queued, if no endpoint holds some layers."""
    router = _router(_stages((FIRST, 100.0), (LayerRange(HALF + 4, LAYERS), 100.0)))
    chosen = router.choose(make_profile(0, 10), {}, frozenset(), False, 0.0)
    assert chosen.error.code is ResultCode.INCOMPLETE_PIPELINE


def test_faster_link_is_preferred_between_equal_flows() -> None:
    """Of two equal stages, the one with the faster link is used while it has room."""
    records = _stages((FIRST, 100.0), (SECOND, 100.0), (SECOND, 100.0))
    near, far = FailureDomainId("domain-1"), FailureDomainId("domain-2")
    home = FailureDomainId("domain-0")
    for fast, slow in ((near, far), (far, near)):
        links = (LinkCost(home, fast, 0.001), LinkCost(home, slow, 0.5))
        chosen = _router(records, links).choose(make_profile(0, 10), {}, frozenset(), False, 0.0)
        last = chosen.ok.stages[-1].endpoint_id
        assert next(r for r in records if r.endpoint_id == last).failure_domain == fast


@settings(max_examples=60, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), endpoints=st.integers(4, 40))
def test_each_layer_runs_once_in_order_and_routes_carry_the_planned_flow(
    seed: int, endpoints: int
) -> None:
    """Routes cover every layer once, and by Little's law carry at least the planned flow."""
    records = staged_cluster(seed, endpoints)
    layers_by_id = {record.endpoint_id: record.layers for record in records}
    routes, loads = _fill(_router(records))
    for route in routes:
        boundary = 0
        for endpoint_id in route:
            assert layers_by_id[endpoint_id].first == boundary
            boundary = layers_by_id[endpoint_id].end
        assert boundary == LAYERS
    plan = plan_flow(records, LAYERS, LinkTable(RouterSettings()))
    assert len(routes) >= plan.tokens_per_s * plan.latency_s


@pytest.mark.parametrize("entry_hosts", [1, 4])
@pytest.mark.parametrize("seed", range(1, 5))
def test_routed_throughput_reaches_the_maximum_flow(seed: int, entry_hosts: int) -> None:
    """Routed throughput reaches the target share of the maximum flow."""
    records = staged_cluster(seed)
    bench = RoutingSimulation(
        records, RouterSettings(FlowRoutes()), seed, entry_hosts, tokens=(8, 24)
    )
    bound = plan_flow(records, LAYERS, LinkTable(RouterSettings())).tokens_per_s
    assert bench.run(warm_up_s=5.0, seconds=10.0) >= TARGET_SHARE * bound


def test_flow_is_planned_again_only_when_the_endpoints_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Renewals of records and unchanged stops do not trigger planning."""
    from lagoonwing_policy.routing import _pools

    plans = []
    original = _pools.plan_flow
    monkeypatch.setattr(_pools, "plan_flow", lambda *args: plans.append(1) or original(*args))
    records = staged_cluster(1)
    router = _router(records)
    count = len(plans)
    for sequence in range(2, 50):

        router.set_endpoints([_renew(record, sequence) for record in records], float(sequence))
        router.set_stops([])
    assert len(plans) == count
    router.set_endpoints(records[1:], 60.0)
    assert len(plans) == count + 1


def _renew(record, sequence: int):
    """Return a record with another sequence number."""
    fields = {name: getattr(record, name) for name in record.__struct_fields__}
    fields["sequence"] = sequence
    return type(record)(**fields)


def test_reported_steps_of_a_stage_are_scaled_to_sequences() -> None:
    """With all slots busy there is no room to borrow, although few sequences are at the stage."""
    records = _stages((FIRST, 100.0), (SECOND, 100.0))
    router = FlowRouter(RouterSettings(entry_hosts=4), random.Random(1))
    router.set_endpoints(records, 0.0)
    _, loads = _fill(router)
    for record in records:
        own = loads[record.endpoint_id].running
        busy = EndpointLoad(record.endpoint_id, record.slots, 0, 0, reported=0.0)
        router.report_load(busy, own)
    chosen = router.choose(make_profile(999, 20), loads, frozenset(), False, 0.0)
    assert isinstance(chosen.error, NoFreeSlot)
