"""Budget, suspects, loads and crashes of a gateway on the paused clock."""

from __future__ import annotations

import random

import pytest

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import LayerRange
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_gateway._budget import RetryBudget
from lagoonwing_gateway._ledger import Ledger
from lagoonwing_gateway._suspects import Suspects
from lagoonwing_gateway.const import MAX_SUSPECT_S, PLAIN_FAILURES, SUSPECT_S
from lagoonwing_gateway.settings import RetryBudgetSettings
from lagoonwing_placement import Path, PathSegment, Work

BUDGET = RetryBudgetSettings(ratio=0.2, slack=40.0, window_s=10.0)
SERVICE = ServiceId("s-1")
ONE, TWO = EndpointId("e-1"), EndpointId("e-2")


@pytest.mark.parametrize("gateways", [1, 4, 35])
def test_gateways_together_keep_the_retry_budget(gateways: int) -> None:
    """However each is loaded, in no window do second sends pass the ratio and the slack."""
    rng = random.Random(gateways)
    clock = ManualClock()
    budgets = [RetryBudget(BUDGET, clock) for _ in range(gateways)]
    sends: list[tuple[float, bool]] = []
    for _ in range(4_000):
        clock.advance(rng.random() * 0.02)
        budget = rng.choice(budgets[: 1 + rng.randrange(gateways)])
        if rng.random() < 0.4:
            budget.first_sent(SERVICE)
            sends.append((clock.now(), True))
        elif budget.take(SERVICE, gateways):
            sends.append((clock.now(), False))
    for now, _ in sends[::20]:
        window = [first for at, first in sends if now - BUDGET.window_s < at <= now]
        assert window.count(False) <= BUDGET.ratio * window.count(True) + BUDGET.slack


def test_suspicion_grows_and_ends() -> None:
    """Each failure after a suspicion has ended doubles it, up to a bound."""
    clock = ManualClock()
    suspects = Suspects(clock)
    lengths = []
    for _ in range(5):
        suspects.failed(ONE, "refused")
        began = clock.now()
        while not suspects.is_usable(ONE):
            clock.advance(0.25)
        lengths.append(clock.now() - began)
    assert lengths[:3] == [SUSPECT_S, 2 * SUSPECT_S, 4 * SUSPECT_S]
    assert max(lengths) <= MAX_SUSPECT_S
    assert suspects.is_usable(TWO)


def test_single_failures_of_a_plain_endpoint_are_forgiven() -> None:
    """Only failures in a row count; an answer between them clears them."""
    clock = ManualClock()
    suspects = Suspects(clock)
    for _ in range(PLAIN_FAILURES - 1):
        suspects.failed_softly(ONE, "status 500")
    suspects.progressed([ONE])
    for _ in range(PLAIN_FAILURES - 1):
        suspects.failed_softly(ONE, "status 500")
    assert suspects.is_usable(ONE)
    suspects.failed_softly(ONE, "status 500")
    assert not suspects.is_usable(ONE)


def test_only_endpoints_without_progress_count_as_stalled() -> None:
    """Progress of another stream clears an endpoint that shares a silent path."""
    clock = ManualClock(10.0)
    suspects = Suspects(clock)
    suspects.progressed([ONE])
    assert suspects.stalled([ONE, TWO], 9.0) == (TWO,)


def test_what_is_reserved_is_freed_to_the_last_token() -> None:
    """After every request has ended nothing is left, whether its prompt was read or not."""
    ledger = Ledger()
    path = Path((PathSegment(ONE, LayerRange(0, 4)), PathSegment(TWO, LayerRange(4, 8))), 1.0, 1.0)
    read = {ONE: 3.0, TWO: 5.0}
    first = ledger.reserve(path, Work(100, 20), dict(read))
    second = ledger.reserve(path, Work(50, 10), dict(read))
    assert ledger.own_loads()[ONE] == EndpointLoad(2, (120 + 60) * 4, 6)
    ledger.prompt_read(first)
    assert ledger.own_loads()[TWO].prefill_ms == 5
    others = {ONE: EndpointLoad(1, 40, 2)}
    assert ledger.loads(others)[ONE] == EndpointLoad(3, 760, 5)
    ledger.release(first)
    ledger.release(second)
    assert ledger.own_loads() == {}
    assert ledger.loads(others) == others
