"""Routing: speed, caches, stops, ejection, stage replacement and suspects."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest

from bench.clusters import LAYERS, make_record, whole_cluster
from bench.stage_engines import MODEL, make_profile
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import EndpointId, Fingerprint, Incarnation, Revision, StopId
from lagoonwing_core.models import LayerRange, PlannedStop, StopState, StopTarget
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy._protocols import EndpointUse, NoFreeSlot
from lagoonwing_policy.models import (
    AttemptFailed,
    AttemptSucceeded,
    Dispatch,
    EndpointLoad,
    ModelWork,
    Route,
    RouteStage,
)
from lagoonwing_policy.routing import FlowRouter, RoundRobinRoutes, RouterSettings, const

NO_ENDPOINTS: frozenset[EndpointId] = frozenset()
LOST = Refusal(ResultCode.ENDPOINT_LOST, "connection reset")


def _records(*speeds: float):
    rng = random.Random(3)
    records = [make_record(number, rng, speed=speed) for number, speed in enumerate(speeds)]
    return [msgspec.structs.replace(record, slots=4) for record in records]


def _router(records, settings: RouterSettings | None = None, entry_hosts: int = 1) -> FlowRouter:
    router = FlowRouter(settings or RouterSettings(), random.Random(1))
    router.set_entry_hosts(entry_hosts)
    router.set_endpoints(records, 0.0)
    return router


def _with_prefix(number: int, *prefixes: str):
    profile = make_profile(number, 20)
    work = ModelWork(MODEL, 4000, 0, 20, prefixes)
    return type(profile)(
        profile.request_id, profile.member_id, profile.fingerprint, work, 0.0, 1e6, True
    )


def _chosen(router, profile, loads=None, excluded=NO_ENDPOINTS, exclusive=False, now=0.0) -> str:
    route = router.choose(profile, loads or {}, excluded, exclusive, now)
    assert route.is_ok(), route.error
    return str(route.ok.stages[0].endpoint_id)


def _fail(router, profile, name: str, now: float, crashed: bool = False, incarnation: int = 1):
    stage = RouteStage(EndpointId(name), Incarnation(incarnation))
    failed = AttemptFailed(stage, Dispatch.MAY_HAVE_RUN, crashed, False, 0, LOST)
    router.on_attempt_ended(profile, Route((stage,)), failed, now)


def _stop(target: StopTarget, target_id: str, state: StopState = StopState.DRAINING):
    return PlannedStop(
        stop_id=StopId("s"), target=target, target_id=target_id, state=state, revision=Revision(1)
    )


def test_faster_endpoint_is_preferred_until_it_is_loaded() -> None:
    """An idle cluster uses the fastest endpoint; slot limits are never exceeded."""
    router = _router(_records(60.0, 240.0, 60.0))
    loads: dict[EndpointId, EndpointUse] = {}
    taken: Counter[str] = Counter()
    for number in range(12):
        name = _chosen(router, make_profile(number, 20), loads)
        loads.setdefault(EndpointId(name), EndpointUse()).running += 1
        taken[name] += 1
        if number == 0:
            assert name == "endpoint-0001"
    assert set(taken.values()) == {4}
    full = router.choose(make_profile(13, 20), loads, NO_ENDPOINTS, False, 0.0)
    assert isinstance(full.error, NoFreeSlot)


def test_work_without_endpoints_is_refused() -> None:
    """Work that no endpoint serves is refused."""
    router = _router([])
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
    records = _records(240.0, 60.0)
    records[0] = msgspec.structs.replace(records[0], address="127.0.0.9")
    router = _router(records)
    router.set_stops([_stop(target, target_id)])
    assert {_chosen(router, make_profile(n, 20)) for n in range(20)} == {"endpoint-0001"}
    router.set_stops([_stop(target, target_id, StopState.SAFE)])
    assert {_chosen(router, make_profile(n, 20)) for n in range(20)} == {"endpoint-0001"}
    router.set_stops([_stop(target, target_id, StopState.CANCELLED)])
    assert "endpoint-0000" in {_chosen(router, make_profile(n, 20)) for n in range(20)}


def test_equal_prefixes_use_one_endpoint_on_every_entry_host() -> None:
    """Requests that share a prefix go to the same endpoint from every entry host."""
    records = whole_cluster(5)
    records = [msgspec.structs.replace(record, tokens_per_s=100.0, slots=8) for record in records]
    for prefix in ("a", "b", "c", "d"):
        names = {
            _chosen(_router_of(records, seed), _with_prefix(seed, prefix, f"{prefix}{seed}"))
            for seed in range(4)
        }
        assert len(names) == 1


def _router_of(records, seed: int) -> FlowRouter:
    """Return the router of one of several entry hosts."""
    router = FlowRouter(RouterSettings(), random.Random(seed))
    router.set_endpoints(records, 0.0)
    return router


def test_popular_prefix_spills_over_at_bounded_load() -> None:
    """A popular prefix doesn't overload one endpoint while others are idle."""
    router = _router(_records(*[100.0] * 8))
    loads: dict[EndpointId, EndpointUse] = {}
    for number in range(16):
        name = _chosen(router, _with_prefix(number, "p"), loads)
        loads.setdefault(EndpointId(name), EndpointUse()).running += 1
    assert max(use.running for use in loads.values()) < 4


def test_cache_events_count_until_they_expire_or_events_are_lost() -> None:
    """A reported prefix counts as cached until it expires or events are lost."""
    router = _router(_records(100.0, 104.0))
    profile = _with_prefix(1, *[f"p{n}" for n in range(8)])
    base = _chosen(router, profile)
    other = "endpoint-0001" if base == "endpoint-0000" else "endpoint-0000"
    crowd = {EndpointId(base): EndpointUse(running=3)}
    assert _chosen(router, profile, crowd) == other
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
    records = _records(100.0, 100.0)
    router = _router(records)
    router.report_prefix(EndpointId("endpoint-0000"), "p", True)
    restarted = [msgspec.structs.replace(records[0], incarnation=Incarnation(2)), records[1]]
    router.set_endpoints(restarted, 1.0)
    assert router._prefixes.cached_share(EndpointId("endpoint-0000"), ("p",), 1.0) == 0.0


def test_crashed_endpoint_is_ejected_immediately_and_probed_later() -> None:
    """A crash ejects; later single probes are allowed, and a success restores the endpoint."""
    router = _router(_records(240.0, 60.0, 60.0))
    _fail(router, make_profile(0, 20), "endpoint-0000", 0.0, crashed=True)
    for number in range(1, 30):
        assert _chosen(router, make_profile(number, 20), now=0.1) != "endpoint-0000"
    late = 0.1 + 2 * const.EJECTION_MIN_S
    assert _chosen(router, make_profile(40, 20), now=late) == "endpoint-0000"
    probing = {EndpointId("endpoint-0000"): EndpointUse(running=1)}
    assert _chosen(router, make_profile(41, 20), probing, now=late) != "endpoint-0000"
    route = Route((RouteStage(EndpointId("endpoint-0000"), Incarnation(1)),))
    router.on_attempt_ended(make_profile(40, 20), route, AttemptSucceeded(1), late)
    assert _chosen(router, make_profile(42, 20), probing, now=late) == "endpoint-0000"


def test_consecutive_failures_eject() -> None:
    """Errors without a crash eject only after several in a row; a restart clears them."""
    records = _records(240.0, 60.0, 60.0)
    router = _router(records)
    for number in range(const.EJECT_AFTER_FAILURES - 1):
        _fail(router, make_profile(number, 20), "endpoint-0000", 0.0)
    assert _chosen(router, make_profile(10, 20)) == "endpoint-0000"
    _fail(router, make_profile(11, 20), "endpoint-0000", 0.0)
    assert _chosen(router, make_profile(12, 20)) != "endpoint-0000"
    restarted = [msgspec.structs.replace(records[0], incarnation=Incarnation(2)), *records[1:]]
    router.set_endpoints(restarted, 0.1)
    assert _chosen(router, make_profile(13, 20), now=0.1) == "endpoint-0000"


def test_busy_endpoint_is_not_ejected() -> None:
    """Refusals with a retry-after time don't eject."""
    router = _router(_records(240.0, 60.0, 60.0))
    stage = RouteStage(EndpointId("endpoint-0000"), Incarnation(1))
    busy = AttemptFailed(
        stage, Dispatch.REFUSED_BEFORE_START, False, False, 0, LOST, retry_after=0.2
    )
    for number in range(10):
        router.on_attempt_ended(make_profile(number, 20), Route((stage,)), busy, 0.0)
    assert _chosen(router, make_profile(20, 20)) == "endpoint-0000"


def test_ejections_are_ignored_when_too_few_endpoints_are_healthy() -> None:
    """If all endpoints are ejected, they are used anyway."""
    router = _router(_records(100.0, 100.0))
    for name in ("endpoint-0000", "endpoint-0001"):
        _fail(router, make_profile(0, 20), name, 0.0, crashed=True)
    assert _chosen(router, make_profile(5, 20), now=0.1)


def test_retry_prefers_another_failure_domain() -> None:
    """After a failure, endpoints in other failure domains are preferred."""
    router = _router(_records(100.0, 80.0, 80.0, 100.0))
    profile = make_profile(0, 20)
    _fail(router, profile, "endpoint-0000", 0.0)
    excluded = frozenset({EndpointId("endpoint-0000")})
    assert _chosen(router, profile, excluded=excluded) in ("endpoint-0001", "endpoint-0002")


def test_quotas_of_entry_hosts_and_borrowing_after_a_report() -> None:
    """Four hosts share the slots; a recent report of an idle engine lets one borrow more."""
    router = _router(_records(100.0), entry_hosts=4)
    loads = {EndpointId("endpoint-0000"): EndpointUse(running=1)}
    profile = make_profile(0, 20)
    assert isinstance(router.choose(profile, loads, NO_ENDPOINTS, False, 0.0).error, NoFreeSlot)
    router.report_load(EndpointLoad(EndpointId("endpoint-0000"), 1, 0, 0, reported=0.0), 1)
    assert _chosen(router, profile, loads, now=0.1) == "endpoint-0000"
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
    router = _router(records)
    profile = make_profile(0, 20)
    route = Route(
        (
            RouteStage(EndpointId("endpoint-0000"), Incarnation(1)),
            RouteStage(EndpointId("endpoint-0002"), Incarnation(1)),
        )
    )
    router.set_endpoints([r for r in records if r.endpoint_id != "endpoint-0002"], 1.0)
    router.set_stops([_stop(StopTarget.ENDPOINT, "endpoint-0003")])
    found = router.replace_stage(profile, route, route.stages[1], {}, 1.0)
    assert found.ok.endpoint_id == "endpoint-0004"
    router.set_stops([_stop(StopTarget.FAILURE_DOMAIN, "domain-0")])
    router.set_endpoints(records[:3], 2.0)
    none = router.replace_stage(profile, route, route.stages[1], {}, 2.0)
    assert none.error.code is ResultCode.NO_ENDPOINT


def test_round_robin_takes_turns() -> None:
    """Round robin ignores speed."""
    router = _router(_records(60.0, 240.0, 60.0), RouterSettings(RoundRobinRoutes()))
    taken = Counter(_chosen(router, make_profile(n, 20)) for n in range(30))
    assert set(taken.values()) == {10}


class _FakeSuspectSource:
    """Suspects as in the replicated state."""

    def __init__(self) -> None:
        self.recorded: tuple[Fingerprint, ...] = ()
        self.crashed: frozenset[EndpointId] = frozenset()

    def crashed_on(self, fingerprint: Fingerprint) -> frozenset[EndpointId]:
        """Return the crashed endpoints."""
        return self.crashed

    def recorded_suspects(self) -> tuple[Fingerprint, ...]:
        """Return the suspects."""
        return self.recorded


def test_suspect_has_the_same_exclusive_endpoint_on_every_entry_host() -> None:
    """All hosts assign a suspect the same endpoint and route no other work to it."""
    records = whole_cluster(7, 12)
    own = set()
    for seed in range(4):
        source = _FakeSuspectSource()
        source.recorded = (Fingerprint("f0"),)
        router = _router_of(records, seed)
        router.set_suspect_source(source)
        name = _chosen(router, make_profile(0, 20), exclusive=True)
        own.add(name)
        others = {_chosen(router, make_profile(n, 20)) for n in range(1, 60)}
        assert name not in others
    assert len(own) == 1


def test_suspect_waits_for_its_endpoint_to_be_idle() -> None:
    """An exclusive route is returned only if nothing else is running on it."""
    source = _FakeSuspectSource()
    source.recorded = (Fingerprint("f0"),)
    router = _router(whole_cluster(7, 12))
    router.set_suspect_source(source)
    profile = make_profile(0, 20)
    name = router.exclusive_route(profile, 0.0).ok.stages[0].endpoint_id
    busy = {name: EndpointUse(running=1)}
    assert isinstance(router.choose(profile, busy, NO_ENDPOINTS, True, 0.0).error, NoFreeSlot)
    assert _chosen(router, profile, exclusive=True) == name


def test_suspect_is_not_reassigned_before_the_replicated_state_settles() -> None:
    """A suspect whose endpoint is lost waits for a possible crash record first."""
    records = whole_cluster(7, 12)
    source = _FakeSuspectSource()
    source.recorded = (Fingerprint("f0"),)
    router = _router(records)
    router.set_suspect_source(source)
    profile = make_profile(0, 20)
    name = _chosen(router, profile, exclusive=True)
    router.set_endpoints([r for r in records if r.endpoint_id != name], 1.0)
    for now in (1.0, 2.0, 1.0 + const.SUSPECT_SETTLE_S - 0.1):
        waiting = router.choose(profile, {}, NO_ENDPOINTS, True, now)
        assert isinstance(waiting.error, NoFreeSlot)
    later = 1.0 + const.SUSPECT_SETTLE_S + 0.1
    assert _chosen(router, profile, exclusive=True, now=later) != name


def test_suspects_reserve_only_a_share_of_a_pool() -> None:
    """Many simultaneous suspects leave most endpoints to other work."""
    records = whole_cluster(7, 12)
    source = _FakeSuspectSource()
    source.recorded = tuple(Fingerprint(f"f{n}") for n in range(40))
    router = _router(records)
    router.set_suspect_source(source)
    loads: dict[EndpointId, EndpointUse] = {}
    while True:
        chosen = router.choose(make_profile(100, 20), loads, NO_ENDPOINTS, False, 0.0)
        if chosen.is_error():
            break
        loads.setdefault(chosen.ok.stages[0].endpoint_id, EndpointUse()).running += 1
    assert len(loads) >= 12 * (1 - const.MAX_RESERVED_SHARE)


def test_suspects_never_share_endpoints_and_wait_if_necessary() -> None:
    """Assigned suspects have separate endpoints; the others wait until these are cleared."""
    source = _FakeSuspectSource()
    source.recorded = tuple(Fingerprint(f"f{n}") for n in range(8))
    router = _router(whole_cluster(7, 12))
    router.set_suspect_source(source)
    routes = [router.choose(make_profile(n, 20), {}, NO_ENDPOINTS, True, 0.0) for n in range(8)]
    names = [route.ok.stages[0].endpoint_id for route in routes if route.is_ok()]
    assert 0 < len(names) == len(set(names)) < 8
    source.recorded = source.recorded[len(names) :]
    assert router.choose(make_profile(len(names), 20), {}, NO_ENDPOINTS, True, 0.1).is_ok()


def test_suspect_waits_until_its_record_arrives() -> None:
    """Until its record arrives, other suspects may be unknown to this host as well."""
    source = _FakeSuspectSource()
    router = _router(whole_cluster(7, 12))
    router.set_suspect_source(source)
    profile = make_profile(0, 20)
    assert isinstance(router.choose(profile, {}, NO_ENDPOINTS, True, 0.0).error, NoFreeSlot)
    source.recorded = (Fingerprint("f0"),)
    assert router.choose(profile, {}, NO_ENDPOINTS, True, 0.1).is_ok()


def test_suspect_without_a_record_runs_eventually() -> None:
    """A suspect whose record never arrives is delayed but not blocked forever."""
    router = _router(whole_cluster(7, 12))
    profile = make_profile(0, 20)
    assert isinstance(router.choose(profile, {}, NO_ENDPOINTS, True, 0.0).error, NoFreeSlot)
    assert router.choose(profile, {}, NO_ENDPOINTS, True, const.SUSPECT_SETTLE_S + 0.1).is_ok()


def test_suspect_may_return_to_the_only_endpoint_after_its_restart() -> None:
    """Without another endpoint, the next incarnation of the crashed one is used."""
    records = _records(100.0)
    source = _FakeSuspectSource()
    source.recorded = (Fingerprint("f0"),)
    source.crashed = frozenset({EndpointId("endpoint-0000")})
    router = _router(records)
    router.set_suspect_source(source)
    restarted = msgspec.structs.replace(records[0], incarnation=Incarnation(2))
    router.set_endpoints([restarted], 5.0)
    assert _chosen(router, make_profile(0, 20), exclusive=True, now=5.0) == "endpoint-0000"


def test_suspects_with_the_same_preference_get_different_endpoints() -> None:
    """Two suspects that hash to the same endpoint are assigned two, so that neither waits."""
    records = whole_cluster(7, 12)
    number_by_name: dict[str, int] = {}
    for number in range(50):
        source = _FakeSuspectSource()
        source.recorded = (Fingerprint(f"f{number}"),)
        router = _router(records)
        router.set_suspect_source(source)
        name = _chosen(router, make_profile(number, 20), exclusive=True)
        if name in number_by_name:
            break
        number_by_name[name] = number
    pair = (number_by_name[name], number)
    source.recorded = tuple(Fingerprint(f"f{item}") for item in pair)
    router = _router(records)
    router.set_suspect_source(source)
    names = {_chosen(router, make_profile(item, 20), exclusive=True) for item in pair}
    assert len(names) == 2


def test_suspect_assignment_ignores_local_endpoint_health() -> None:
    """A host that ejected the suspect's endpoint waits instead of assigning another one."""
    records = whole_cluster(7, 12)
    source = _FakeSuspectSource()
    source.recorded = (Fingerprint("f0"),)
    other = _router(records)
    other.set_suspect_source(source)
    name = _chosen(other, make_profile(0, 20), exclusive=True)
    router = _router(records)
    router.set_suspect_source(source)
    _fail(router, make_profile(1, 20), name, 0.0, crashed=True)
    waiting = router.choose(make_profile(0, 20), {}, NO_ENDPOINTS, True, 0.1)
    assert isinstance(waiting.error, NoFreeSlot)
