"""Measures routing: throughput over the bound, cost of a decision, retries after a loss.

Run `python -m bench.routing_bench`; it writes bench/results/routing.md.
"""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable
from pathlib import Path

from bench.clusters import staged_cluster, whole_cluster
from bench.retry_storm import Storm, StormResult, run_storm
from bench.stage_engines import EngineBench, profile_of
from lagoonwing_core.ids import EndpointId
from lagoonwing_core.models import EndpointRecord
from lagoonwing_policy._protocols import EndpointUse
from lagoonwing_policy.retries import FixedRetries
from lagoonwing_policy.routing import (
    FlowRouter,
    FlowRoutes,
    RoundRobinRoutes,
    RoutePolicy,
    RouterSettings,
)

RESULTS = Path(__file__).parent / "results" / "routing.md"
CLUSTER_SEEDS = range(1, 13)
STORM_SEEDS = range(1, 6)
STORM_LOADS = (0.4, 0.6, 0.9)
ENDPOINT_COUNTS = (10, 30, 100, 300, 1000)
WARM_UP_S = 5.0
MEASURED_S = 20.0
DECISIONS = 1500
PLANS = 5
TOKENS = (8, 24)
POOL = "model/m"


def main() -> None:
    """Measure everything and write the table."""
    parts = [
        "# Routing\n\nMade by `python -m bench.routing_bench`; stand-in engines on a paused clock,"
        " so figures of throughput don't depend on the machine; costs do.\n",
        _throughput_part(),
        _cost_part(),
        _storm_part(),
    ]
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text("\n".join(parts))
    print(RESULTS.read_text())


def _throughput_part() -> str:
    """Return the shares of the bound that routes reach."""
    lines = [
        "## Throughput over the bound\n",
        "30 endpoints of three speeds in three failure domains, always more work than room;"
        " staged: two or three splits of the model whose cuts partly coincide.\n",
        "| seed | entry hosts | bound, tokens/s | staged, flow | staged, round robin"
        " | whole, flow | whole, round robin |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    columns: list[list[float]] = [[], [], [], []]
    for entry_hosts in (1, 4):
        for seed in CLUSTER_SEEDS:
            shares: list[float] = []
            bound = 0.0
            for records in (staged_cluster(seed), whole_cluster(seed)):
                for policy in (FlowRoutes(), RoundRobinRoutes()):
                    known, share = _share(records, policy, seed, entry_hosts)
                    bound = bound or known
                    shares.append(share)
            for column, share in zip(columns, shares, strict=True):
                column.append(share)
            cells = " | ".join(f"{share:.3f}" for share in shares)
            lines.append(f"| {seed} | {entry_hosts} | {bound:.0f} | {cells} |")
    medians = " | ".join(f"{statistics.median(column):.3f}" for column in columns)
    least = " | ".join(f"{min(column):.3f}" for column in columns)
    lines.extend([f"| median | | | {medians} |", f"| least | | | {least} |", ""])
    return "\n".join(lines)


def _share(
    records: list[EndpointRecord], policy: RoutePolicy, seed: int, entry_hosts: int
) -> tuple[float, float]:
    """Return the bound in tokens per second and the share of it that is reached."""
    bench = EngineBench(records, RouterSettings(policy), seed, entry_hosts, TOKENS)
    bound = bench.routers[0].planned_tokens_per_s(POOL)
    if records[0].layers is None:
        bound = sum(record.tokens_per_s for record in records)
    return bound, bench.run(WARM_UP_S, MEASURED_S) / bound


def _cost_part() -> str:
    """Return the processor time of a decision and of a plan."""
    lines = [
        "## Processor time\n",
        "Median over calls, slots half in use. A plan is made when the set of endpoints changes.\n",
        "| endpoints | decision, whole, µs | decision, staged, µs | no room, whole, µs"
        " | plan, whole, ms | plan, staged, ms | unchanged set, ms |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for count in ENDPOINT_COUNTS:
        whole, staged = whole_cluster(1, count), staged_cluster(1, count)
        cells = [
            f"{_decision_us(whole, 0.5):.0f}",
            f"{_decision_us(staged, 0.5):.0f}",
            f"{_decision_us(whole, 1.0):.0f}",
            f"{_plan_ms(whole):.1f}",
            f"{_plan_ms(staged):.1f}",
            f"{_unchanged_ms(staged):.2f}",
        ]
        lines.append(f"| {count} | {' | '.join(cells)} |")
    return "\n".join([*lines, ""])


def _router(records: list[EndpointRecord]) -> FlowRouter:
    """Return a router that knows the endpoints."""
    router = FlowRouter(RouterSettings(), random.Random(1))
    router.set_endpoints(records, 0.0)
    return router


def _decision_us(records: list[EndpointRecord], in_use: float) -> float:
    """Return the median microseconds of a decision with a part of the slots in use."""
    router = _router(records)
    loads = {
        EndpointId(record.endpoint_id): EndpointUse(running=int(record.slots * in_use))
        for record in records
    }
    times = []
    for number in range(DECISIONS):
        profile = profile_of(number, 20)
        times.append(_seconds(lambda p=profile: router.choose(p, loads, frozenset(), False, 0.0)))
    return statistics.median(times) * 1e6


def _plan_ms(records: list[EndpointRecord]) -> float:
    """Return the median milliseconds after one endpoint has gone."""
    times = []
    for number in range(PLANS):
        router = _router(records)
        left = [*records[:number], *records[number + 1 :]]
        times.append(_seconds(lambda r=router, rest=left: r.set_endpoints(rest, 1.0)))
    return statistics.median(times) * 1e3


def _unchanged_ms(records: list[EndpointRecord]) -> float:
    """Return the median milliseconds of being told the same endpoints again."""
    router = _router(records)
    times = [_seconds(lambda: router.set_endpoints(records, 1.0)) for _ in range(20)]
    return statistics.median(times) * 1e3


def _seconds(call: Callable[[], object]) -> float:
    """Return the processor time of a call."""
    start = time.perf_counter()
    call()
    return time.perf_counter() - start


def _storm_part() -> str:
    """Return the retries after the loss of a third of the endpoints."""
    lines = [
        "## Loss of one of three failure domains\n",
        "30 whole-model endpoints; 10 s before and 10 s after the loss; records of lost endpoints"
        " stay for 2.8 s. Baseline: round robin, four attempts, no budget, and ejection as in the"
        " product. Medians over five seeds; load is the share of what all endpoints can do.\n",
        "| load | policy | retries over first tries | attempts/s on the rest, after over before"
        " | refused |",
        "| --- | --- | --- | --- | --- |",
    ]
    for load in STORM_LOADS:
        product = [run_storm(Storm(seed, load=load)) for seed in STORM_SEEDS]
        baseline = [
            run_storm(Storm(seed, RoundRobinRoutes(), FixedRetries(), load)) for seed in STORM_SEEDS
        ]
        lines.append(_storm_line(load, "product", product))
        lines.append(_storm_line(load, "baseline", baseline))
    return "\n".join([*lines, ""])


def _storm_line(load: float, name: str, results: list[StormResult]) -> str:
    """Return one line of the table."""
    retries = statistics.median(r.retries / r.first_tries for r in results)
    rest = statistics.median(r.attempts_on_rest_after / r.attempts_on_rest_before for r in results)
    refused = sum(r.refused for r in results)
    return f"| {load} | {name} | {retries:.3f} | {rest:.2f} | {refused} |"


if __name__ == "__main__":
    main()
