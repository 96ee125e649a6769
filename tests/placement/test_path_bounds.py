"""Bounds of paths: load fills a path, slowness without load only makes it the last choice."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import Accelerator, Engine, LayerRange
from lagoonwing_core.ids import AcceleratorKind, EndpointId, FailureDomainId
from lagoonwing_placement import (
    Holder,
    HolderGroup,
    Path,
    PathBounds,
    PathFinder,
    RequestSize,
    group_holders,
)

DOMAIN = FailureDomainId("a")
SIZE = RequestSize(400, 100)
ACCELERATOR = Accelerator(AcceleratorKind("k"), 80_000.0, 1.0, 1.0)
# An idle path has pauses of 63 ms and a first token after 40 ms.
ENGINE = Engine(
    slots=64,
    kv_bytes_per_token=100_000,
    layer_count=8,
    layer_mb=1_000.0,
    step_ms=20.0,
    per_sequence_ms=1.0,
    context_ms_per_k=0.0,
    prefill_tokens_per_s=10_000.0,
    activation_bytes=0,
    link_mbps=0.0,
    steps_per_pass=3,
    load_s=1.0,
    loads_at_once=1,
    mean_prompt_tokens=400,
    mean_output_tokens=100,
    model_ids=(),
    accelerators=(ACCELERATOR,),
)
BOUNDS = PathBounds(500.0, 200.0)
FIRST = (EndpointId("first-0"), EndpointId("first-1"))
LAST = (EndpointId("last-0"), EndpointId("last-1"))


def _groups() -> tuple[HolderGroup, ...]:
    """Return two holders of each half of the layers."""
    halves = ((FIRST, LayerRange(0, 4)), (LAST, LayerRange(4, 8)))
    return group_holders(
        ENGINE,
        [
            Holder(endpoint_id, DOMAIN, ACCELERATOR, layers, ENGINE.slots)
            for ids, layers in halves
            for endpoint_id in ids
        ],
    )


def _find(
    loads: dict[EndpointId, EndpointLoad],
    slowdown_by_id: dict[EndpointId, float],
    bounds: PathBounds | None = BOUNDS,
    size: RequestSize = SIZE,
) -> Path | None:
    """Return the best path."""
    finder = PathFinder(
        ENGINE, loads, random.Random(1), DOMAIN, slowdown_by_id=slowdown_by_id, bounds=bounds
    )
    return finder.find(_groups(), size)


def _ids(path: Path | None) -> set[EndpointId]:
    """Return the endpoints of a path."""
    assert path is not None
    return {segment.endpoint_id for segment in path.segments}


def test_pause_of_an_idle_path() -> None:
    """The pause is the sum of the passes over the path, so that bounds mean what callers see."""
    path = _find({}, {})
    assert path is not None
    assert path.pause_ms == pytest.approx(3 * 21.0)


def test_load_that_lengthens_pauses_over_the_bound_fills_a_path() -> None:
    """Overload of all endpoints: another stream would make the pauses of all too long."""
    loads = {endpoint_id: EndpointLoad(50, 1_000, 0) for endpoint_id in (*FIRST, *LAST)}
    assert _find(loads, {}) is None
    assert _find(loads, {}, bounds=None) is not None


def test_queued_prefill_over_the_bound_fills_a_path() -> None:
    """Overload by prompts: a further request would get its first token too late."""
    loads = {endpoint_id: EndpointLoad(2, 1_000, 600) for endpoint_id in (*FIRST, *LAST)}
    assert _find(loads, {}) is None


def test_loaded_endpoints_are_avoided_while_others_are_within_the_bounds() -> None:
    """Overload of one endpoint of each half: the other ones are used."""
    loads = {endpoint_id: EndpointLoad(50, 1_000, 0) for endpoint_id in (FIRST[0], LAST[0])}
    assert _ids(_find(loads, {})) == {FIRST[1], LAST[1]}


def test_sound_loaded_endpoint_goes_before_a_slow_idle_one() -> None:
    """A slow endpoint beside a loaded sound one: the path within the bounds is used."""
    loads = {FIRST[1]: EndpointLoad(30, 1_000, 0)}
    assert FIRST[1] in _ids(_find(loads, {FIRST[0]: 8.0}))


def test_slow_idle_endpoints_are_used_when_nothing_else_is_left() -> None:
    """All endpoints slow without load: late is better than none, so the path isn't full."""
    slow = dict.fromkeys((*FIRST, *LAST), 8.0)
    path = _find({}, slow)
    assert path is not None
    assert path.pause_ms > BOUNDS.pause_ms


def test_slow_idle_endpoint_is_used_where_the_sound_one_is_full() -> None:
    """A sound endpoint that load has filled, beside a slow idle one: nothing is refused."""
    loads = {FIRST[1]: EndpointLoad(60, 1_000, 450)}
    assert FIRST[0] in _ids(_find(loads, {FIRST[0]: 8.0}))


def test_load_on_a_slow_endpoint_is_bounded() -> None:
    """Streams don't pile up on slow endpoints either: load may double their time at most."""
    slow = dict.fromkeys((*FIRST, *LAST), 8.0)
    loads = {endpoint_id: EndpointLoad(60, 1_000, 0) for endpoint_id in (*FIRST, *LAST)}
    assert _find(loads, slow) is None


def test_large_prompt_on_an_idle_path_is_not_refused() -> None:
    """The largest requests exceed the bound on any path, and are late rather than refused."""
    assert _find({}, {}, size=RequestSize(8_000, 100)) is not None


def test_idle_endpoint_beside_a_full_one_is_not_refused() -> None:
    """A full fast endpoint whose times sum up to less hid an idle one of an older accelerator."""
    # Without load, its pauses are 158 ms and its first token takes 560 ms.
    old = Accelerator(AcceleratorKind("old"), 80_000.0, 2.5, 14.0)
    engine = msgspec.structs.replace(ENGINE, accelerators=(ACCELERATOR, old))
    all_layers = LayerRange(0, 8)
    groups = group_holders(
        engine,
        [
            Holder(FIRST[0], DOMAIN, ACCELERATOR, all_layers, engine.slots),
            Holder(FIRST[1], DOMAIN, old, all_layers, engine.slots),
        ],
    )
    loads = {FIRST[0]: EndpointLoad(51, 1_000, 0)}
    path = PathFinder(engine, loads, random.Random(1), DOMAIN, bounds=BOUNDS).find(groups, SIZE)
    assert _ids(path) == {FIRST[1]}


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    sequences=st.lists(st.integers(0, 70), min_size=4, max_size=4),
    slowdowns=st.lists(st.floats(1.0, 12.0), min_size=4, max_size=4),
)
def test_no_path_is_lifted_over_the_bound_by_load(
    sequences: list[int], slowdowns: list[float]
) -> None:
    """Whatever the load: a path over the pause bound is one that would be without load, too."""
    ids = (*FIRST, *LAST)
    loads = {
        endpoint_id: EndpointLoad(count, 0, 0)
        for endpoint_id, count in zip(ids, sequences, strict=True)
    }
    slowdown_by_id = dict(zip(ids, slowdowns, strict=True))
    path = _find(loads, slowdown_by_id)
    if path is None:
        assert any(sequences)
        return
    idle_ms = sum(3 * 21.0 / 2 * slowdown_by_id[endpoint_id] for endpoint_id in _ids(path))
    assert path.pause_ms <= BOUNDS.pause_ms or idle_ms > BOUNDS.pause_ms


@pytest.mark.parametrize(
    ("hint", "reserved"),
    [(100, 400 + 150), (900, 400 + 1_000), (None, 400 + 1_000), (2_000, 400 + 1_000), (-1, 1_400)],
)
def test_reservation_covers_hints_that_are_too_low(hint: int | None, reserved: int) -> None:
    """A hint is off by half as often as not; the output limit is the most that is reserved."""
    assert RequestSize.from_hint(400, 1_000, hint).tokens == reserved


def test_large_requests_beside_small_ones_stay_within_the_memory() -> None:
    """Requests that outgrow their hint by half never pass the memory, however sizes are mixed."""
    rng = random.Random(7)
    groups = _groups()
    loads: dict[EndpointId, EndpointLoad] = {}
    used = dict.fromkeys((*FIRST, *LAST), 0.0)
    refused = 0
    while refused < 20:
        hint = rng.choice((50, 200, 8_000))
        size = RequestSize.from_hint(rng.choice((100, 2_000, 30_000)), 20_000, hint)
        path = PathFinder(ENGINE, loads, rng, DOMAIN).find(groups, size)
        if path is None:
            refused += 1
            continue
        for segment in path.segments:
            load = loads.get(segment.endpoint_id, EndpointLoad(0, 0, 0))
            count = segment.layers.count
            loads[segment.endpoint_id] = EndpointLoad(
                load.sequences + 1, load.kv_token_layers + size.tokens * count, 0
            )
            used[segment.endpoint_id] += (size.prompt_tokens + hint * 1.5) * count
    capacity = groups[0].kv_token_layers
    assert max(used.values()) <= capacity
    assert max(used.values()) >= 0.5 * capacity
