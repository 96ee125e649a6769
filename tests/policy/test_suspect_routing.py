"""Routing of suspects: own endpoints, the same on every entry host."""

from __future__ import annotations

import msgspec
from routing_support import (
    NO_ENDPOINTS,
    chosen_name,
    make_records,
    make_router,
    report_failure,
    router_of,
)

from bench.clusters import whole_cluster
from bench.stage_engines import make_profile
from lagoonwing_core.ids import EndpointId, Fingerprint, Incarnation
from lagoonwing_policy._protocols import EndpointUse, NoFreeSlot
from lagoonwing_policy.routing import const


class FakeSuspectSource:
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
        source = FakeSuspectSource()
        source.recorded = (Fingerprint("f0"),)
        router = router_of(records, seed)
        router.set_suspect_source(source)
        name = chosen_name(router, make_profile(0, 20), exclusive=True)
        own.add(name)
        others = {chosen_name(router, make_profile(n, 20)) for n in range(1, 60)}
        assert name not in others
    assert len(own) == 1


def test_suspect_waits_for_its_endpoint_to_be_idle() -> None:
    """An exclusive route is returned only if nothing else is running on it."""
    source = FakeSuspectSource()
    source.recorded = (Fingerprint("f0"),)
    router = make_router(whole_cluster(7, 12))
    router.set_suspect_source(source)
    profile = make_profile(0, 20)
    name = router.exclusive_route(profile, 0.0).ok.stages[0].endpoint_id
    busy = {name: EndpointUse(running=1)}
    assert isinstance(router.choose(profile, busy, NO_ENDPOINTS, True, 0.0).error, NoFreeSlot)
    assert chosen_name(router, profile, exclusive=True) == name


def test_suspect_is_not_reassigned_before_the_replicated_state_settles() -> None:
    """A suspect whose endpoint is lost waits for a possible crash record first."""
    records = whole_cluster(7, 12)
    source = FakeSuspectSource()
    source.recorded = (Fingerprint("f0"),)
    router = make_router(records)
    router.set_suspect_source(source)
    profile = make_profile(0, 20)
    name = chosen_name(router, profile, exclusive=True)
    router.set_endpoints([r for r in records if r.endpoint_id != name], 1.0)
    for now in (1.0, 2.0, 1.0 + const.SUSPECT_SETTLE_S - 0.1):
        waiting = router.choose(profile, {}, NO_ENDPOINTS, True, now)
        assert isinstance(waiting.error, NoFreeSlot)
    later = 1.0 + const.SUSPECT_SETTLE_S + 0.1
    assert chosen_name(router, profile, exclusive=True, now=later) != name


def test_suspects_reserve_only_a_share_of_a_pool() -> None:
    """Many simultaneous suspects leave most endpoints to other work."""
    records = whole_cluster(7, 12)
    source = FakeSuspectSource()
    source.recorded = tuple(Fingerprint(f"f{n}") for n in range(40))
    router = make_router(records)
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
    source = FakeSuspectSource()
    source.recorded = tuple(Fingerprint(f"f{n}") for n in range(8))
    router = make_router(whole_cluster(7, 12))
    router.set_suspect_source(source)
    routes = [router.choose(make_profile(n, 20), {}, NO_ENDPOINTS, True, 0.0) for n in range(8)]
    names = [route.ok.stages[0].endpoint_id for route in routes if route.is_ok()]
    assert 0 < len(names) == len(set(names)) < 8
    source.recorded = source.recorded[len(names) :]
    assert router.choose(make_profile(len(names), 20), {}, NO_ENDPOINTS, True, 0.1).is_ok()


def test_suspect_waits_until_its_record_arrives() -> None:
    """Until its record arrives, other suspects may be unknown to this host as well."""
    source = FakeSuspectSource()
    router = make_router(whole_cluster(7, 12))
    router.set_suspect_source(source)
    profile = make_profile(0, 20)
    assert isinstance(router.choose(profile, {}, NO_ENDPOINTS, True, 0.0).error, NoFreeSlot)
    source.recorded = (Fingerprint("f0"),)
    assert router.choose(profile, {}, NO_ENDPOINTS, True, 0.1).is_ok()


def test_suspect_without_a_record_runs_eventually() -> None:
    """A suspect whose record never arrives is delayed but not blocked forever."""
    router = make_router(whole_cluster(7, 12))
    profile = make_profile(0, 20)
    assert isinstance(router.choose(profile, {}, NO_ENDPOINTS, True, 0.0).error, NoFreeSlot)
    assert router.choose(profile, {}, NO_ENDPOINTS, True, const.SUSPECT_SETTLE_S + 0.1).is_ok()


def test_suspect_may_return_to_the_only_endpoint_after_its_restart() -> None:
    """Without another endpoint, the next incarnation of the crashed one is used."""
    records = make_records(100.0)
    source = FakeSuspectSource()
    source.recorded = (Fingerprint("f0"),)
    source.crashed = frozenset({EndpointId("endpoint-0000")})
    router = make_router(records)
    router.set_suspect_source(source)
    restarted = msgspec.structs.replace(records[0], incarnation=Incarnation(2))
    router.set_endpoints([restarted], 5.0)
    assert chosen_name(router, make_profile(0, 20), exclusive=True, now=5.0) == "endpoint-0000"


def test_suspects_with_the_same_preference_get_different_endpoints() -> None:
    """Two suspects that hash to the same endpoint are assigned two, so that neither waits."""
    records = whole_cluster(7, 12)
    number_by_name: dict[str, int] = {}
    for number in range(50):
        source = FakeSuspectSource()
        source.recorded = (Fingerprint(f"f{number}"),)
        router = make_router(records)
        router.set_suspect_source(source)
        name = chosen_name(router, make_profile(number, 20), exclusive=True)
        if name in number_by_name:
            break
        number_by_name[name] = number
    pair = (number_by_name[name], number)
    source.recorded = tuple(Fingerprint(f"f{item}") for item in pair)
    router = make_router(records)
    router.set_suspect_source(source)
    names = {chosen_name(router, make_profile(item, 20), exclusive=True) for item in pair}
    assert len(names) == 2


def test_suspect_assignment_ignores_local_endpoint_health() -> None:
    """A host that ejected the suspect's endpoint waits instead of assigning another one."""
    records = whole_cluster(7, 12)
    source = FakeSuspectSource()
    source.recorded = (Fingerprint("f0"),)
    other = make_router(records)
    other.set_suspect_source(source)
    name = chosen_name(other, make_profile(0, 20), exclusive=True)
    router = make_router(records)
    router.set_suspect_source(source)
    report_failure(router, make_profile(1, 20), name, 0.0, crashed=True)
    waiting = router.choose(make_profile(0, 20), {}, NO_ENDPOINTS, True, 0.1)
    assert isinstance(waiting.error, NoFreeSlot)
