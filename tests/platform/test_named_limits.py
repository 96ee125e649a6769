"""Endpoints that name a limit, with the real gateways, registry and catalog channel."""

from __future__ import annotations

from pathlib import Path

import pytest
from gateway_fleet import async_run_fleet
from limit_rule import STABLE_WINDOW_S
from limited_traffic import LimitedTraffic

GATEWAYS = [4, 26, 78]
SEED = 28
ENGINES = 6
RUN_S = 10.0
# Share of the named limits that must be used while requests are refused for want of it.
MIN_USED_SHARE = 0.7


@pytest.mark.parametrize("gateways", GATEWAYS)
async def test_all_gateways_together_keep_to_a_named_limit(tmp_path: Path, gateways: int) -> None:
    """Limited endpoints get no more than they named; the sound ones take the rest."""
    async with async_run_fleet(tmp_path / "log", SEED, gateways=gateways, engines=ENGINES) as fleet:
        traffic = LimitedTraffic(fleet, busy_per_s=40.0)
        limited, sound = fleet.engines[: ENGINES // 2], fleet.engines[ENGINES // 2 :]
        traffic.name_limits(limited, 1.0)
        await traffic.async_run(RUN_S)
        assert traffic.over_the_limit(limited, 1.0) == []
        assert traffic.busy.served_share == 1.0, traffic.busy.codes()
        assert traffic.arrivals(sound) > traffic.arrivals(limited)


@pytest.mark.parametrize("gateways", GATEWAYS)
@pytest.mark.parametrize("rate", [0.5, 4.0])
async def test_limits_of_all_endpoints_are_kept_and_used(
    tmp_path: Path, gateways: int, rate: float
) -> None:
    """If all endpoints are limited, they get what they named, and the rest is refused at once."""
    async with async_run_fleet(tmp_path / "log", SEED, gateways=gateways, engines=ENGINES) as fleet:
        total = ENGINES * rate
        traffic = LimitedTraffic(fleet, busy_per_s=2.0 * total, light_per_s=0.2 * total)
        traffic.name_limits(fleet.engines, rate)
        await traffic.async_run(RUN_S)
        assert traffic.over_the_limit(fleet.engines, rate) == []
        used_share = traffic.arrivals(fleet.engines) / (total * (RUN_S - STABLE_WINDOW_S))
        assert used_share >= MIN_USED_SHARE
        assert set(traffic.busy.codes() + traffic.light.codes()) == {200, 503}
        assert traffic.busy.held_too_long() == []


async def test_a_limit_ends_with_an_answer_without_it(tmp_path: Path) -> None:
    """Endpoints that name no limit any more get all requests again, from all gateways."""
    async with async_run_fleet(tmp_path / "log", SEED, gateways=4, engines=ENGINES) as fleet:
        traffic = LimitedTraffic(fleet, busy_per_s=40.0)
        traffic.name_limits(fleet.engines, 1.0)
        await traffic.async_run(RUN_S / 2)
        traffic.name_limits(fleet.engines, None)
        await traffic.async_run(STABLE_WINDOW_S)
        later = LimitedTraffic(fleet, busy_per_s=40.0)
        await later.async_run(STABLE_WINDOW_S)
        assert later.busy.served_share == 1.0, later.busy.codes()
