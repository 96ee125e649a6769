"""Workload generator for `bench.limits_bench`."""

from __future__ import annotations

import random
from dataclasses import dataclass

from bench.limits_models import Job, MemberPlan


@dataclass(frozen=True, slots=True)
class Workload:
    """Parameters of the arrivals of a run.

    Attributes:
        load: Offered load as a share of the capacity.
        long_share: Share of requests that are twenty times longer.
        uniform_limit: Whether every request has the same token limit, so that the limit does not
            indicate the length and estimates are wrong by a factor of ten or more.
        surge: Surging member, rate factor, start time and end time.
        surge_entry: Entry host that receives the surge; all if `None`.
    """

    load: float
    seconds: float
    long_share: float = 0.05
    uniform_limit: bool = False
    surge: tuple[str, float, float, float] | None = None
    surge_entry: int | None = None
    deadline_s: float = 30.0


SHORT_TOKENS = (30, 70)
LONG_FACTOR = 20


def make_jobs(
    workload: Workload,
    members: list[MemberPlan],
    capacity_tokens_per_s: float,
    entries: int,
    seed: int,
) -> list[Job]:
    """Return the jobs; for the same seed, base arrivals and short jobs are identical."""
    mean = sum(SHORT_TOKENS) / 2 * (1 + 0.05 * (LONG_FACTOR - 1))
    total_rate = workload.load * capacity_tokens_per_s / mean
    total_weight = sum(plan.weight for plan in members)
    jobs: list[Job] = []
    for index, plan in enumerate(members):
        rate = total_rate * plan.weight / total_weight
        rng = random.Random(seed * 1000 + index)
        jobs.extend(
            _poisson_arrivals(workload, plan.name, rate, (0.0, workload.seconds), entries, rng)
        )
        if workload.surge is not None and workload.surge[0] == plan.name:
            _, factor, begin, end = workload.surge
            rng = random.Random(seed * 1000 + 500)
            extra = _poisson_arrivals(
                workload, f"{plan.name}", rate * (factor - 1), (begin, end), entries, rng, "s"
            )
            if workload.surge_entry is not None:
                for job in extra:
                    job.entry = workload.surge_entry
            jobs.extend(extra)
    return jobs


def _poisson_arrivals(
    workload: Workload,
    member: str,
    rate: float,
    span: tuple[float, float],
    entries: int,
    rng: random.Random,
    label: str = "n",
) -> list[Job]:
    """Return the Poisson arrivals of one member."""
    jobs: list[Job] = []
    now, end = span
    number = 0
    while True:
        now += rng.expovariate(rate)
        if now >= end:
            return jobs
        number += 1
        is_long = rng.random() < 0.05
        output = rng.randint(*SHORT_TOKENS)
        prompt = rng.randint(100, 400)
        entry = rng.randrange(entries)
        if is_long and workload.long_share == 0.0:
            continue
        output *= LONG_FACTOR if is_long else 1
        limit = 2048 if is_long or workload.uniform_limit else 128
        jobs.append(
            Job(
                f"{member}-{label}{number}",
                member,
                now,
                prompt,
                output,
                limit,
                entry,
                workload.deadline_s,
                is_long,
            )
        )
