"""Quarantine of prompt parts that crash endpoints, over many gateways on simulated time."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from crash_cluster import CrashCluster, Run, make_context, make_record

from lagoonwing_catalog.const import MAX_LEDGER_TRAITS
from lagoonwing_core.clock import ManualClock
from lagoonwing_gateway._crash_tracker import CrashTracker
from lagoonwing_gateway.const import MAX_CRASHES, QUARANTINE_S

# Bounds of the users' rules: crashes after which, and time after them from which, at most so many
# requests with a part may reach endpoints.
RULE_CRASHES = 5
RULE_WINDOW_S = 3.0
RULE_REQUESTS = 3
SEEDS = range(20)
# Seed, gateways and endpoints.
CLUSTERS = [
    *((seed, 4, 33) for seed in SEEDS),
    *((seed, 26, 86) for seed in range(6)),
    *((seed, 78, 300) for seed in range(2)),
]


def _run_traffic(
    cluster: CrashCluster,
    seconds: float,
    sound_per_s: float,
    make_sound: Callable[[], tuple[str, ...]],
    crashing_per_s: float = 0.0,
    make_crashing: Callable[[], tuple[str, ...]] = tuple,
) -> list[Run]:
    """Send sound and crashing requests for some time; return the sound ones."""
    runs = []
    end = cluster.clock.now() + seconds
    total = sound_per_s + crashing_per_s
    while cluster.clock.now() < end:
        cluster.advance(cluster.rng.expovariate(total))
        if cluster.rng.random() < crashing_per_s / total:
            cluster.send(*make_crashing())
        else:
            runs.append(cluster.send(*make_sound()))
    return runs


def _assert_within_rule(cluster: CrashCluster, part: str) -> None:
    """Assert that hardly any request with a part reached endpoints after the rule's window."""
    times = cluster.crash_times(part)
    if len(times) >= RULE_CRASHES:
        window_end = times[RULE_CRASHES - 1] + RULE_WINDOW_S
        assert cluster.reached_after(window_end, part) <= RULE_REQUESTS


def _refused_prompts(runs: list[Run]) -> list[tuple[str, ...]]:
    """Return the prompts of the requests that were refused because of their parts."""
    return [run.context.request.prompt_parts for run in runs if run.is_refused]


def _rare_part(cluster: CrashCluster) -> str:
    """Return one of many seldom used parts."""
    return f"rare-{cluster.rng.randrange(300)}"


@pytest.mark.parametrize(("seed", "gateways", "endpoints"), CLUSTERS)
@pytest.mark.parametrize("position", [0, 1, 2])
def test_part_that_crashes_endpoints_stops_reaching_them(
    seed: int, gateways: int, endpoints: int, position: int
) -> None:
    """Wherever it stands, and while sound requests share all the other parts."""
    cluster = CrashCluster(seed, gateways, endpoints)
    cluster.crashing_parts = {"crashing"}

    def make_crashing() -> tuple[str, ...]:
        parts = ["first", _rare_part(cluster)]
        parts.insert(position, "crashing")
        return tuple(parts)

    scale = gateways / 4
    _run_traffic(cluster, 5.0, 10.0 * scale, lambda: ("first", _rare_part(cluster)))
    sound = _run_traffic(
        cluster, 20.0, 10.0 * scale, lambda: ("first", _rare_part(cluster)), scale, make_crashing
    )
    _assert_within_rule(cluster, "crashing")
    assert _refused_prompts(sound) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_several_crashing_parts_are_told_apart(seed: int) -> None:
    """Each of five parts is found; sound requests with the same first part are served."""
    cluster = CrashCluster(seed, gateways=8, endpoints=120)
    cluster.crashing_parts = {f"crashing-{number}" for number in range(5)}
    parts = sorted(cluster.crashing_parts)
    _run_traffic(cluster, 5.0, 20.0, lambda: ("first", _rare_part(cluster)))
    sound = _run_traffic(
        cluster,
        30.0,
        20.0,
        lambda: ("first", _rare_part(cluster)),
        5.0,
        lambda: ("first", cluster.rng.choice(parts), _rare_part(cluster)),
    )
    for part in parts:
        _assert_within_rule(cluster, part)
    assert _refused_prompts(sound) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_crashing_part_that_returns_after_a_pause_is_still_known(seed: int) -> None:
    """A pause of minutes gives it no new allowance."""
    cluster = CrashCluster(seed)
    cluster.crashing_parts = {"crashing"}
    for pause_s in (0.0, 30.0, 200.0):
        cluster.advance(pause_s)
        _run_traffic(
            cluster,
            15.0,
            10.0,
            lambda: ("first",),
            1.0,
            lambda: ("first", "crashing", _rare_part(cluster)),
        )
    _assert_within_rule(cluster, "crashing")


@pytest.mark.parametrize("seed", SEEDS)
def test_crashing_parts_in_one_burst_and_then_one_by_one(seed: int) -> None:
    """A burst looks like a mass loss; the few requests after it find the part all the same."""
    cluster = CrashCluster(seed, gateways=4, endpoints=60)
    cluster.crashing_parts = {"crashing"}
    _run_traffic(cluster, 5.0, 20.0, lambda: ("first", _rare_part(cluster)))
    for _ in range(8):
        cluster.send("first", "crashing", _rare_part(cluster))
    _run_traffic(cluster, 10.0, 20.0, lambda: ("first", _rare_part(cluster)))
    _run_traffic(
        cluster,
        20.0,
        20.0,
        lambda: ("first", _rare_part(cluster)),
        0.5,
        lambda: ("first", "crashing", _rare_part(cluster)),
    )
    _assert_within_rule(cluster, "crashing")


@pytest.mark.parametrize("seed", SEEDS)
def test_quarantine_outlives_the_gateways_that_saw_the_crashes(seed: int) -> None:
    """New gateways know it from the replicas, and one that was cut off keeps it."""
    cluster = CrashCluster(seed)
    cluster.crashing_parts = {"crashing"}
    _run_traffic(
        cluster,
        15.0,
        10.0,
        lambda: ("first",),
        1.0,
        lambda: ("first", "crashing", _rare_part(cluster)),
    )
    cut_off, *others = cluster.gateways
    cut_off.is_connected = False
    for gateway in others:
        cluster.stop_gateway(gateway)
        cluster.add_gateway()
        cluster.advance(1.0)
    cluster.advance(60.0)
    for gateway in cluster.gateways:
        assert cluster.send("first", "crashing", "y", gateway=gateway).is_refused
        assert not cluster.send("first", "y", gateway=gateway).is_refused


@pytest.mark.parametrize(("seed", "gateways", "endpoints"), CLUSTERS)
def test_lost_failure_domain_quarantines_no_part(seed: int, gateways: int, endpoints: int) -> None:
    """Common, rare and suddenly popular parts are served beside the loss and after it."""
    cluster = CrashCluster(seed, gateways, endpoints)

    def make_sound() -> tuple[str, ...]:
        is_hot = cluster.rng.random() < 0.2
        return ("first", "hot" if is_hot else _rare_part(cluster))

    scale = gateways / 4
    _run_traffic(cluster, 5.0, 30.0 * scale, lambda: ("first", _rare_part(cluster)))
    sound = _run_traffic(cluster, 2.0, 30.0 * scale, make_sound)
    for endpoint in [item for item in cluster.endpoints if item.failure_domain == "d-1"]:
        cluster.schedule(cluster.rng.uniform(0.0, 0.2), lambda lost=endpoint: cluster.crash(lost))
    sound += _run_traffic(cluster, 10.0, 30.0 * scale, make_sound)
    cluster.advance(5.0)
    assert len(cluster.endpoints) == endpoints
    assert _refused_prompts(sound) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_rolling_kill_quarantines_no_part(seed: int) -> None:
    """Endpoints that are killed one after the other say nothing about the requests on them."""
    cluster = CrashCluster(seed, gateways=4, endpoints=33)
    for number, endpoint in enumerate(list(cluster.endpoints)):
        cluster.schedule(5.0 + 0.3 * number, lambda lost=endpoint: cluster.crash(lost))
    sound = _run_traffic(cluster, 20.0, 20.0, lambda: ("first", _rare_part(cluster)))
    assert _refused_prompts(sound) == []


def test_identical_request_is_quarantined_without_prompt_parts() -> None:
    """Requests without parts are known by path, caller and body."""
    clock = ManualClock()
    tracker = CrashTracker(clock)
    for number in range(MAX_CRASHES):
        context = make_context("same", ())
        assert not tracker.is_quarantined(context)
        tracker.record_crash(context, make_record(f"e-{number}", 0))
        clock.advance(0.3)
    assert tracker.is_quarantined(make_context("same", ()))
    assert not tracker.is_quarantined(make_context("another", ()))


def test_endpoint_lost_under_many_requests_counts_once() -> None:
    """Requests with one part that share an endpoint see one crash, not several."""
    tracker = CrashTracker(ManualClock())
    for number in range(10):
        tracker.record_crash(make_context(f"q-{number}", ("part", "own")), make_record("e-1", 7))
    assert not tracker.is_quarantined(make_context("q", ("part", "own")))


def test_quarantined_part_is_tried_again_after_a_long_time() -> None:
    """An engine may have been mended; one more crash is enough to quarantine the part again."""
    clock = ManualClock()
    tracker = CrashTracker(clock)
    context = make_context("q", ("part", "own"))
    for number in range(MAX_CRASHES):
        tracker.record_crash(make_context(f"q-{number}", ("part", "own")), make_record("e", number))
        clock.advance(1.0)
    assert tracker.is_quarantined(context)
    clock.advance(QUARANTINE_S)
    assert not tracker.is_quarantined(context)
    tracker.record_crash(context, make_record("e", 99))
    assert tracker.is_quarantined(context)


def test_served_request_lifts_the_quarantine_of_its_parts() -> None:
    """A request that was on its way and ends well shows that the part is not the cause."""
    clock = ManualClock()
    tracker = CrashTracker(clock)
    context = make_context("q", ("part", "own"))
    for number in range(MAX_CRASHES):
        tracker.record_crash(make_context(f"q-{number}", ("part", "own")), make_record("e", number))
        clock.advance(1.0)
    assert tracker.is_quarantined(context)
    tracker.record_served(context)
    assert not tracker.is_quarantined(context)


def test_messages_and_memory_stay_bounded_at_78_gateways() -> None:
    """Thousands of crashes under ever new parts fit into small messages, sent at a bounded rate."""
    cluster = CrashCluster(1, gateways=78, endpoints=300)
    duration_s = 20
    for step in range(duration_s * 50):
        gateway = cluster.rng.choice(cluster.gateways)
        parts = tuple(f"part-{step}-{number}" for number in range(8))
        context = make_context(f"q-{step}", (*parts, "own"))
        gateway.tracker.record_crash(context, make_record(f"e-{step}", step))
        cluster.advance(0.02)
    assert cluster.largest_message <= 32 * 1024
    assert cluster.messages <= len(cluster.gateways) * duration_s * 11
    assert all(item.tracker.trait_count <= MAX_LEDGER_TRAITS for item in cluster.gateways)
