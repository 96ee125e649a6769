"""Cost of the admission core: `python -m bench.admission_bench`."""

from __future__ import annotations

import itertools
import math
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from lagoonwing_admission import CostClass, WaitingRoom, WaitingRoomSettings, WorkId
from lagoonwing_core.ids import MemberId

WAITING = 1000
MEMBERS = 24
RANKS = 3
ROUNDS = 5000
CANDIDATES = 4
RATE = 4000.0


@dataclass(frozen=True, slots=True)
class Work:
    """A request that waits."""

    work_id: WorkId
    member_id: MemberId
    rank: int
    cost_class: CostClass
    cost: float
    enqueued: float
    due: float
    latest_start: float

    @property
    def start_charge(self) -> float:
        """Return the cost."""
        return self.cost


def _make_work(number: int, rng: random.Random) -> Work:
    """Return a request of a random member, rank and cost."""
    now = number * 0.001
    return Work(
        WorkId(f"w{number}"),
        MemberId(f"m{rng.randrange(MEMBERS)}"),
        rng.randrange(RANKS),
        rng.choice(list(CostClass)),
        5.0 * math.exp(rng.gauss(0.0, 1.0)),
        now,
        now + rng.random(),
        math.inf,
    )


class Stopwatch:
    """CPU time of calls by name, in microseconds."""

    def __init__(self) -> None:
        self.spent_by_name: dict[str, list[float]] = {}
        self._begun = 0.0

    def begin(self) -> None:
        """Start a measurement."""
        self._begun = time.thread_time()

    def end(self, name: str) -> None:
        """Record the time since the beginning."""
        spent = (time.thread_time() - self._begun) * 1e6
        self.spent_by_name.setdefault(name, []).append(spent)


def _print_row(name: str, spent: Sequence[float]) -> None:
    """Print the median and the 99th percentile of a call."""
    print(f"| {name} | {median(spent):.1f} | {sorted(spent)[int(0.99 * len(spent))]:.1f} |")


def main() -> None:
    """Keep a room at its number of waiting requests and time each call."""
    rng = random.Random(0)
    numbers = itertools.count()
    room: WaitingRoom[Work] = WaitingRoom(WaitingRoomSettings(), rng)
    for _ in range(WAITING):
        room.submit(_make_work(next(numbers), rng), 0.0, 0.0, None)
    watch = Stopwatch()
    for _ in range(ROUNDS):
        work = _make_work(next(numbers), rng)
        now = work.enqueued
        watch.begin()
        room.submit(work, now, 500.0, RATE)
        watch.end("submit")
        watch.begin()
        found = room.candidates(now, CANDIDATES)
        watch.end("candidates")
        first = rng.choice(found)
        watch.begin()
        room.started(first, now)
        watch.end("started")
        watch.begin()
        room.retry_after_s(first, 6.0, now)
        watch.end("retry_after_s")
        watch.begin()
        room.expired(now)
        watch.end("expired")
    print(f"{len(room)} waiting, {MEMBERS} members, {RANKS} ranks, {ROUNDS} rounds")
    print("| call | median us | p99 us |")
    print("|---|---|---|")
    for name, values in watch.spent_by_name.items():
        _print_row(name, values)


if __name__ == "__main__":
    main()
