"""Other members' service while one member surges."""

from __future__ import annotations

from dataclasses import replace

from bench.measures._site import Site, SitePlan, async_site, member_id
from bench.measures._windows import first_token_p95_s, tokens_per_s
from bench.measures.const import (
    SHORT_TOKENS,
    SURGE_FACTOR,
    TARGET_FIRST_TOKEN_RATIO,
    TARGET_PORTION,
    WARM_UP_S,
)
from bench.measures.models import Better, FigureKey
from lagoonctl.load import LoadReport, Surge, async_run_load
from lagoonwing_fakes.deployment import HostPolicies

USUAL_SHARE = 0.6
# A small member, so that its surge alone passes what the others leave.
SURGING = 9

_PORTION = FigureKey(
    "crest", "others' tokens in the surge over those without", "1", Better.HIGHER, TARGET_PORTION
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
    """Run the same arrivals with and without the surge and compare the other members."""
    async with async_site(SitePlan(policies, seed, network)) as site:
        calm = await _async_run(site, duration_s, surge=False)
        surged = await _async_run(site, duration_s, surge=True)
    portion = _others_rate(surged, duration_s) / _others_rate(calm, duration_s)
    excluded = member_id(SURGING)
    calm_wait = first_token_p95_s(calm.results, WARM_UP_S, duration_s, excluded)
    surged_wait = first_token_p95_s(surged.results, WARM_UP_S, duration_s, excluded)
    return {_PORTION: portion, _FIRST_TOKEN: surged_wait / calm_wait}


async def _async_run(site: Site, duration_s: float, *, surge: bool) -> LoadReport:
    """Run the load once."""
    members = site.members(USUAL_SHARE, SHORT_TOKENS)
    if surge:
        wave = Surge(SURGE_FACTOR, WARM_UP_S, duration_s)
        members[SURGING] = replace(members[SURGING], surge=wave)
    return await async_run_load(site.load(members, duration_s, long_share=0.0))


def _others_rate(report: LoadReport, duration_s: float) -> float:
    """Return the tokens a second of all members but the surging one."""
    total = tokens_per_s(report.results, WARM_UP_S, duration_s)
    return total - tokens_per_s(report.results, WARM_UP_S, duration_s, member_id(SURGING))
