"""Benchmark of the other members' service while one member surges."""

from __future__ import annotations

from dataclasses import replace

from bench.measures._site import Site, SitePlan, async_site, member_id
from bench.measures._windows import first_token_p95_s, tokens_per_s
from bench.measures.const import (
    SHORT_TOKENS,
    SURGE_FACTOR,
    TARGET_FIRST_TOKEN_RATIO,
    TARGET_THROUGHPUT_RATIO,
    WARM_UP_S,
)
from bench.measures.models import Better, FigureKey
from lagoonctl.load import LoadReport, Surge, async_run_load
from lagoonwing_fakes.deployment import HostPolicies

LOAD_SHARE = 0.6
# A small member whose surge alone exceeds the capacity left by the others.
SURGING = 9

_THROUGHPUT_RATIO = FigureKey(
    "crest",
    "others' tokens in the surge over those without",
    "1",
    Better.HIGHER,
    TARGET_THROUGHPUT_RATIO,
)
_FIRST_TOKEN = FigureKey(
    "crest",
    "others' p95 first token in the surge over that without",
    "1",
    Better.LOWER,
    TARGET_FIRST_TOKEN_RATIO,
)


async def async_measure(
    policies: HostPolicies, seed: int, duration_s: float, network: str
) -> dict[FigureKey, float]:
    """Compare the other members' service with and without the surge."""
    async with async_site(SitePlan(policies, seed, network)) as site:
        without_surge = await _async_run(site, duration_s, surge=False)
        with_surge = await _async_run(site, duration_s, surge=True)
    throughput_ratio = _other_members_rate(with_surge, duration_s) / _other_members_rate(
        without_surge, duration_s
    )
    excluded = member_id(SURGING)
    wait_without_surge = first_token_p95_s(without_surge.results, WARM_UP_S, duration_s, excluded)
    wait_with_surge = first_token_p95_s(with_surge.results, WARM_UP_S, duration_s, excluded)
    return {_THROUGHPUT_RATIO: throughput_ratio, _FIRST_TOKEN: wait_with_surge / wait_without_surge}


async def _async_run(site: Site, duration_s: float, *, surge: bool) -> LoadReport:
    """Run the load, with or without the surge."""
    members = site.members(LOAD_SHARE, SHORT_TOKENS)
    if surge:
        surge_plan = Surge(SURGE_FACTOR, WARM_UP_S, duration_s)
        members[SURGING] = replace(members[SURGING], surge=surge_plan)
    return await async_run_load(site.load(members, duration_s, long_share=0.0))


def _other_members_rate(report: LoadReport, duration_s: float) -> float:
    """Return the token rate of all members except the surging one."""
    total = tokens_per_s(report.results, WARM_UP_S, duration_s)
    return total - tokens_per_s(report.results, WARM_UP_S, duration_s, member_id(SURGING))
