"""Even load from old reports, without a network: `python -m bench.balance_bench [--seed N]`.

Gateways choose endpoints, which serve one request after another, from old reports. Prints a table
row for each load, number of gateways and policy, as the mean over ages and numbers of endpoints.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
import statistics
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

from lagoonwing_gateway._even_load import KnownLoads, draw_loads, unreported_work

GATEWAYS = (4, 26, 106, 700)
AGES_S = (0.2, 0.4, 0.8, 1.5)
ENDPOINTS = (33, 86, 300)
SPEEDS = (0.5, 0.5, 1.0, 1.5)
SERVICE_MS = 100.0
UTILISATION = 0.7
REPORT_INTERVAL_S = 0.2
SAMPLE_INTERVAL_S = 0.05
RATE_WINDOW_S = 1.0
DURATION_S = 9.0
# Choices are random at first, so that there are reports when the policy takes over.
RANDOM_UNTIL_S = 3.0
MEASURED_FROM_S = 4.0
LOSS_AT_S = 6.0
LOSS_SHARE = 0.25
# Queue that makes an endpoint count as overloaded.
OVERLOAD_MS = 5 * SERVICE_MS


class Shape(Enum):
    """Course of the load."""

    STEADY = "steady"
    WAVE = "wave"
    LOSS = "loss"

    def rate(self, now: float) -> float:
        """Return the request rate relative to the mean."""
        return 1.0 + 0.4 * math.sin(math.pi * now) if self is Shape.WAVE else 1.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """One combination of sizes and load."""

    gateways: int
    endpoints: int
    age_s: float
    shape: Shape


@dataclass(slots=True)
class Request:
    """A request and the endpoint that it was sent to."""

    gateway: int
    size: float
    arrived_at: float
    endpoint: int = -1
    work_ms: float = 0.0


@dataclass(slots=True)
class View:
    """What a gateway knows when it chooses.

    Attributes:
        remote_ms: Work of the other gateways at each endpoint, as reported.
        own_ms: Own work at each endpoint.
        own_reported_ms: The same, as the others know it.
        service_ms: Duration of the request at each endpoint.
        own_started: Sizes of own requests started since the report.
        others_per_s: Sizes of the requests that others start per second, as reported.
        tokens: Endpoints that told this gateway that they are idle.
    """

    gateways: int
    gateway: int
    alive: Sequence[int]
    remote_ms: Sequence[float]
    own_ms: dict[int, float]
    own_reported_ms: dict[int, float]
    service_ms: Sequence[float]
    age_s: float
    own_started: float
    others_per_s: float
    tokens: deque[int]
    rng: random.Random

    def finish_ms(self, endpoint: int) -> float:
        """Return the time at which the request would be complete, by what is known."""
        return self.remote_ms[endpoint] + self.own_ms.get(endpoint, 0.0) + self.service_ms[endpoint]

    def speed(self, endpoint: int) -> float:
        """Return the relative speed of an endpoint."""
        return 1.0 / self.service_ms[endpoint]


Policy = Callable[[View], int]


def random_by_speed(view: View) -> int:
    """Choose at random in proportion to speed, without any report."""
    weights = [view.speed(endpoint) for endpoint in view.alive]
    return view.rng.choices(view.alive, weights)[0]


def least_loaded(view: View) -> int:
    """Choose the endpoint that would be done first."""
    return min(view.alive, key=lambda endpoint: view.finish_ms(endpoint))


def own_choices_multiplied(view: View) -> int:
    """Choose like `BacklogEstimator` did: each other gateway adds 0.35 of own recent work."""
    factor = 1.0 + 0.35 * (view.gateways - 1)
    return min(
        view.alive,
        key=lambda endpoint: view.finish_ms(endpoint)
        + view.own_ms.get(endpoint, 0.0) * (factor - 1.0),
    )


def power_of_two(view: View) -> int:
    """Choose the better of two random endpoints."""
    weights = [view.speed(endpoint) for endpoint in view.alive]
    return min(view.rng.choices(view.alive, weights, k=2), key=view.finish_ms)


def allotted_shares(view: View) -> int:
    """Choose among the few endpoints that the registry has allotted to the gateway."""
    subset_rng = random.Random(view.gateway)
    weights = [view.speed(endpoint) for endpoint in view.alive]
    count = max(4, 3 * len(view.alive) // view.gateways)
    return min(subset_rng.choices(view.alive, weights, k=count), key=view.finish_ms)


def random_rank(view: View) -> int:
    """Choose by finish time plus a random draw of what others have probably started."""
    total_speed = sum(view.speed(endpoint) for endpoint in view.alive)
    mean = view.others_per_s * view.age_s / (total_speed * SERVICE_MS)

    def rank(endpoint: int) -> float:
        count = mean * view.speed(endpoint) * SERVICE_MS
        drawn = max(0.0, view.rng.gauss(count, math.sqrt(count)))
        return view.finish_ms(endpoint) + drawn * view.service_ms[endpoint]

    return min(view.alive, key=rank)


def idle_tokens(view: View) -> int:
    """Choose an endpoint that has announced that it is idle, or else a random one."""
    while view.tokens:
        endpoint = view.tokens.popleft()
        if endpoint in view.alive:
            return endpoint
    weights = [view.speed(endpoint) for endpoint in view.alive]
    return view.rng.choices(view.alive, weights)[0]


def filled_level(view: View) -> int:
    """Choose with the decision code of the product."""
    work = unreported_work(view.others_per_s, view.age_s, view.own_started, view.gateways)
    loads = KnownLoads()
    for endpoint in view.alive:
        own_ms = view.own_ms.get(endpoint, 0.0)
        known_ms = min(own_ms, view.own_reported_ms.get(endpoint, 0.0))
        left_ms = max(0.0, view.remote_ms[endpoint] - view.age_s * 1_000)
        shared_ms = left_ms + known_ms + view.service_ms[endpoint]
        loads.add(shared_ms, own_ms - known_ms, view.speed(endpoint))
    drawn = draw_loads(loads, work, 1.0, view.rng)
    return view.alive[drawn.index(min(drawn))]


POLICIES: dict[str, Policy] = {
    "least loaded": least_loaded,
    "own choices multiplied": own_choices_multiplied,
    "power of two": power_of_two,
    "allotted shares": allotted_shares,
    "random rank": random_rank,
    "idle tokens": idle_tokens,
    "random by speed": random_by_speed,
    "filled level": filled_level,
}


@dataclass(slots=True)
class Report:
    """Work of all gateways at one moment."""

    total_ms: list[float]
    own_ms: list[dict[int, float]]
    started_per_s: float
    own_per_s: dict[int, float]


@dataclass(slots=True)
class Measures:
    """What came of the choices."""

    longest_over_mean: list[float] = field(default_factory=list)
    idle_beside_overload: list[float] = field(default_factory=list)
    lost_ms: list[float] = field(default_factory=list)

    def row(self) -> tuple[float, float, float, float]:
        """Return the means, and the 99th percentile of the lost."""
        lost = sorted(self.lost_ms)
        return (
            statistics.fmean(self.longest_over_mean),
            statistics.fmean(self.idle_beside_overload),
            statistics.fmean(lost),
            lost[len(lost) * 99 // 100],
        )


class Simulation:
    """Gateways, endpoints and reports of one scenario."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self._scenario = scenario
        self._policy = policy
        self._rng = random.Random(seed)
        self._speeds = [SPEEDS[number % len(SPEEDS)] for number in range(scenario.endpoints)]
        self._alive = list(range(scenario.endpoints))
        self._free_at = [0.0] * scenario.endpoints
        self._own_ms: list[dict[int, float]] = [{} for _ in range(scenario.gateways)]
        self._tokens: list[deque[int]] = [deque() for _ in range(scenario.gateways)]
        self._started: list[deque[tuple[float, float]]] = [
            deque() for _ in range(scenario.gateways)
        ]
        self._reports: deque[tuple[float, Report]] = deque()
        self._running: dict[int, Request] = {}
        self._ends: list[tuple[float, int]] = []
        self._ids = itertools.count()
        self._measures = Measures()

    def run(self) -> Measures:
        """Run the scenario."""
        capacity_per_s = sum(self._speeds) * 1_000 / SERVICE_MS
        next_report = next_sample = now = 0.0
        is_lost = self._scenario.shape is not Shape.LOSS
        while now < DURATION_S:
            rate = capacity_per_s * UTILISATION * self._scenario.shape.rate(now)
            now += self._rng.expovariate(rate)
            while next_report <= now:
                self._end_until(next_report)
                self._reports.append((next_report, self._report(next_report)))
                next_report += REPORT_INTERVAL_S
            while next_sample <= now:
                self._end_until(next_sample)
                self._sample(next_sample)
                next_sample += SAMPLE_INTERVAL_S
            self._end_until(now)
            if not is_lost and now >= LOSS_AT_S:
                is_lost = True
                self._lose(now)
            gateway = self._rng.randrange(self._scenario.gateways)
            self._start(Request(gateway, self._rng.uniform(0.5, 1.5), now), now)
        return self._measures

    def _start(self, request: Request, now: float) -> None:
        """Let the gateway of a request choose an endpoint."""
        policy = self._policy if now >= RANDOM_UNTIL_S else random_by_speed
        endpoint = request.endpoint = policy(self._view(request, now))
        request.work_ms = request.size * SERVICE_MS / self._speeds[endpoint]
        begin = max(now, self._free_at[endpoint])
        self._free_at[endpoint] = begin + request.work_ms / 1_000
        number = next(self._ids)
        self._running[number] = request
        heapq.heappush(self._ends, (self._free_at[endpoint], number))
        own = self._own_ms[request.gateway]
        own[endpoint] = own.get(endpoint, 0.0) + request.work_ms
        self._started[request.gateway].append((now, request.size))
        if now > MEASURED_FROM_S:
            fastest_ms = request.size * SERVICE_MS / max(SPEEDS)
            response_ms = (self._free_at[endpoint] - request.arrived_at) * 1_000
            self._measures.lost_ms.append(response_ms - fastest_ms)

    def _end_until(self, now: float) -> None:
        """End requests; an endpoint that becomes idle tells a random gateway."""
        while self._ends and self._ends[0][0] <= now:
            ended_at, number = heapq.heappop(self._ends)
            request = self._running.pop(number, None)
            if request is None:
                continue
            self._remove(request)
            if self._free_at[request.endpoint] <= ended_at:
                self._rng.choice(self._tokens).append(request.endpoint)

    def _remove(self, request: Request) -> None:
        """Remove a request from the load of its endpoint."""
        own = self._own_ms[request.gateway]
        own[request.endpoint] -= request.work_ms
        if own[request.endpoint] < 1e-6:
            del own[request.endpoint]

    def _lose(self, now: float) -> None:
        """Lose endpoints; their requests are sent elsewhere at once."""
        self._alive = sorted(
            self._rng.sample(self._alive, round(len(self._alive) * (1 - LOSS_SHARE)))
        )
        alive = set(self._alive)
        moved = [number for number, req in self._running.items() if req.endpoint not in alive]
        for request in [self._running.pop(number) for number in moved]:
            self._remove(request)
            self._start(request, now)

    def _report(self, now: float) -> Report:
        """Return what all gateways report now."""
        total_ms = [0.0] * self._scenario.endpoints
        for own in self._own_ms:
            for endpoint, work_ms in own.items():
                total_ms[endpoint] += work_ms
        own_per_s: dict[int, float] = {}
        for gateway, started in enumerate(self._started):
            while started and started[0][0] < now - RATE_WINDOW_S:
                started.popleft()
            own_per_s[gateway] = sum(size for _, size in started)
        return Report(
            total_ms, [own.copy() for own in self._own_ms], sum(own_per_s.values()), own_per_s
        )

    def _view(self, request: Request, now: float) -> View:
        """Return what the gateway of a request knows."""
        while len(self._reports) > 1 and self._reports[1][0] <= now - self._scenario.age_s + 0.1:
            self._reports.popleft()
        reported_at, report = self._reports[0]
        gateway = request.gateway
        remote_ms = list(report.total_ms)
        for endpoint, work_ms in report.own_ms[gateway].items():
            remote_ms[endpoint] -= work_ms
        # Ties must not be broken alike by all gateways.
        first = self._rng.randrange(len(self._alive))
        return View(
            self._scenario.gateways,
            gateway,
            self._alive[first:] + self._alive[:first],
            remote_ms,
            self._own_ms[gateway],
            report.own_ms[gateway],
            [request.size * SERVICE_MS / speed for speed in self._speeds],
            now - reported_at,
            sum(size for at, size in self._started[gateway] if at >= reported_at),
            report.started_per_s - report.own_per_s[gateway],
            self._tokens[gateway],
            self._rng,
        )

    def _sample(self, now: float) -> None:
        """Measure the queues."""
        if now <= MEASURED_FROM_S:
            return
        queues = [max(0.0, self._free_at[endpoint] - now) * 1_000 for endpoint in self._alive]
        longest, mean = max(queues), statistics.fmean(queues)
        self._measures.longest_over_mean.append(longest / mean if mean else 1.0)
        idle = queues.count(0.0) / len(queues) if longest > OVERLOAD_MS else 0.0
        self._measures.idle_beside_overload.append(idle)


def scenarios(arguments: argparse.Namespace) -> Iterator[Scenario]:
    """Yield the scenarios to run."""
    shapes: Iterable[Shape] = Shape
    for shape, gateways, endpoints, age_s in itertools.product(
        shapes, arguments.gateways, arguments.endpoints, arguments.ages
    ):
        yield Scenario(gateways, endpoints, age_s, shape)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, nargs="+", default=GATEWAYS)
    parser.add_argument("--endpoints", type=int, nargs="+", default=ENDPOINTS)
    parser.add_argument("--ages", type=float, nargs="+", default=AGES_S)
    parser.add_argument("--policies", nargs="+", choices=POLICIES, default=list(POLICIES))
    arguments = parser.parse_args()
    print(
        "| load | gateways | policy | longest/mean | idle beside overload | lost ms | p99 lost ms |"
    )
    print("|---|---|---|---|---|---|---|")
    by_key = itertools.groupby(
        scenarios(arguments), key=lambda scenario: (scenario.shape, scenario.gateways)
    )
    for (shape, gateways), group in by_key:
        chosen = list(group)
        for name in arguments.policies:
            policy = POLICIES[name]
            rows = [Simulation(scenario, policy, arguments.seed).run().row() for scenario in chosen]
            means = [statistics.fmean(column) for column in zip(*rows, strict=True)]
            print(
                f"| {shape.value} | {gateways} | {name} | {means[0]:.1f} | {means[1]:.3f} "
                f"| {means[2]:.0f} | {means[3]:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
