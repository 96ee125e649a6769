"""Routing: speed, caches, stops, ejection and stage replacement."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest
from routing_support import (
    LOST,
    NO_ENDPOINTS,
    chosen_name,
    make_records,
    make_router,
    make_stop,
    profile_with_prefix,
    report_failure,
    router_of,
)

from bench.clusters import LAYERS, make_record, whole_cluster
from bench.stage_engines import make_profile
from lagoonwing_core.ids import EndpointId, Incarnation
from lagoonwing_core.models import LayerRange, StopState, StopTarget
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy._protocols import EndpointUse, NoFreeSlot
from lagoonwing_policy.models import (
    AttemptFailed,
    AttemptSucceeded,
    Dispatch,
    EndpointLoad,
    Route,
    RouteStage,
)
from lagoonwing_policy.routing import RoundRobinRoutes, RouterSettings, const


def test_faster_endpoint_is_preferred_until_it_is_loaded() -> None:
    """An idle cluster uses the fastest endpoint; slot limits are never exceeded."""
    router = make_router(make_records(60.0, 240.0, 60.0))
    loads: dict[EndpointId, EndpointUse] = {}
    taken: Counter[str] = Counter()
    for number in range(12):
        name = chosen_name(router, make_profile(number, 20), loads)
        loads.setdefault(EndpointId(name), EndpointUse()).running += 1
        taken[name] += 1
        if number == 0:
            assert name == "endpoint-0001"
    assert set(taken.values()) == {4}
    full = router.choose(make_profile(13, 20), loads, NO_ENDPOINTS, False, 0.0)
    assert isinstance(full.error, NoFreeSlot)


def test_work_without_endpoints_is_refused() -> None:
    """Work that no endpoint serves is refused."""
    router = make_router([])
    refused = router.choose(make_profile(0, 20), {}, NO_ENDPOINTS, False, 0.0)
    assert refused.error.code is ResultCode.NO_ENDPOINT


@pytest.mark.parametrize(
    ("target", "target_id"),
    [
        (StopTarget.ENDPOINT, "endpoint-0000"),
        (StopTarget.FAILURE_DOMAIN, "domain-0"),
        (StopTarget.HOST, "127.0.0.9"),
    ],
)
def test_planned_stop_excludes_endpoints(target: StopTarget, target_id: str) -> None:
    """Targets of a planned stop receive no new work until the stop is cancelled."""
    records = make_records(240.0, 60.0)
    records[0] = msgspec.structs.replace(records[0], address="127.0.0.9")
    router = make_router(records)
    router.set_stops([make_stop(target, target_id)])
    assert {chosen_name(router, make_profile(n, 20)) for n in range(20)} == {"endpoint-0001"}
    router.set_stops([make_stop(target, target_id, StopState.SAFE)])
    assert {chosen_name(router, make_profile(n, 20)) for n in range(20)} == {"endpoint-0001"}
    router.set_stops([make_stop(target, target_id, StopState.CANCELLED)])
    assert "endpoint-0000" in {chosen_name(router, make_profile(n, 20)) for n in range(20)}


def test_equal_prefixes_use_one_endpoint_on_every_entry_host() -> None:
    """Requests that share a prefix go to the same endpoint from every entry host."""
    records = whole_cluster(5)
    records = [msgspec.structs.replace(record, tokens_per_s=100.0, slots=8) for record in records]
    for prefix in ("a", "b", "c", "d"):
        names = {
            chosen_name(
                router_of(records, seed), profile_with_prefix(seed, prefix, f"{prefix}{seed}")
            )
            for seed in range(4)
        }
        assert len(names) == 1


def test_popular_prefix_spills_over_at_bounded_load() -> None:
    """A popular prefix doesn't overload one endpoint while others are idle."""
    router = make_router(make_records(*[100.0] * 8))
    loads: dict[EndpointId, EndpointUse] = {}
    for number in range(16):
        name = chosen_name(router, profile_with_prefix(number, "p"), loads)
        loads.setdefault(EndpointId(name), EndpointUse()).running += 1
    assert max(use.running for use in loads.values()) < 4


def test_cache_events_count_until_they_expire_or_events_are_lost() -> None:
    """A reported prefix counts as cached until it expires or events are lost."""
    router = make_router(make_records(100.0, 104.0))
    profile = profile_with_prefix(1, *[f"p{n}" for n in range(8)])
    base = chosen_name(router, profile)
    other = "endpoint-0001" if base == "endpoint-0000" else "endpoint-0000"
    crowd = {EndpointId(base): EndpointUse(running=3)}
    assert chosen_name(router, profile, crowd) == other
    router.report_prefix(EndpointId(base), "p7", True)
    router.report_prefix(EndpointId(other), "p7", False)
    cached_share = router._prefixes.cached_share
    prefixes = profile.work.prefix_hashes
    assert cached_share(EndpointId(base), prefixes, 0.0) == 1.0
    assert cached_share(EndpointId(base), prefixes, const.PREFIX_TTL_S + 1.0) == 0.0
    router.report_cache_gap(EndpointId(base))
    assert cached_share(EndpointId(base), prefixes, 0.0) == 0.0


def test_restart_discards_reported_prefixes() -> None:
    """Prefixes reported by the previous incarnation are discarded."""
    records = make_records(100.0, 100.0)
    router = make_router(records)
    router.report_prefix(EndpointId("endpoint-0000"), "p", True)
    restarted = [msgspec.structs.replace(records[0], incarnation=Incarnation(2)), records[1]]
    router.set_endpoints(restarted, 1.0)
    assert router._prefixes.cached_share(EndpointId("endpoint-0000"), ("p",), 1.0) == 0.0


def test_crashed_endpoint_is_ejected_immediately_and_probed_later() -> None:
    """A crash ejects; later single probes are allowed, and a success restores the endpoint."""
    router = make_router(make_records(240.0, 60.0, 60.0))
    report_failure(router, make_profile(0, 20), "endpoint-0000", 0.0, crashed=True)
    for number in range(1, 30):
        assert chosen_name(router, make_profile(number, 20), now=0.1) != "endpoint-0000"
    late = 0.1 + 2 * const.EJECTION_MIN_S
    assert chosen_name(router, make_profile(40, 20), now=late) == "endpoint-0000"
    probing = {EndpointId("endpoint-0000"): EndpointUse(running=1)}
    assert chosen_name(router, make_profile(41, 20), probing, now=late) != "endpoint-0000"
    route = Route((RouteStage(EndpointId("endpoint-0000"), Incarnation(1)),))
    router.on_attempt_ended(make_profile(40, 20), route, AttemptSucceeded(1), late)
    assert chosen_name(router, make_profile(42, 20), probing, now=late) == "endpoint-0000"


def test_consecutive_failures_eject() -> None:
    """Errors without a crash eject only after several in a row; a restart clears them."""
    records = make_records(240.0, 60.0, 60.0)
    router = make_router(records)
    for number in range(const.EJECT_AFTER_FAILURES - 1):
        report_failure(router, make_profile(number, 20), "endpoint-0000", 0.0)
    assert chosen_name(router, make_profile(10, 20)) == "endpoint-0000"
    report_failure(router, make_profile(11, 20), "endpoint-0000", 0.0)
    assert chosen_name(router, make_profile(12, 20)) != "endpoint-0000"
    restarted = [msgspec.structs.replace(records[0], incarnation=Incarnation(2)), *records[1:]]
    router.set_endpoints(restarted, 0.1)
    assert chosen_name(router, make_profile(13, 20), now=0.1) == "endpoint-0000"


def test_busy_endpoint_is_not_ejected() -> None:
    """Refusals with a retry-after time don't eject."""
    router = make_router(make_records(240.0, 60.0, 60.0))
    stage = RouteStage(EndpointId("endpoint-0000"), Incarnation(1))
    busy = AttemptFailed(
        stage, Dispatch.REFUSED_BEFORE_START, False, False, 0, LOST, retry_after=0.2
    )
    for number in range(10):
        router.on_attempt_ended(make_profile(number, 20), Route((stage,)), busy, 0.0)
    assert chosen_name(router, make_profile(20, 20)) == "endpoint-0000"


def test_ejections_are_ignored_when_too_few_endpoints_are_healthy() -> None:
    """If all endpoints are ejected, they are used anyway."""
    router = make_router(make_records(100.0, 100.0))
    for name in ("endpoint-0000", "endpoint-0001"):
        report_failure(router, make_profile(0, 20), name, 0.0, crashed=True)
    assert chosen_name(router, make_profile(5, 20), now=0.1)


def test_retry_prefers_another_failure_domain() -> None:
    """After a failure, endpoints in other failure domains are preferred."""
    router = make_router(make_records(100.0, 80.0, 80.0, 100.0))
    profile = make_profile(0, 20)
    report_failure(router, profile, "endpoint-0000", 0.0)
    excluded = frozenset({EndpointId("endpoint-0000")})
    assert chosen_name(router, profile, excluded=excluded) in ("endpoint-0001", "endpoint-0002")


def test_quotas_of_entry_hosts_and_borrowing_after_a_report() -> None:
    """Four hosts share the slots; a recent report of an idle engine lets one borrow more."""
    router = make_router(make_records(100.0), entry_hosts=4)
    loads = {EndpointId("endpoint-0000"): EndpointUse(running=1)}
    profile = make_profile(0, 20)
    assert isinstance(router.choose(profile, loads, NO_ENDPOINTS, False, 0.0).error, NoFreeSlot)
    router.report_load(EndpointLoad(EndpointId("endpoint-0000"), 1, 0, 0, reported=0.0), 1)
    assert chosen_name(router, profile, loads, now=0.1) == "endpoint-0000"
    stale = 0.1 + const.HINT_TTL_S
    assert isinstance(router.choose(profile, loads, NO_ENDPOINTS, False, stale).error, NoFreeSlot)


def _pipeline():
    rng = random.Random(2)
    half = LAYERS // 2
    ranges = [LayerRange(0, half)] * 2 + [LayerRange(half, LAYERS)] * 3
    return [make_record(number, rng, layers, 100.0) for number, layers in enumerate(ranges)]


def test_only_the_failed_stage_is_replaced() -> None:
    """The new stage holds the same layers, is not on the route and has no planned stop."""
    records = _pipeline()
    router = make_router(records)
    profile = make_profile(0, 20)
    route = Route(
        (
            RouteStage(EndpointId("endpoint-0000"), Incarnation(1)),
            RouteStage(EndpointId("endpoint-0002"), Incarnation(1)),
        )
    )
    router.set_endpoints([r for r in records if r.endpoint_id != "endpoint-0002"], 1.0)
    router.set_stops([make_stop(StopTarget.ENDPOINT, "endpoint-0003")])
    found = router.replace_stage(profile, route, route.stages[1], {}, 1.0)
    assert found.ok.endpoint_id == "endpoint-0004"
    router.set_stops([make_stop(StopTarget.FAILURE_DOMAIN, "domain-0")])
    router.set_endpoints(records[:3], 2.0)
    none = router.replace_stage(profile, route, route.stages[1], {}, 2.0)
    assert none.error.code is ResultCode.NO_ENDPOINT


def test_round_robin_takes_turns() -> None:
    """Round robin ignores speed."""
    router = make_router(make_records(60.0, 240.0, 60.0), RouterSettings(RoundRobinRoutes()))
    taken = Counter(chosen_name(router, make_profile(n, 20)) for n in range(30))
    assert set(taken.values()) == {10}
