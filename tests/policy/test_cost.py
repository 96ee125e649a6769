"""Cost estimates, their history, and cost classes."""

from __future__ import annotations

import random

import pytest

from lagoonwing_core.ids import Fingerprint, MemberId, ModelId, RequestId, ServiceId
from lagoonwing_policy import CostSettings
from lagoonwing_policy.cost import CostClassifier, CostEstimator
from lagoonwing_policy.models import ModelWork, Priority, RequestProfile, ServiceWork


def _profile(
    member: str = "acme", prompt: int = 100, images: int = 0, max_tokens: int = 1000
) -> RequestProfile:
    work = ModelWork(ModelId("m"), prompt, images, max_tokens)
    return RequestProfile(
        RequestId("r"), MemberId(member), Fingerprint("f"), work, 0.0, 1.0, idempotent=True
    )


def test_prompt_images_and_limit_raise_the_cost() -> None:
    """Prompt, images and token limit each increase the cost."""
    estimator = CostEstimator(CostSettings())
    plain = estimator.estimate(_profile()).cost
    assert estimator.estimate(_profile(prompt=5000)).cost > plain
    assert estimator.estimate(_profile(images=4)).cost > plain
    assert estimator.estimate(_profile(max_tokens=4000)).cost > plain


def test_history_replaces_the_initial_estimate() -> None:
    """After some requests, the member's average share of the limit is expected."""
    estimator = CostEstimator(CostSettings())
    rng = random.Random(1)
    for _ in range(40):
        estimator.learn(_profile(), tokens=rng.randrange(40, 60))
    assert estimator.estimate(_profile()).output_tokens == pytest.approx(50, rel=0.2)
    assert estimator.estimate(_profile(member="other")).output_tokens == 500


def test_history_follows_a_change_by_ten() -> None:
    """When answers become ten times longer, six of them bring the estimate within a third."""
    estimator = CostEstimator(CostSettings())
    for _ in range(40):
        estimator.learn(_profile(), tokens=50)
    for _ in range(6):
        estimator.learn(_profile(), tokens=500)
    assert estimator.estimate(_profile()).output_tokens >= 500 * 2 / 3


def test_token_limits_of_different_magnitude_have_separate_histories() -> None:
    """Requests with large token limits do not affect the history of small ones."""
    estimator = CostEstimator(CostSettings())
    for _ in range(40):
        estimator.learn(_profile(max_tokens=100), tokens=10)
        estimator.learn(_profile(max_tokens=8000), tokens=8000)
    assert estimator.estimate(_profile(max_tokens=100)).output_tokens == pytest.approx(10)


def test_histories_are_bounded() -> None:
    """The least recently used histories are evicted."""
    estimator = CostEstimator(CostSettings(max_histories=10))
    for number in range(100):
        estimator.learn(_profile(member=f"m{number}"), tokens=100)
    assert estimator.estimate(_profile(member="m0")).output_tokens == 500
    assert estimator.estimate(_profile(member="m99")).output_tokens == 100


def test_service_calls_have_a_fixed_cost() -> None:
    """A service call generates no tokens."""
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


def test_classes_follow_the_median_despite_outliers() -> None:
    """Work 20 times longer than the rest is long, even if it is 5 % of all requests."""
    classifier = CostClassifier(CostSettings())
    rng = random.Random(1)
    for _ in range(2000):
        base = rng.uniform(30.0, 60.0)
        classifier.observe(base * 20.0 if rng.random() < 0.05 else base)
    assert classifier.classify(45.0) is Priority.SHORT
    assert classifier.classify(150.0) is Priority.NORMAL
    assert classifier.classify(900.0) is Priority.LONG
