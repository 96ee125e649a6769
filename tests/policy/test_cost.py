"""Cost estimates, what they learn, and classes of work."""

from __future__ import annotations

import random

import pytest

from lagoonwing_core.ids import Fingerprint, MemberId, ModelId, RequestId, ServiceId
from lagoonwing_policy import CostSettings
from lagoonwing_policy.cost import CostClassifier, CostEstimator
from lagoonwing_policy.models import ModelWork, Priority, RequestProfile, ServiceWork


def _profile(
    member: str = "acme", prompt: int = 100, photos: int = 0, max_tokens: int = 1000
) -> RequestProfile:
    work = ModelWork(ModelId("m"), prompt, photos, max_tokens)
    return RequestProfile(
        RequestId("r"), MemberId(member), Fingerprint("f"), work, 0.0, 1.0, idempotent=True
    )


def test_prompt_photos_and_limit_raise_the_cost() -> None:
    """Each part of a request's shape counts."""
    estimator = CostEstimator(CostSettings())
    plain = estimator.estimate(_profile()).cost
    assert estimator.estimate(_profile(prompt=5000)).cost > plain
    assert estimator.estimate(_profile(photos=4)).cost > plain
    assert estimator.estimate(_profile(max_tokens=4000)).cost > plain


def test_history_replaces_the_first_guess() -> None:
    """After a few answers the member's own share of the limit is expected."""
    estimator = CostEstimator(CostSettings())
    rng = random.Random(1)
    for _ in range(40):
        estimator.learn(_profile(), tokens=rng.randrange(40, 60))
    assert estimator.estimate(_profile()).output_tokens == pytest.approx(50, rel=0.2)
    assert estimator.estimate(_profile(member="other")).output_tokens == 500


def test_history_follows_a_change_by_ten() -> None:
    """When answers become ten times longer the estimate is within a third after six of them."""
    estimator = CostEstimator(CostSettings())
    for _ in range(40):
        estimator.learn(_profile(), tokens=50)
    for _ in range(6):
        estimator.learn(_profile(), tokens=500)
    assert estimator.estimate(_profile()).output_tokens >= 500 * 2 / 3


def test_token_limits_of_other_magnitude_have_their_own_history() -> None:
    """Long notes do not spoil what is known of a member's short work."""
    estimator = CostEstimator(CostSettings())
    for _ in range(40):
        estimator.learn(_profile(max_tokens=100), tokens=10)
        estimator.learn(_profile(max_tokens=8000), tokens=8000)
    assert estimator.estimate(_profile(max_tokens=100)).output_tokens == pytest.approx(10)


def test_histories_are_bounded() -> None:
    """The least recently used histories are forgotten."""
    estimator = CostEstimator(CostSettings(max_histories=10))
    for number in range(100):
        estimator.learn(_profile(member=f"m{number}"), tokens=100)
    assert estimator.estimate(_profile(member="m0")).output_tokens == 500
    assert estimator.estimate(_profile(member="m99")).output_tokens == 100


def test_service_calls_have_a_fixed_cost() -> None:
    """A plain service's call generates no tokens."""
    profile = RequestProfile(
        RequestId("r"),
        MemberId("acme"),
        Fingerprint("f"),
        ServiceWork(ServiceId("s"), "POST", "/x"),
        0.0,
        1.0,
        idempotent=False,
    )
    estimate = CostEstimator(CostSettings()).estimate(profile)
    assert (estimate.cost, estimate.tokens) == (16.0, 0.0)


def test_classes_follow_the_median_and_not_the_outliers() -> None:
    """Work twenty times longer than the rest is long, and stays so at one in twenty."""
    classifier = CostClassifier(CostSettings())
    rng = random.Random(1)
    for _ in range(2000):
        base = rng.uniform(30.0, 60.0)
        classifier.observe(base * 20.0 if rng.random() < 0.05 else base)
    assert classifier.classify(45.0) is Priority.SHORT
    assert classifier.classify(150.0) is Priority.NORMAL
    assert classifier.classify(900.0) is Priority.LONG
