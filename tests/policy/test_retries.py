"""Retries: idempotency, deadline, jitter and budget."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from bench.domain_loss import DomainLoss, run_domain_loss
from bench.stage_engines import make_profile
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import Attempt, EndpointId, Incarnation
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy._protocols import GiveUp, RetryAt
from lagoonwing_policy.models import AttemptFailed, Dispatch, RouteStage
from lagoonwing_policy.retries import BudgetedRetries, RetrySystem

LOST = Refusal(ResultCode.ENDPOINT_LOST, "connection reset")
FAILED = AttemptFailed(
    RouteStage(EndpointId("e"), Incarnation(1)), Dispatch.NO_BYTE_SENT, True, False, 0, LOST
)
# Bound of the load on the remaining endpoints after a loss, relative to the load before.
MAX_LOAD_FACTOR = 2.0


def _system(**options: float) -> RetrySystem:
    return RetrySystem(BudgetedRetries(**options), random.Random(1))


@pytest.mark.parametrize("dispatch", list(Dispatch))
@pytest.mark.parametrize("idempotent", [True, False])
def test_only_what_cannot_repeat_an_effect_is_retried(dispatch: Dispatch, idempotent: bool) -> None:
    """Work that isn't idempotent is never retried once it may have run."""
    profile = replace(make_profile(0, 10), idempotent=idempotent)
    decision = _system().decide(profile, Attempt(1), replace(FAILED, dispatch=dispatch), 0.0)
    may_repeat = idempotent or dispatch is not Dispatch.MAY_HAVE_RUN
    assert isinstance(decision, RetryAt) is may_repeat
    if not may_repeat:
        assert decision == GiveUp(LOST)


def test_partial_answer_is_retried_only_if_resumable() -> None:
    """A caller never receives the beginning of an answer twice."""
    partial = replace(FAILED, bytes_reached_caller=True)
    system = _system()
    assert system.decide(make_profile(0, 10), Attempt(1), partial, 0.0) == GiveUp(LOST)
    resumable = replace(partial, resumable_tokens=3)
    assert isinstance(system.decide(make_profile(0, 10), Attempt(1), resumable, 0.0), RetryAt)


def test_retries_respect_deadline_and_retry_after() -> None:
    """The endpoint's retry-after time delays the retry, and there is none past the deadline."""
    system = _system()
    busy = replace(FAILED, retry_after=3.0)
    for number in range(5):
        profile = replace(make_profile(number, 10), deadline=20.0)
        retry = system.decide(profile, Attempt(1), busy, 10.0)
        assert isinstance(retry, RetryAt)
        assert 13.0 <= retry.time < 20.0
    short = replace(make_profile(9, 10), deadline=12.9)
    assert system.decide(short, Attempt(1), busy, 10.0) == GiveUp(LOST)


def test_full_jitter_spreads_retries_over_a_growing_interval() -> None:
    """Delays are spread between 0 and a bound that doubles with each attempt."""
    policy = BudgetedRetries(min_burst=1e6, backoff_base_s=0.1, backoff_max_s=0.4, max_attempts=9)
    system = RetrySystem(policy, random.Random(1))
    for attempt, longest in ((1, 0.1), (2, 0.2), (3, 0.4), (4, 0.4)):
        times = [
            system.decide(make_profile(0, 10), Attempt(attempt), FAILED, 0.0).time
            for _ in range(400)
        ]
        assert min(times) < longest * 0.1
        assert longest * 0.9 < max(times) <= longest


def test_attempts_are_bounded() -> None:
    """After the last attempt its failure is the answer."""
    policy = BudgetedRetries()
    system = RetrySystem(policy, random.Random(1))
    last = Attempt(policy.max_attempts)
    assert system.decide(make_profile(0, 10), last, FAILED, 0.0) == GiveUp(LOST)


def test_budget_limits_retries_to_a_share_of_first_attempts() -> None:
    """Beyond the burst, retries are limited to a share of first attempts."""
    policy = BudgetedRetries()
    system = RetrySystem(policy, random.Random(1))
    retried = 0
    first_tries = 20_000
    for number in range(first_tries):
        now = number / 1000
        system.on_first_attempt(now)
        decision = system.decide(make_profile(number, 10), Attempt(1), FAILED, now)
        retried += isinstance(decision, RetryAt)
    in_window = policy.burst_window_s * 1000
    assert retried <= policy.budget_share * first_tries + policy.burst_share * in_window
    assert retried >= policy.budget_share * first_tries * 0.9


def test_exhausted_budget_reports_not_run_only_if_true() -> None:
    """A refusal as not run is returned only if the attempt can't have run."""
    system = _system(min_burst=0.0)
    refused = system.decide(make_profile(0, 10), Attempt(1), FAILED, 0.0)
    assert refused.refusal.code is ResultCode.RETRY_BUDGET_SPENT
    ran = replace(FAILED, dispatch=Dispatch.MAY_HAVE_RUN)
    assert system.decide(make_profile(0, 10), Attempt(1), ran, 0.0) == GiveUp(LOST)


def test_retries_are_allowed_without_traffic() -> None:
    """Failures at a low request rate are retried."""
    system = _system()
    decisions = [
        system.decide(make_profile(n, 10), Attempt(1), FAILED, 1000.0 * n) for n in range(5)
    ]
    assert all(isinstance(decision, RetryAt) for decision in decisions)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_loss_of_a_domain_does_not_double_the_load_on_the_rest(seed: int) -> None:
    """Attempts per second on the remaining endpoints stay below twice the previous rate."""
    result = run_domain_loss(DomainLoss(seed=seed))
    assert result.attempts_on_rest_after < MAX_LOAD_FACTOR * result.attempts_on_rest_before
    assert result.retries < result.first_tries
    assert result.refused == 0
