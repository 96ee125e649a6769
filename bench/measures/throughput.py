"""Benchmark of throughput relative to its upper bound, for whole models and pipelines."""

from __future__ import annotations

from bench.measures._site import Site, SitePlan, async_site, wrong_answers
from bench.measures._windows import tokens_per_s
from bench.measures.const import SHORT_TOKENS, TARGET_THROUGHPUT, WARM_UP_S
from bench.measures.models import Better, FigureKey
from lagoonctl.load import async_run_load
from lagoonwing_fakes.deployment import HostPolicies

# Offered load relative to the bound; overload keeps all endpoints busy.
OVERLOAD = 1.4
# A staged answer takes about 6 s; until the first answers end, the pipelines are filling.
STAGED_WARM_UP_S = 6.0

_NO_WRONG = FigureKey("throughput", "answers not their own", "answers", Better.LOWER, 0.0)


async def async_measure(
    policies: HostPolicies, seed: int, duration_s: float, network: str
) -> dict[FigureKey, float]:
    """Return the reached share of the bound for whole models and for pipelines."""
    figures: dict[FigureKey, float] = {}
    for staged in (False, True):
        plan = SitePlan(policies, seed, network, staged=staged)
        async with async_site(plan) as site:
            share, wrong = await _async_share(site, duration_s)
        name = "staged" if staged else "whole models"
        key = FigureKey(
            "throughput", f"share of the bound, {name}", "1", Better.HIGHER, TARGET_THROUGHPUT
        )
        figures[key] = share
        figures[_NO_WRONG] = figures.get(_NO_WRONG, 0.0) + wrong
    return figures


async def _async_share(site: Site, duration_s: float) -> tuple[float, int]:
    """Run an overload; return the reached share of the bound and the number of wrong answers."""
    members = site.members(OVERLOAD, SHORT_TOKENS)
    warm_up_s = STAGED_WARM_UP_S if site.plan.staged else WARM_UP_S
    end_s = warm_up_s + duration_s - WARM_UP_S
    report = await async_run_load(site.load(members, end_s, long_share=0.0))
    rate = tokens_per_s(report.results, warm_up_s, end_s)
    return rate / site.bound_tokens_per_s, wrong_answers(report.results)
