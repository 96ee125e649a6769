"""Endpoints that fail requests are suspected, on a manual clock and without a network."""

from __future__ import annotations

import random

import pytest

from lagoonwing_catalog.models import Accelerator, LayerRange
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import AcceleratorKind, EndpointId, FailureDomainId
from lagoonwing_gateway._last_holders import last_holders
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway.const import (
    FAILED_REQUEST_AVOIDANCE_S,
    FAILURE_BURST_S,
    MAX_SUSPICION_S,
    MIN_SUSPICION_S,
)
from lagoonwing_gateway.models import FailureEvidence, RequestFailure
from lagoonwing_placement import HolderGroup

ONE, TWO, THREE = EndpointId("e-1"), EndpointId("e-2"), EndpointId("e-3")
FAILURE = RequestFailure(ONE, "status 500", FailureEvidence.RESPONSE)
# Time between two requests to an endpoint in these tests.
INTERVAL_S = 0.5


def _fail(suspicions: SuspicionTracker, *, is_served_elsewhere: bool) -> None:
    """Let the first endpoint fail a request."""
    suspicions.record_failed_request(ONE, FAILURE.reason, FAILURE.evidence)
    if is_served_elsewhere:
        suspicions.record_served_elsewhere([FAILURE])


# Guards against an endpoint that is condemned for one response.
@pytest.mark.parametrize("is_served_elsewhere", [False, True])
def test_single_failure_is_no_suspicion(is_served_elsewhere: bool) -> None:
    """This gateway avoids the endpoint for a moment and tells no other one."""
    clock = ManualClock(100.0)
    suspicions = SuspicionTracker(clock)
    _fail(suspicions, is_served_elsewhere=is_served_elsewhere)
    assert suspicions.suspected() == ()
    assert not suspicions.is_usable(ONE)
    clock.advance(FAILED_REQUEST_AVOIDANCE_S + 0.01)
    assert suspicions.is_usable(ONE)


# Guards against streams that are given to an endpoint that fails everything.
@pytest.mark.parametrize(("is_served_elsewhere", "requests"), [(True, 2), (False, 3)])
def test_endpoint_that_fails_everything_is_suspected(
    is_served_elsewhere: bool, requests: int
) -> None:
    """After two requests that others served, or three, and again after one more request."""
    clock = ManualClock(100.0)
    suspicions = SuspicionTracker(clock)
    for number in range(requests):
        assert suspicions.suspected() == (), number
        clock.advance(INTERVAL_S)
        _fail(suspicions, is_served_elsewhere=is_served_elsewhere)
    assert suspicions.suspected() == (ONE,)
    clock.advance(MIN_SUSPICION_S + 0.01)
    assert suspicions.is_usable(ONE)
    _fail(suspicions, is_served_elsewhere=False)
    clock.advance(MIN_SUSPICION_S + 0.01)
    assert not suspicions.is_usable(ONE)


# Guards against successes that hide a share of failures, as with failures counted in a row.
def test_endpoint_that_fails_a_share_is_avoided_most_of_the_time() -> None:
    """An endpoint that fails 0.4 of its requests gets few of them; a sound one gets all."""
    rng = random.Random(1)
    clock = ManualClock(100.0)
    suspicions = SuspicionTracker(clock)
    used = dict.fromkeys((ONE, TWO), 0)
    for _ in range(400):
        clock.advance(0.2)
        for endpoint_id in used:
            if not suspicions.is_usable(endpoint_id):
                continue
            used[endpoint_id] += 1
            if endpoint_id == ONE and rng.random() < 0.4:
                _fail(suspicions, is_served_elsewhere=True)
            else:
                suspicions.record_progress([endpoint_id])
                suspicions.record_served([endpoint_id])
    assert used[TWO] == 400
    assert used[ONE] <= 100


# Guards against sound endpoints that are suspected because a few of their requests fail.
@pytest.mark.parametrize("interval_s", [0.05, 0.5])
def test_endpoint_that_fails_few_requests_is_not_suspected(interval_s: float) -> None:
    """One of twenty requests fails."""
    rng = random.Random(2)
    clock = ManualClock(100.0)
    suspicions = SuspicionTracker(clock)
    for _ in range(1_000):
        clock.advance(interval_s)
        if rng.random() < 0.05:
            _fail(suspicions, is_served_elsewhere=True)
        else:
            suspicions.record_served([ONE])
        assert suspicions.suspected() == ()


# Guards against sound endpoints that are suspected because another one on their paths crashed.
def test_failures_at_the_same_moment_count_as_one() -> None:
    """The crash of another endpoint ends many streams at once."""
    clock = ManualClock(100.0)
    suspicions = SuspicionTracker(clock)
    for _ in range(20):
        _fail(suspicions, is_served_elsewhere=True)
        clock.advance(FAILURE_BURST_S / 30)
    assert suspicions.suspected() == ()


# Guards against endpoints that stay suspected although they were only silent.
def test_progress_ends_a_suspicion_of_silence() -> None:
    """A mute endpoint is suspected; its next event clears it."""
    clock = ManualClock(100.0)
    suspicions = SuspicionTracker(clock)
    for _ in range(3):
        clock.advance(INTERVAL_S)
        suspicions.record_failed_request(ONE, "no response", FailureEvidence.SILENT)
    assert not suspicions.is_usable(ONE)
    suspicions.record_progress([ONE])
    assert suspicions.is_usable(ONE)
    suspicions.record_failed_request(ONE, "no response", FailureEvidence.SILENT)
    assert suspicions.suspected() == ()


# Guards against ever longer suspicions of an endpoint that recovers.
def test_suspicion_of_failures_is_bounded() -> None:
    """However often an endpoint fails, it is tried again after the maximum."""
    clock = ManualClock(100.0)
    suspicions = SuspicionTracker(clock)
    for _ in range(30):
        _fail(suspicions, is_served_elsewhere=True)
        clock.advance(MAX_SUSPICION_S + 0.01)
        assert suspicions.is_usable(ONE)


def _group(first: int, end: int, *endpoint_ids: EndpointId) -> HolderGroup:
    """Return a group of holders."""
    accelerator = Accelerator(AcceleratorKind("small"), 6.0, 1.0, 1.0)
    layers = LayerRange(first, end)
    return HolderGroup(FailureDomainId("d-1"), accelerator, layers, 8, 1_000.0, endpoint_ids)


# Guards against a layer that is given up because all of its holders are suspected.
def test_last_holders_of_a_layer_stay_usable() -> None:
    """Only where no usable endpoint holds the layer, and not if their use is forbidden."""
    groups = (_group(0, 4, ONE, TWO), _group(4, 8, THREE))
    everything = {ONE, TWO, THREE}
    assert last_holders(groups, {ONE, THREE}.__contains__, everything.__contains__) == frozenset()
    assert last_holders(groups, {THREE}.__contains__, everything.__contains__) == {ONE, TWO}
    assert last_holders(groups, {ONE}.__contains__, {ONE, TWO}.__contains__) == frozenset()
    overlapping = (*groups, _group(0, 6, EndpointId("e-4")))
    usable = {EndpointId("e-4"), THREE}
    assert last_holders(overlapping, usable.__contains__, everything.__contains__) == frozenset()
