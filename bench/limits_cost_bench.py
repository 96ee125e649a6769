"""Benchmark of the scheduler's processor time against endpoints, members and queue length.

Run `.venv/bin/python -m bench.limits_cost_bench`; it writes `bench/results/limits_cost.md`.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from pathlib import Path

from absl import logging

from bench.limits_models import MODEL, MemberPlan, make_agreements, make_endpoints
from lagoonwing_core.ids import Attempt, Fingerprint, MemberId, RequestId
from lagoonwing_policy import EarlyRefusal, Scheduler, SchedulerSettings
from lagoonwing_policy.models import AttemptSucceeded, ModelWork, RequestProfile

RESULTS = Path(__file__).parent / "results" / "limits_cost.md"
ENDPOINT_COUNTS = (10, 30, 100, 300, 1000)
MEMBER_COUNTS = (10, 100, 300, 870)
QUEUE_LENGTHS = (0, 100, 1000, 4000)
ROUNDS = 5
CALLS = 400
TOKENS = 50


class SchedulerBench:
    """Scheduler of one entry host with endpoints, members and queued work."""

    def __init__(self, endpoints: int = 30, members: int = 10, queued: int = 0) -> None:
        admission = EarlyRefusal(max_requests=10_000, free_share=1.0)
        self.scheduler = Scheduler(SchedulerSettings(admission=admission), seed=1)
        self.records = make_endpoints(endpoints)
        plans = [MemberPlan(f"m{number}", 1.0, 1000) for number in range(members)]
        self.agreements, self.members = make_agreements(
            [MemberPlan(plan.name, plan.weight) for plan in plans]
        )
        self.now = 0.0
        self._number = 0
        self.scheduler.set_endpoints(self.records, 0.0)
        self.apply_agreements()
        if queued:
            for _ in range(endpoints * 8 + queued):
                self.submit()
            self.scheduler.tick(self.now)

    def apply_agreements(self) -> None:
        """Apply the agreements and members."""
        self.scheduler.set_agreements(self.agreements, self.members, [], [], [], self.now)

    def submit(self) -> RequestId:
        """Submit a request, taking members round robin."""
        self._number += 1
        member = self.members[self._number % len(self.members)].member_id
        name = f"r{self._number}"
        profile = RequestProfile(
            RequestId(name),
            MemberId(member),
            Fingerprint(name),
            ModelWork(MODEL, 200, 0, 128),
            self.now,
            self.now + 1000.0,
            idempotent=True,
        )
        self.scheduler.submit(profile, self.now)
        return profile.request_id

    def serve(self) -> None:
        """Process one request from submission to completion."""
        request_id = self.submit()
        self.scheduler.tick(self.now)
        self.scheduler.tokens_relayed(request_id, TOKENS, self.now)
        self.now += 0.001
        self.scheduler.attempt_ended(request_id, Attempt(1), AttemptSucceeded(TOKENS), self.now)

    def tick(self) -> None:
        """Advance the clock and run a tick."""
        self.now += 0.01
        self.scheduler.tick(self.now)


def measure_us(action: Callable[[], object], calls: int = CALLS) -> float:
    """Return the median processor time of a call in microseconds."""
    rounds = []
    for _ in range(ROUNDS):
        begin = time.process_time()
        for _ in range(calls):
            action()
        rounds.append((time.process_time() - begin) / calls * 1e6)
    return statistics.median(rounds)


def slope(points: list[tuple[int, float]]) -> float:
    """Return the least-squares slope."""
    mean_x = statistics.mean(x for x, _ in points)
    mean_y = statistics.mean(y for _, y in points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def completion_us(length: int) -> float:
    """Return the time of a completion that starts a queued request, plus a submission."""
    scheduler_bench = SchedulerBench(queued=length)
    running: list[RequestId] = [RequestId(f"r{number}") for number in range(1, 200)]

    def step() -> None:
        request_id = running.pop(0)
        scheduler_bench.now += 0.001
        done = AttemptSucceeded(TOKENS)
        commands = scheduler_bench.scheduler.attempt_ended(
            request_id, Attempt(1), done, scheduler_bench.now
        )
        running.extend(command.request_id for command in commands)  # type: ignore[union-attr]
        scheduler_bench.submit()

    return measure_us(step)


def tables() -> list[tuple[str, str, list[tuple[int, float]]]]:
    """Return title, unit and points of each measurement."""
    relayed = SchedulerBench(queued=100)
    request_id = RequestId("r1")
    return [
        (
            "A request from submission to end, slots free",
            "endpoints",
            [
                (count, measure_us(SchedulerBench(endpoints=count).serve))
                for count in ENDPOINT_COUNTS
            ],
        ),
        (
            "A request from submission to end, slots free",
            "members",
            [(count, measure_us(SchedulerBench(members=count).serve)) for count in MEMBER_COUNTS],
        ),
        (
            "An end that starts the next queued request, and a submission",
            "queued",
            [(count, completion_us(count)) for count in QUEUE_LENGTHS[1:]],
        ),
        (
            "A tick while every slot is in use",
            "queued",
            [(count, measure_us(SchedulerBench(queued=count).tick)) for count in QUEUE_LENGTHS],
        ),
        (
            "A tick while every slot is in use, 100 queued",
            "endpoints",
            [
                (count, measure_us(SchedulerBench(endpoints=count, queued=100).tick))
                for count in ENDPOINT_COUNTS
            ],
        ),
        (
            "A tick while every slot is in use, 1000 queued",
            "members",
            [
                (count, measure_us(SchedulerBench(members=count, queued=1000).tick))
                for count in MEMBER_COUNTS
            ],
        ),
        (
            "A relayed token, one call each",
            "calls",
            [
                (1, measure_us(lambda: relayed.scheduler.tokens_relayed(request_id, 1, 0.0))),
            ],
        ),
        (
            "A new table of endpoints",
            "endpoints",
            [
                (count, _set_endpoints_us(SchedulerBench(endpoints=count)))
                for count in ENDPOINT_COUNTS
            ],
        ),
        (
            "A new revision of the agreements",
            "members",
            [
                (n, measure_us(SchedulerBench(members=n).apply_agreements, 20))
                for n in MEMBER_COUNTS
            ],
        ),
    ]


def _set_endpoints_us(scheduler_bench: SchedulerBench) -> float:
    """Return the time of an update of the endpoint table."""
    record_sets = [scheduler_bench.records, scheduler_bench.records[1:]]

    def apply() -> None:
        record_sets.reverse()
        scheduler_bench.scheduler.set_endpoints(record_sets[0], scheduler_bench.now)

    return measure_us(apply, 6)


def main() -> None:
    """Run the benchmark and write the table."""
    logging.set_verbosity(logging.ERROR)
    lines = [
        "# Processor time of the scheduler",
        "",
        "`python -m bench.limits_cost_bench`: one entry host's scheduler, log lines off, median of"
        f" {ROUNDS} rounds, processor time in microseconds per call.",
        "",
        "| call | against | points | slope per unit |",
        "|---|---|---|---|",
    ]
    for title, unit, points in tables():
        shown = ", ".join(f"{count}: {value:.1f}" for count, value in points)
        per_unit = f"{slope(points):.4f}" if len(points) > 1 else ""
        lines.append(f"| {title} | {unit} | {shown} | {per_unit} |")
    text = "\n".join(lines) + "\n"
    RESULTS.write_text(text)
    print(text)


if __name__ == "__main__":
    main()
