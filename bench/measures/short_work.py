"""Benchmark of the waiting time of short requests behind long ones."""

from __future__ import annotations

import numpy as np

from bench.measures._site import Site, SitePlan, async_site
from bench.measures.const import (
    LONG_FACTOR,
    LONG_SHARE,
    SHORT_TOKENS,
    TARGET_SHORT_WAIT_RATIO,
    WARM_UP_S,
)
from bench.measures.models import Better, FigureKey
from lagoonctl.load import LoadReport, async_run_load
from lagoonwing_core.result_codes import Outcome
from lagoonwing_fakes.deployment import HostPolicies

LOAD_SHARE = 0.7

_WAIT = FigureKey(
    "short work",
    "p95 wait with 5% long work over that with none, same tokens offered",
    "1",
    Better.LOWER,
    TARGET_SHORT_WAIT_RATIO,
)
_LONG_DONE = FigureKey("short work", "long requests done", "share", Better.HIGHER, 0.95)


async def async_measure(
    policies: HostPolicies, seed: int, duration_s: float, network: str
) -> dict[FigureKey, float]:
    """Compare the wait of short requests with and without long ones at the same load."""
    async with async_site(SitePlan(policies, seed, network)) as site:
        alone = await _async_run(site, duration_s, 0.0)
        mixed = await _async_run(site, duration_s, LONG_SHARE)
    return {_WAIT: _wait_p95(mixed) / _wait_p95(alone), _LONG_DONE: _long_done(mixed)}


async def _async_run(site: Site, duration_s: float, long_share: float) -> LoadReport:
    """Run the load with a share of long requests."""
    mean_tokens = SHORT_TOKENS * (1.0 - long_share + long_share * LONG_FACTOR)
    members = site.members(LOAD_SHARE, mean_tokens)
    return await async_run_load(site.load(members, duration_s, long_share))


def _wait_p95(report: LoadReport) -> float:
    """Return the p95 time to first token of short requests; a missing token is infinite."""
    waits = [
        np.inf if result.first_token_s is None else result.first_token_s
        for result in report.results
        if not result.planned.long and result.planned.at_s >= WARM_UP_S
    ]
    return float(np.percentile(waits, 95, method="higher"))


def _long_done(report: LoadReport) -> float:
    """Return the share of long requests answered completely."""
    outcomes = [result.outcome for result in report.results if result.planned.long]
    return sum(outcome is Outcome.DONE for outcome in outcomes) / max(1, len(outcomes))
