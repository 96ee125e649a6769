"""Choices by many gateways from one old report, and by one gateway alone."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from bench.balance_bench import (
    Policy,
    Scenario,
    Shape,
    Simulation,
    filled_level,
    least_loaded,
    power_of_two,
)
from lagoonwing_gateway._even_load import KnownLoads, draw_loads, fill_level, unreported_work


def make_loads(shared: list[float], own: list[float] | None = None) -> KnownLoads:
    """Return the loads of endpoints of equal capacity."""
    return KnownLoads(shared, own or [0.0] * len(shared), [1.0] * len(shared))


def choices(loads: KnownLoads, gateways: int, work: float) -> Counter[int]:
    """Return how many gateways choose each endpoint, one request each."""
    chosen: Counter[int] = Counter()
    for seed in range(gateways):
        drawn = draw_loads(loads, work, 1.0, random.Random(seed))
        chosen[drawn.index(min(drawn))] += 1
    return chosen


def test_one_request_of_each_gateway_between_two_reports_evens_the_load() -> None:
    """300 gateways with one request each must not all choose the least loaded endpoint."""
    shared = [float(number % 6) for number in range(30)]
    chosen = choices(make_loads(shared), 300, 300.0)
    after = [load + chosen[number] for number, load in enumerate(shared)]
    # Random choices of 12.5 on average: three standard deviations.
    assert max(after) <= 12.5 + 3 * 12.5**0.5
    # The emptier ones get more, so the load is more even than with a blind choice.
    empty, full = (sum(chosen[number] for number in range(start, 30, 6)) for start in (0, 5))
    assert empty > 1.2 * full


def test_endpoint_that_returns_empty_does_not_get_everything() -> None:
    """100 gateways see one empty endpoint among loaded ones; its share is what fills it."""
    loads = make_loads([0.0, *[10.0] * 29])
    assert fill_level(loads, 100.0) == 13.0
    # Ten times as many choices, so that chance moves the result little.
    assert choices(loads, 1_000, 100.0)[0] == pytest.approx(130, abs=30)


def test_full_endpoint_gets_nothing_while_others_are_filled() -> None:
    """An endpoint above the level is left out by all of 200 gateways."""
    chosen = choices(make_loads([100.0, *[0.0] * 9]), 200, 200.0)
    assert chosen[0] == 0
    assert min(chosen[number] for number in range(1, 10)) >= 8


def test_faster_endpoints_get_more() -> None:
    """Endpoints of three times the capacity get about three times the requests of 400 gateways."""
    loads = KnownLoads([0.0] * 20, [0.0] * 20, [1.0, 3.0] * 10)
    chosen = choices(loads, 400, 400.0)
    fast = sum(chosen[number] for number in range(1, 20, 2))
    assert 0.65 <= fast / 400 <= 0.85


def test_requests_of_one_gateway_between_two_reports_take_turns() -> None:
    """A burst of one gateway must not meet at one endpoint while others get none."""
    rng = random.Random(1)
    own = [0.0] * 12
    for _ in range(24):
        drawn = draw_loads(make_loads([0.0] * 12, own), 500.0, 1.0, rng)
        own[drawn.index(min(drawn))] += 1.0
    assert max(own) <= 3.0
    assert min(own) >= 1.0


@example(known=[(0.0, 0.0, 1.0)], work=2.225073858507e-311, seed=0)
@given(
    st.lists(
        st.tuples(st.floats(0.0, 50.0), st.floats(0.0, 50.0), st.floats(0.5, 10.0)), min_size=1
    ),
    st.floats(0.0, 1_000.0),
    st.integers(),
)
def test_drawn_loads_lie_between_lowest_load_and_level(
    known: list[tuple[float, float, float]], work: float, seed: int
) -> None:
    """Work is poured up to the level only, and endpoints above it keep their known load."""
    loads = KnownLoads(*(list(column) for column in zip(*known, strict=True)))
    drawn = draw_loads(loads, work, 1.0, random.Random(seed))
    level = fill_level(loads, work)
    for (shared, own, _), load in zip(known, drawn, strict=True):
        if shared >= level:
            assert load == shared + own
        else:
            assert min(loads.shared) + own - 1e-6 <= load <= level + own + 1e-6


@given(st.lists(st.tuples(st.floats(0.0, 50.0), st.floats(0.0, 50.0)), min_size=1))
def test_one_gateway_alone_chooses_the_least_loaded(known: list[tuple[float, float]]) -> None:
    """Without other gateways nothing is drawn: one gateway behaves as least loaded."""
    work = unreported_work(0.0, 0.35, 1_000.0, 1)
    shared, own = [load for load, _ in known], [load for _, load in known]
    drawn = draw_loads(make_loads(shared, own), work, 1.0, random.Random(1))
    assert drawn == [sum(load) for load in known]


def test_reported_rate_explains_own_starts() -> None:
    """One request of a gateway among 106 isn't taken for one of each in steady load."""
    assert unreported_work(1_060.0, 0.4, 4.0, 106) == pytest.approx(424.0)
    assert unreported_work(1_060.0, 0.4, 0.0, 106) == pytest.approx(424.0)


def test_burst_counts_before_any_report_tells_of_it() -> None:
    """After a crash, own starts above the reported rate show what the others do."""
    assert unreported_work(100.0, 0.4, 6.0, 35) == pytest.approx(40.0 + 0.5 * (6 * 34 - 40))
    # Gateways of the previous version report no rate.
    assert unreported_work(0.0, 0.4, 6.0, 35) == pytest.approx(102.0)


def lost_ms(policy: Policy, scenario: Scenario) -> float:
    """Return the mean time lost per request over three seeds."""
    return sum(Simulation(scenario, policy, seed).run().row()[2] for seed in (1, 2, 3)) / 3


@pytest.mark.parametrize("shape", [Shape.WAVE, Shape.LOSS])
def test_less_time_is_lost_than_with_the_former_choice(shape: Shape) -> None:
    """A wave, and a loss of a quarter: 26 gateways on reports 0.8 s old must not herd."""
    scenario = Scenario(26, 33, 0.8, shape)
    lost = lost_ms(filled_level, scenario)
    assert lost < 0.5 * lost_ms(least_loaded, scenario)
    assert lost < 1.1 * lost_ms(power_of_two, scenario)
