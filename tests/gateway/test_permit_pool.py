"""Validity of permits on hand, by the limit of their endpoint."""

from __future__ import annotations

import pytest
from limit_rule import SPAN_S, allowed_in_a_span
from simulated_time import SimulatedTime

from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_gateway._permit_pool import PermitPool
from lagoonwing_gateway.const import CUT_OFF_SHARE, MAX_PERMIT_TTL_S
from lagoonwing_registry.const import ISSUED_SHARE, MIN_PERMIT_RATE, PERMIT_BURST_S

ENDPOINT = EndpointId("e-1")
STEP_S = 0.01


def _valid_s(rate: float | None) -> float:
    """Return how long a permit is valid under a limit."""
    time = SimulatedTime(start=100.0)
    pool = PermitPool(ServiceId("s"), time.clock)
    pool.add(ENDPOINT, None, rate)
    while pool.permits(ENDPOINT):
        time.advance(STEP_S)
    return time.clock.now() - 100.0


# Guards against permits of slow limits that expire before their gateway gets a request.
@pytest.mark.parametrize(("rate", "valid_s"), [(40.0, 1.5), (1.0, 4.0), (0.5, 8.0), (0.0, 10.0)])
def test_permits_of_lower_limits_are_valid_longer(rate: float, valid_s: float) -> None:
    """A gateway with few requests can use them."""
    assert _valid_s(rate) == pytest.approx(valid_s, abs=2 * STEP_S)


# Guards against unused permits that together pass the limit once all of them are used.
@pytest.mark.parametrize("rate", [0.0, 0.1, 0.2, 0.4, 1.0, 2.0, 2.5])
def test_all_valid_permits_of_a_slow_limit_keep_to_the_rule(rate: float) -> None:
    """Even if all are used at once, the leader goes on and all gateways are cut off."""
    issued_rate = max(MIN_PERMIT_RATE, ISSUED_SHARE * rate)
    valid_permits = issued_rate * _valid_s(rate)
    saved_permits = max(1.0, issued_rate * PERMIT_BURST_S)
    later_permits = (issued_rate + CUT_OFF_SHARE * rate) * SPAN_S
    assert valid_permits + saved_permits + later_permits <= allowed_in_a_span(rate)


def test_a_permit_whose_limit_has_ended_is_valid_for_a_short_time() -> None:
    """It is needed no more."""
    assert _valid_s(None) < MAX_PERMIT_TTL_S / 2
