"""Simulation of slow endpoints and how gateways detect them: `python -m bench.pace_simulation`.

Runs without a network: gateways choose paths by the load that they know, engines take the time that
the published figures, the load, a slowdown and noise give, reports travel through a registry.
"""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from statistics import mean, median

from lagoonwing_catalog.messages import EndpointLoad, LoadReport, LoadSummary
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_fakes.fleets import make_engine
from lagoonwing_gateway._pace_tracker import PaceTracker
from lagoonwing_gateway._paced_stream import PacedSegment, PacedStream
from lagoonwing_gateway.const import PACE_NOISE, PACE_SAMPLE_TTL_S, SLOW_ENDPOINT_FACTOR
from lagoonwing_placement import (
    Holder,
    PathFinder,
    PlacementEndpoint,
    RequestSize,
    group_holders,
    plan,
)
from lagoonwing_registry._load_totals import lowest_slowdowns

ENGINE = make_engine()
KINDS = (0, 1, 1, 1, 2, 2, 2, 2, 2, 2)
SIZE = RequestSize(774, 204)
EVENTS = 68
REPORT_S = 0.2
SEEDS = (1, 2, 3)
NO_SUMMARY = LoadSummary({})
# Relative deviation of a pass, and the largest wait for a pass in progress as a share of a pass.
PASS_NOISE = 0.1
PASS_WAIT = 0.5


class Method(Enum):
    """How slow endpoints are found.

    LOWEST: what the gateways do. OWN: the same from each gateway's own streams only. BLAME: all
    endpoints of a slow stream are called slow, whatever other streams show. NONE: not at all.
    ORACLE: gateways know the slow endpoints at once.
    """

    LOWEST = "lowest of all gateways"
    OWN = "own streams only"
    BLAME = "all endpoints of a slow path"
    NONE = "none"
    ORACLE = "oracle"


class BlamingTracker(PaceTracker):
    """Calls all endpoints of a slow path slow and reports no sound ones."""

    def _upper_bounds(self, now: float) -> dict[EndpointId, float]:
        bounds = super()._upper_bounds(now)
        for stream in self._streams:
            sample = stream.sample
            if sample is None or now > sample.taken_at + PACE_SAMPLE_TTL_S:
                continue
            ratio = sample.ratio / self._typical.ratio
            if ratio > 1.0 + PACE_NOISE:
                for endpoint_id, _ in sample.shares:
                    bounds[endpoint_id] = max(ratio, bounds.get(endpoint_id, 1.0))
        return bounds

    def report(self) -> dict[EndpointId, float]:
        """Return the endpoints of slow paths."""
        return {
            endpoint_id: factor for endpoint_id, factor in super().report().items() if factor > 1.0
        }


@dataclass
class Scenario:
    """Load and failures of a run.

    Attributes:
        streams: Streams at the same time.
        slow: Number of slow endpoints, between `onset` and `recovery`.
        misfit: Factor by which all passes take longer than published, by time.
        is_lost: Whether a report gets lost, by time.
    """

    gateways: int = 106
    streams: int = 160
    endpoints: int = 86
    slow: int = 11
    onset: float = 5.0
    recovery: float = 13.0
    duration: float = 20.0
    misfit: Callable[[float], float] = lambda now: 1.0
    is_lost: Callable[[float], bool] = lambda now: False
    seed: int = 1
    method: Method = Method.LOWEST


@dataclass
class Gateway:
    """A simulated gateway."""

    tracker: PaceTracker
    summary: LoadSummary = NO_SUMMARY
    summary_at: float = -9.0
    streams: int = 0


@dataclass
class Measures:
    """Sums over a run.

    Attributes:
        found_at_by_id: Time at which half of the gateways first knew a slow endpoint.
        cleared_at_by_id: Time from which less than half of them call it slow after its recovery.
        known: Share of gateways that know each slow endpoint, from 1 s after the onset.
        blamed: Share of gateways that call a sound endpoint slow, from the onset.
        late_pauses: Pauses twice as long as on a sound path, while endpoints are slow.
    """

    found_at_by_id: dict[EndpointId, float] = field(default_factory=dict)
    cleared_at_by_id: dict[EndpointId, float] = field(default_factory=dict)
    known: list[float] = field(default_factory=list)
    blamed: list[float] = field(default_factory=list)
    late_pauses: int = 0
    pauses: int = 0
    updates: int = 0
    update_s: float = 0.0
    report_entries: int = 0


class Simulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.clock = ManualClock()
        make_tracker = BlamingTracker if scenario.method is Method.BLAME else PaceTracker
        self.gateways = [Gateway(make_tracker(self.clock)) for _ in range(scenario.gateways)]
        hosts = [
            PlacementEndpoint(
                EndpointId(f"e-{number}"),
                FailureDomainId(f"d-{number % 3}"),
                ENGINE.accelerators[KINDS[number // 3 % len(KINDS)]],
            )
            for number in range(scenario.endpoints)
        ]
        layers_by_id = plan(ENGINE, hosts)
        self.ids = tuple(host.endpoint_id for host in hosts)
        self.holder_by_id = {
            host.endpoint_id: Holder(
                host.endpoint_id,
                host.failure_domain,
                host.accelerator,
                layers_by_id[host.endpoint_id],
                ENGINE.slots,
            )
            for host in hosts
        }
        self.groups = group_holders(ENGINE, self.holder_by_id.values())
        slow_ids = self.rng.sample(self.ids, scenario.slow)
        self.factor_by_id = {endpoint_id: self.rng.uniform(3.0, 12.0) for endpoint_id in slow_ids}
        self.load_by_id: dict[EndpointId, list[int]] = {
            endpoint_id: [0, 0] for endpoint_id in self.ids
        }
        self.known_loads: dict[EndpointId, EndpointLoad] = {}
        self.reports: dict[int, LoadReport] = {}
        self.measures = Measures()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        self._number += 1
        heapq.heappush(self._queue, (when, self._number, action))

    def is_slow_time(self, now: float) -> bool:
        """Return whether the slow endpoints are slow."""
        return self.scenario.onset <= now < self.scenario.recovery

    def run(self) -> Measures:
        """Run the scenario."""
        for _ in range(self.scenario.streams):
            self.at(self.rng.random() * 3.0, self.start_stream)
        for index in range(len(self.gateways)):
            self.at(self.rng.random() * REPORT_S, partial(self.tick, index))
        self.at(0.1, self.push)
        self.at(1.0, self.measure)
        while self._queue and self._queue[0][0] < self.scenario.duration:
            when, _, action = heapq.heappop(self._queue)
            self.clock.advance(when - self.clock.now())
            action()
        return self.measures

    def known_slowdowns(self, gateway: Gateway) -> Mapping[EndpointId, float]:
        """Return what a gateway chooses paths by."""
        match self.scenario.method:
            case Method.NONE:
                return {}
            case Method.ORACLE:
                return self.factor_by_id if self.is_slow_time(self.clock.now()) else {}
            case _:
                return gateway.tracker.slowdown_by_id()

    def start_stream(self) -> None:
        """Start a stream at a random gateway; another one follows when it ends."""
        gateway = self.rng.choice(self.gateways)
        known = dict(self.known_loads)
        slow = self.known_slowdowns(gateway)
        finder = PathFinder(ENGINE, known, self.rng, FailureDomainId("d-0"), slowdown_by_id=slow)
        finder.own_domain = FailureDomainId(f"d-{self.rng.randrange(3)}")
        path = finder.find(self.groups, SIZE)
        if path is None:
            self.at(self.clock.now() + 0.1, self.start_stream)
            return
        segments = tuple(
            PacedSegment(
                part.endpoint_id,
                ENGINE,
                self.holder_by_id[part.endpoint_id].accelerator,
                part.layers.count,
                self.holder_by_id[part.endpoint_id].layers.count,
            )
            for part in path.segments
        )
        for part in segments:
            self.load_by_id[part.endpoint_id][0] += 1
            self.load_by_id[part.endpoint_id][1] += SIZE.tokens * part.layer_count
        stream = gateway.tracker.begin(segments)
        self.at(
            self.clock.now() + path.first_token_ms / 1_000,
            lambda: self.event(gateway, stream, segments, 0),
        )

    def event(
        self, gateway: Gateway, stream: PacedStream, segments: tuple[PacedSegment, ...], number: int
    ) -> None:
        """Deliver an event and schedule the next one."""
        now = self.clock.now()
        stream.record_events(1, now)
        if number == EVENTS:
            gateway.tracker.end(stream)
            for part in segments:
                self.load_by_id[part.endpoint_id][0] -= 1
                self.load_by_id[part.endpoint_id][1] -= SIZE.tokens * part.layer_count
            self.start_stream()
            return
        pause_ms = sum(self.pass_ms(part, now) for part in segments)
        if self.is_slow_time(now):
            self.measures.pauses += 1
            sound_ms = sum(
                part.expected_pass_ms(EndpointLoad(*self.load_by_id[part.endpoint_id], 0))
                for part in segments
            )
            self.measures.late_pauses += pause_ms > 2.0 * sound_ms
        self.at(now + pause_ms / 1_000, lambda: self.event(gateway, stream, segments, number + 1))

    def pass_ms(self, part: PacedSegment, now: float) -> float:
        """Return the duration of a pass at an endpoint."""
        load = EndpointLoad(*self.load_by_id[part.endpoint_id], 0)
        factor = self.factor_by_id.get(part.endpoint_id, 1.0) if self.is_slow_time(now) else 1.0
        wait = PASS_WAIT * self.rng.random() if load.sequences > 1 else 0.0
        noise = max(0.5, self.rng.gauss(1.0, PASS_NOISE)) + wait
        return part.expected_pass_ms(load) * factor * noise * self.scenario.misfit(now)

    def tick(self, index: int) -> None:
        """Update the estimates of a gateway and send its report."""
        now = self.clock.now()
        gateway = self.gateways[index]
        summary = gateway.summary if now < gateway.summary_at + 1.5 else NO_SUMMARY
        if self.scenario.method is Method.OWN:
            summary = NO_SUMMARY
        started = time.perf_counter()
        gateway.tracker.update(self.known_loads, summary, (self.ids,))
        self.measures.update_s += time.perf_counter() - started
        self.measures.updates += 1
        report = gateway.tracker.report()
        self.measures.report_entries += len(report)
        if not self.scenario.is_lost(now):
            self.reports[index] = LoadReport({}, slowdown_by_id=report)
        self.at(now + REPORT_S, partial(self.tick, index))

    def push(self) -> None:
        """Send the registry's summary to all gateways."""
        now = self.clock.now()
        self.known_loads = {
            endpoint_id: EndpointLoad(load[0], load[1], 0)
            for endpoint_id, load in self.load_by_id.items()
            if load[0]
        }
        summary = LoadSummary(
            self.known_loads, slowdown_by_id=lowest_slowdowns(self.reports.values())
        )
        if not self.scenario.is_lost(now):
            for gateway in self.gateways:
                gateway.summary, gateway.summary_at = summary, now
        self.at(now + REPORT_S, self.push)

    def measure(self) -> None:
        """Measure what the gateways believe."""
        now = self.clock.now()
        believed = dict.fromkeys(self.ids, 0.0)
        for gateway in self.gateways:
            for endpoint_id, factor in self.known_slowdowns(gateway).items():
                believed[endpoint_id] += (factor > SLOW_ENDPOINT_FACTOR) / len(self.gateways)
        if self.is_slow_time(now):
            sound = [
                believed[endpoint_id]
                for endpoint_id in self.ids
                if endpoint_id not in self.factor_by_id
            ]
            self.measures.blamed.append(mean(sound))
            for endpoint_id in self.factor_by_id:
                if believed[endpoint_id] >= 0.5:
                    self.measures.found_at_by_id.setdefault(endpoint_id, now)
            if self.factor_by_id and now >= self.scenario.onset + 1.0:
                self.measures.known.append(
                    mean(believed[endpoint_id] for endpoint_id in self.factor_by_id)
                )
        elif now >= self.scenario.recovery:
            for endpoint_id in self.factor_by_id:
                if believed[endpoint_id] >= 0.5:
                    self.measures.cleared_at_by_id.pop(endpoint_id, None)
                else:
                    self.measures.cleared_at_by_id.setdefault(endpoint_id, now)
        self.at(now + 0.1, self.measure)


def show(name: str, scenario: Scenario) -> None:
    """Print one row."""
    measures = Simulation(scenario).run()
    found = sorted(when - scenario.onset for when in measures.found_at_by_id.values())
    cleared = sorted(when - scenario.recovery for when in measures.cleared_at_by_id.values())
    cells = (
        name,
        f"{len(found)} of {scenario.slow}",
        f"{median(found):.1f}" if found else "-",
        f"{mean(measures.known):.2f}" if measures.known else "-",
        f"{mean(measures.blamed):.3f}",
        f"{median(cleared):.1f}, {cleared[-1]:.1f}" if cleared else "-",
        f"{measures.late_pauses / max(1, measures.pauses):.3f}",
        f"{measures.report_entries / max(1, measures.updates):.1f}",
        f"{measures.update_s / max(1, measures.updates) * 1e6:.0f}",
    )
    print(f"| {' | '.join(cells)} |", flush=True)


def overload(now: float) -> float:
    """Return the factor of a load that no gateway knows."""
    return 1.0 if now < 5.0 else 1.8


def main() -> None:
    """Print a table of methods and one of failures."""
    print("| case | found | median s | known | sound blamed | clear s | late | entries | us |")
    print("|---|---|---|---|---|---|---|---|---|")
    for method in Method:
        for seed in SEEDS:
            show(f"{method.value}, seed {seed}", Scenario(method=method, seed=seed))
    show("4 gateways", Scenario(gateways=4))
    show("26 gateways, 600 streams", Scenario(gateways=26, streams=600))
    show("all 1.8 times slower", Scenario(slow=0, misfit=overload))
    show("that and 11 slow", Scenario(misfit=overload))
    show("reports lost", Scenario(is_lost=lambda now: now > 4.0))


if __name__ == "__main__":
    main()
