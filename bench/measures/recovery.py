"""Benchmark of the time until throughput recovers after a loss."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from bench.measures._site import Site, SitePlan, async_site, wrong_answers
from bench.measures._windows import recovery_time_s
from bench.measures.const import RECOVERED_SHARE, SHORT_TOKENS, TARGET_RECOVERY_S
from bench.measures.models import Better, FigureKey
from lagoonctl.load import LoadReport, async_run_load
from lagoonwing_fakes.deployment import HostPolicies

LOAD_SHARE = 0.45
WINDOW_S = 1.0
AFTER_LOSS_S = 6.0
BEFORE_LOSS_S = 4.0
SECOND_LOSS_AFTER_S = 1.0

Loss = Callable[[Site], Awaitable[None]]


async def async_measure(
    policies: HostPolicies, seed: int, duration_s: float, network: str
) -> dict[FigureKey, float]:
    """Return the recovery time after each kind of loss."""
    figures: dict[FigureKey, float] = {}
    async with async_site(SitePlan(policies, seed, network)) as site:
        for name, loss in _LOSSES.items():
            report = await _async_run(site, loss)
            await site.async_restore()
            key = FigureKey("recovery", f"after {name}", "s", Better.LOWER, TARGET_RECOVERY_S)
            figures[key] = recovery_time_s(report, BEFORE_LOSS_S, RECOVERED_SHARE, WINDOW_S)
            for key, count in _answer_faults(report).items():
                figures[key] = figures.get(key, 0.0) + count
    return figures


def _answer_faults(report: LoadReport) -> dict[FigureKey, float]:
    """Return the numbers of wrong and of broken answers."""
    broken = sum(result.broken for result in report.results)
    wrong = FigureKey("recovery", "answers not their own", "answers", Better.LOWER, 0.0)
    cut = FigureKey("recovery", "answers that broke", "answers", Better.LOWER, 0.0)
    return {wrong: wrong_answers(report.results), cut: broken}


async def _async_run(site: Site, loss: Loss) -> LoadReport:
    """Run the load and cause the loss during it."""
    members = site.members(LOAD_SHARE, SHORT_TOKENS)
    plan = site.load(members, BEFORE_LOSS_S + AFTER_LOSS_S, long_share=0.0)
    # The platform's load balancer avoids lost hosts; the load generator has none, so it uses
    # only hosts that are not killed.
    plan = replace(plan, targets=plan.targets[2:])
    run = asyncio.create_task(async_run_load(plan))
    await asyncio.sleep(BEFORE_LOSS_S)
    await loss(site)
    return await run


async def _async_lose_endpoint(site: Site) -> None:
    """Kill one of the fastest endpoints."""
    site.deployment.kill("endpoint-2")


async def _async_lose_domain(site: Site) -> None:
    """Kill all endpoints of one failure domain and its host."""
    for number in range(site.plan.endpoints):
        if number // 3 % 3 == 0:
            site.deployment.kill(f"endpoint-{number}")
    site.deployment.kill("entry-1")
    site.deployment.kill("control-1")


async def _async_lose_host(site: Site) -> None:
    """Kill both processes of one host."""
    site.deployment.kill("entry-1")
    site.deployment.kill("control-1")


async def _async_lose_two_hosts(site: Site) -> None:
    """Kill a host and shortly afterwards a second one."""
    await _async_lose_host(site)
    await asyncio.sleep(SECOND_LOSS_AFTER_S)
    site.deployment.kill("entry-2")
    site.deployment.kill("control-2")


_LOSSES: dict[str, Loss] = {
    "an endpoint": _async_lose_endpoint,
    "a failure domain": _async_lose_domain,
    "an entry host": _async_lose_host,
    "an entry host and a second one": _async_lose_two_hosts,
}
