"""Benchmark of caps, fair shares, admission and short work behind long, against a baseline.

Run `.venv/bin/python -m bench.limits_bench`; it writes `bench/results/limits.md`.
"""

from __future__ import annotations

import argparse
import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from absl import logging

from bench.limits_driver import Simulation
from bench.limits_jobs import Workload, make_jobs
from bench.limits_models import Job, MemberPlan, make_endpoints
from lagoonwing_policy import (
    BoundedQueue,
    FirstComeFirstServed,
    NoLimits,
    RoundRobinRoutes,
    RouterSettings,
    SchedulerSettings,
    UnboundedLongWork,
)

ENTRIES = 4
ENDPOINTS = 30
SEEDS = (1, 2, 3, 4, 5)
SURGE_BEGIN_S, SURGE_END_S, RUN_S = 15.0, 30.0, 50.0
SURGE_FACTOR = 20.0
LARGE, SMALL = "large-0", "small-0"
RESULTS = Path(__file__).parent / "results" / "limits.md"
POLICIES = {
    "product": SchedulerSettings(),
    "even split": SchedulerSettings(),
    "baseline": SchedulerSettings(
        queue=FirstComeFirstServed(),
        limits=NoLimits(),
        admission=BoundedQueue(),
        long_work=UnboundedLongWork(),
        routing=RouterSettings(policy=RoundRobinRoutes()),
    ),
}


@dataclass(frozen=True, slots=True)
class Case:
    """One simulation run."""

    policy: str
    workload: Workload
    seed: int
    cap: int | None = None


def make_members(cap: int | None) -> list[MemberPlan]:
    """Return ten members, three of them large; the cap applies to the first large one."""
    large = [MemberPlan(f"large-{n}", 4.0, cap if n == 0 else None) for n in range(3)]
    return large + [MemberPlan(f"small-{n}", 1.0) for n in range(7)]


def run_case(case: Case) -> Simulation:
    """Run the simulation of a case."""
    logging.set_verbosity(logging.ERROR)
    members = make_members(case.cap)
    endpoints = make_endpoints(ENDPOINTS)
    capacity = sum(record.tokens_per_s for record in endpoints)
    shares_work = case.policy == "product"
    simulation = Simulation(
        POLICIES[case.policy], ENTRIES, endpoints, members, case.seed, shares_work
    )
    jobs = make_jobs(case.workload, members, capacity, ENTRIES, case.seed)
    simulation.run(jobs, case.workload.seconds)
    return simulation


def percentile(values: Iterable[float], share: float) -> float:
    """Return a percentile, or NaN without values."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def in_window(jobs: Iterable[Job], begin: float, end: float) -> list[Job]:
    """Return the jobs that arrived in a time window."""
    return [job for job in jobs if begin <= job.arrived < end]


def first_token_s(jobs: Iterable[Job]) -> list[float]:
    """Return the times to first token of the jobs that were started."""
    return [job.first_token - job.arrived for job in jobs if job.first_token is not None]


def waits_s(jobs: Iterable[Job]) -> list[float]:
    """Return the queueing times of the jobs that were started."""
    return [
        job.first_token - job.prompt / 5000.0 - job.arrived
        for job in jobs
        if job.first_token is not None
    ]


def in_time(job: Job) -> bool:
    """Return whether a job finished by its deadline."""
    return job.finished is not None and job.finished <= job.arrived + job.deadline_s


def tokens_of(jobs: Iterable[Job], begin: float, end: float) -> float:
    """Return the tokens of the jobs that finished in a time window."""
    return sum(
        job.output for job in jobs if job.finished is not None and begin <= job.finished < end
    )


def measure_surge(case: Case) -> dict[str, float]:
    """Compare the service of the other members with and without a surge of one member."""
    with_surge = run_case(case)
    plain_load = Workload(load=case.workload.load, seconds=case.workload.seconds)
    without_surge = run_case(Case(case.policy, plain_load, case.seed, case.cap))
    surging = case.workload.surge[0] if case.workload.surge else ""
    span = (SURGE_BEGIN_S, SURGE_END_S)
    others = [[j for j in run.jobs if j.member != surging] for run in (with_surge, without_surge)]
    during = [in_window(jobs, *span) for jobs in others]
    portion = [tokens_of(jobs, *span) for jobs in others]
    asked = [tokens_of(jobs, 0.0, RUN_S) for jobs in during]
    p95 = [percentile(first_token_s(jobs), 0.95) for jobs in during]
    members = sorted({job.member for job in during[0]})
    ratios = [
        percentile(first_token_s(j for j in during[0] if j.member == m), 0.95)
        / percentile(first_token_s(j for j in during[1] if j.member == m), 0.95)
        for m in members
    ]
    return {
        "others' tokens ended in the surge, surge / none": portion[0] / portion[1],
        "others' tokens asked for in the surge and answered": asked[0] / asked[1],
        "others' p95 first token, ms": p95[0] * 1000,
        "the same without surge, ms": p95[1] * 1000,
        "ratio": p95[0] / p95[1],
        "worst member's ratio": max(ratios),
        "others refused": sum(job.refused is not None for job in during[0]),
        "cap passed, starts": sum(with_surge.cap_excess.values()),
        "slots busy during surge": with_surge.busy_share(*span),
    }


def measure_short_work(case: Case) -> dict[str, float]:
    """Compare short work mixed with long work against the same short work alone."""
    load = case.workload
    mixed = run_case(case)
    alone_load = Workload(load.load, load.seconds, long_share=0.0, uniform_limit=load.uniform_limit)
    alone = run_case(Case(case.policy, alone_load, case.seed))
    span = (10.0, load.seconds - 5.0)
    short = [
        [job for job in in_window(run.jobs, *span) if not job.is_long] for run in (mixed, alone)
    ]
    long = [job for job in in_window(mixed.jobs, 5.0, load.seconds / 2) if job.is_long]
    p95 = [percentile(first_token_s(jobs), 0.95) for jobs in short]
    waits = [percentile(waits_s(jobs), 0.95) for jobs in short]
    return {
        "short p95 first token, ms": p95[0] * 1000,
        "alone, ms": p95[1] * 1000,
        "ratio": p95[0] / p95[1],
        "short p95 wait, ms": waits[0] * 1000,
        "alone p95 wait, ms": waits[1] * 1000,
        "short refused": sum(job.refused is not None for job in short[0]),
        "long ended of first half": sum(job.finished is not None for job in long) / len(long),
        "slots busy": mixed.busy_share(*span),
    }


def measure_throughput(case: Case) -> dict[str, float]:
    """Return slot utilization and throughput under overload."""
    run = run_case(case)
    span = (10.0, case.workload.seconds)
    refused = [job for job in run.jobs if job.refused is not None]
    late = [job for job in run.jobs if job.finished is not None and not in_time(job)]
    return {
        "slots busy / bound": run.busy_share(*span),
        "tokens per s": tokens_of(run.jobs, *span) / (span[1] - span[0]),
        "tokens per s answered in time": tokens_of(filter(in_time, run.jobs), *span)
        / (span[1] - span[0]),
        "refused": len(refused) / len(run.jobs),
        "answered after the deadline": len(late),
        "short p95 first token, ms": 1000
        * percentile(first_token_s(j for j in run.jobs if not j.is_long), 0.95),
    }


def surge_of(member: str, load: float, entry: int | None = None) -> Workload:
    """Return a workload in which one member surges by `SURGE_FACTOR`."""
    surge = (member, SURGE_FACTOR, SURGE_BEGIN_S, SURGE_END_S)
    return Workload(load, RUN_S, surge=surge, surge_entry=entry)


MEASURES = {
    "Crest: a large member surges twentyfold, load 0.6 before": (
        measure_surge,
        surge_of(LARGE, 0.6),
        None,
    ),
    "Crest: a large member surges through one entry host, load 0.6 before": (
        measure_surge,
        surge_of(LARGE, 0.6, entry=0),
        None,
    ),
    "Crest: a small member surges twentyfold, load 0.6 before": (
        measure_surge,
        surge_of(SMALL, 0.6),
        None,
    ),
    "Crest: the surging member is capped at 60 requests at once": (
        measure_surge,
        surge_of(LARGE, 0.6),
        60,
    ),
    "Short behind long: 5% twenty times longer, load 0.8": (
        measure_short_work,
        Workload(0.8, 45.0),
        None,
    ),
    "Short behind long: the same, estimates off by ten": (
        measure_short_work,
        Workload(0.8, 45.0, uniform_limit=True),
        None,
    ),
    "Throughput: load 1.3": (measure_throughput, Workload(1.3, 40.0), None),
    "Throughput: load 1.3, deadlines of 12 s": (
        measure_throughput,
        Workload(1.3, 40.0, deadline_s=12.0),
        None,
    ),
}


def run_measure(title: str, policy: str, seed: int) -> dict[str, float]:
    """Run one measurement."""
    measure, workload, cap = MEASURES[title]
    return measure(Case(policy, workload, seed, cap))


def format_value(values: list[float]) -> str:
    """Format the median and the range."""
    digits = 2 if statistics.median(values) < 20 else 0
    low, high = min(values), max(values)
    return f"{statistics.median(values):.{digits}f} ({low:.{digits}f} to {high:.{digits}f})"


def main() -> None:
    """Run the selected measurements and write the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=len(SEEDS))
    parser.add_argument("--only", default="")
    parser.add_argument("--workers", type=int, default=5)
    arguments = parser.parse_args()
    seeds = SEEDS[: arguments.seeds]
    titles = [title for title in MEASURES if arguments.only in title]
    tasks = [(t, p, s) for t in titles for p in POLICIES for s in seeds]
    with ProcessPoolExecutor(arguments.workers) as pool:
        results = dict(zip(tasks, pool.map(run_measure, *zip(*tasks, strict=True)), strict=True))
    text = render(titles, seeds, results)
    print(text)
    if not arguments.only:
        RESULTS.write_text(text)


def render(
    titles: list[str],
    seeds: tuple[int, ...],
    results: dict[tuple[str, str, int], dict[str, float]],
) -> str:
    """Return the results as Markdown."""
    lines = [
        "# Limits, fairness and short work",
        "",
        f"`python -m bench.limits_bench`: {ENTRIES} schedulers on a virtual clock, {ENDPOINTS}"
        f" endpoints of three speeds with 8 slots, 10 members (3 large), seeds"
        f" {', '.join(map(str, seeds))}. Median (minimum to maximum). No network and no"
        " processes, only scheduling decisions. Even split: the product with an equal part of every"
        " endpoint for each entry host, without exchange of their work.",
    ]
    for title in titles:
        lines += ["", f"## {title}", "", "| | " + " | ".join(POLICIES) + " |", "|---" * 4 + "|"]
        for name in results[title, "product", seeds[0]]:
            cells = [
                format_value([results[title, policy, seed][name] for seed in seeds])
                for policy in POLICIES
            ]
            lines.append(f"| {name} | {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    main()
