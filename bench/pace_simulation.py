"""Simulation of slow endpoints and how gateways detect them: `python -m bench.pace_simulation`.

Runs without a network: gateways choose paths by the load that they know, engines take the time that
the published figures, the load, a slowdown and noise give, reports travel through a registry.
"""

from __future__ import annotations

import heapq
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from lagoonwing_catalog.messages import EndpointLoad, LoadReport, LoadSummary
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_fakes.fleets import make_engine
from lagoonwing_gateway._paced_stream import PacedSegment, PacedStream
from lagoonwing_gateway._pace_tracker import PaceTracker
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
# Relative deviation of a pass, and the largest wait for a pass in progress as a share of a pass.
PASS_NOISE = 0.1
PASS_WAIT = 0.5


@dataclass
class Scenario:
    """Load and failures of a run.

    Attributes:
        streams: Streams at the same time.
        slow: Number of slow endpoints.
        onset, recovery: Times between which they are slow.
        misfit: Factor by which all passes take longer than published, by time.
        lost: Whether a report gets lost, by time.
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
    avoids: bool = True


@dataclass
class Gateway:
    """A simulated gateway."""

    tracker: PaceTracker
    summary: LoadSummary = field(default_factory=lambda: LoadSummary({}))
    summary_at: float = -9.0
    streams: int = 0


@dataclass
class Result:
    """Measures of a run."""

    detected_s: list[float] = field(default_factory=list)
    recovered_s: list[float] = field(default_factory=list)
    sound_blamed: float = 0.0
    slow_found: float = 0.0
    late: float = 0.0
    report_entries: float = 0.0
    update_us: float = 0.0


class Simulation:
    """One run of a scenario."""

    def __init__(
        self, scenario: Scenario, make_tracker: Callable[[ManualClock], PaceTracker] = PaceTracker
    ) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.clock = ManualClock()
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
        self.factor_by_id = {one: self.rng.uniform(3.0, 12.0) for one in slow_ids}
        self.load_by_id: dict[EndpointId, list[int]] = {one: [0, 0] for one in self.ids}
        self.known_loads: dict[EndpointId, EndpointLoad] = {}
        self.reports: dict[int, LoadReport] = {}
        self.result = Result()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        self._number += 1
        heapq.heappush(self._queue, (when, self._number, action))

    def is_slow_time(self, now: float) -> bool:
        """Return whether the slow endpoints are slow."""
        return self.scenario.onset <= now < self.scenario.recovery

    def run(self) -> Result:
        """Run the scenario."""
        for number in range(self.scenario.streams):
            self.at(self.rng.random() * 3.0, lambda: self.start_stream())
        for index in range(len(self.gateways)):
            self.at(self.rng.random() * REPORT_S, lambda index=index: self.tick(index))
        self.at(0.1, self.push)
        self.at(1.0, self.measure)
        self.samples = self.ticks = 0
        self.late = self.pauses = 0
        self.spent = 0.0
        found_at: dict[EndpointId, float] = {}
        self.found_at, self.clear_at = found_at, {}
        while self._queue and self._queue[0][0] < self.scenario.duration:
            when, _, action = heapq.heappop(self._queue)
            self.clock.advance(when - self.clock.now())
            action()
        result = self.result
        result.detected_s = sorted(when - self.scenario.onset for when in found_at.values())
        result.recovered_s = sorted(
            when - self.scenario.recovery for when in self.clear_at.values()
        )
        result.late = self.late / max(1, self.pauses)
        result.report_entries /= max(1, self.ticks)
        result.update_us = self.spent / max(1, self.ticks) * 1e6
        return result

    def start_stream(self) -> None:
        """Start a stream at a random gateway; another one follows when it ends."""
        gateway = self.rng.choice(self.gateways)
        known = dict(self.known_loads)
        slow = gateway.tracker.slowdown_by_id() if self.scenario.avoids else {}
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
            self.pauses += 1
            sound_ms = sum(
                part.expected_pass_ms(EndpointLoad(*self.load_by_id[part.endpoint_id], 0))
                for part in segments
            )
            self.late += pause_ms > 2.0 * sound_ms
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
        summary = gateway.summary if now < gateway.summary_at + 1.5 else LoadSummary({})
        started = time.perf_counter()
        gateway.tracker.update(self.known_loads, summary, (self.ids,))
        self.spent += time.perf_counter() - started
        self.ticks += 1
        report = gateway.tracker.report()
        self.result.report_entries += len(report)
        if not self.scenario.is_lost(now):
            self.reports[index] = LoadReport({}, slowdown_by_id=report)
        self.at(now + REPORT_S, lambda: self.tick(index))

    def push(self) -> None:
        """Send the registry's summary to all gateways."""
        now = self.clock.now()
        self.known_loads = {
            one: EndpointLoad(load[0], load[1], 0) for one, load in self.load_by_id.items()
        }
        summary = LoadSummary(
            self.known_loads, slowdown_by_id=lowest_slowdowns(self.reports.values())
        )
        if not self.scenario.is_lost(now):
            for gateway in self.gateways:
                gateway.summary, gateway.summary_at = summary, now
        self.at(now + REPORT_S, self.push)

    def measure(self) -> None:
        """Take the share of gateways that believe each endpoint slow."""
        now = self.clock.now()
        believed = {one: 0 for one in self.ids}
        for gateway in self.gateways:
            for one, factor in gateway.tracker.slowdown_by_id().items():
                believed[one] += factor > 1.5
        half = len(self.gateways) / 2
        slow = self.factor_by_id if self.is_slow_time(now) else {}
        for one in self.factor_by_id:
            if self.is_slow_time(now) and believed[one] >= half:
                self.found_at.setdefault(one, now)
            if now >= self.scenario.recovery:
                if believed[one] >= half:
                    self.clear_at.pop(one, None)
                else:
                    self.clear_at.setdefault(one, now)
        sound = [believed[one] for one in self.ids if one not in slow]
        self.samples += 1
        if now < self.scenario.recovery:
            self.result.sound_blamed = max(
                self.result.sound_blamed, sum(sound) / len(sound) / len(self.gateways)
            )
            self.blamed_sum = getattr(self, "blamed_sum", 0.0) + sum(sound) / len(sound) / len(
                self.gateways
            )
        if self.scenario.onset + 1.0 <= now < self.scenario.recovery:
            self.slow_samples = getattr(self, "slow_samples", 0) + 1
            self.result.slow_found += (
                sum(believed[one] for one in slow) / max(1, len(slow)) / len(self.gateways)
            )
        self.at(now + 0.1, self.measure)


def show(
    name: str, scenario: Scenario, make_tracker: Callable[..., PaceTracker] = PaceTracker
) -> None:
    """Print one row."""
    simulation = Simulation(scenario, make_tracker)
    result = simulation.run()
    steps = (scenario.recovery - 1.0) * 10
    found = result.detected_s
    mid = f"{found[len(found) // 2]:.1f}" if found else "-"
    clear = result.recovered_s
    back = f"{clear[len(clear) // 2]:.1f}/{clear[-1]:.1f}" if clear else "-"
    print(
        f"| {name} | {len(found)}/{scenario.slow} | {mid} |"
        f" {result.slow_found / max(1, getattr(simulation, 'slow_samples', 0)):.2f} |"
        f" {getattr(simulation, 'blamed_sum', 0.0) / steps:.3f} | {result.sound_blamed:.3f} |"
        f" {back} | {result.late:.3f} | {result.report_entries:.1f} | {result.update_us:.0f} |",
        flush=True,
    )


def main() -> None:
    """Print a table."""
    print(
        "| case | found | median s | known | sound blamed | at most | back s | late | entries | us |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    if len(sys.argv) > 1:
        for seed in (1, 2):
            show("106 gateways", Scenario(seed=seed))
        show("4 gateways", Scenario(gateways=4))
        return
    show("106 gateways", Scenario())
    show("106 gateways, paths fixed", Scenario(avoids=False))
    show("4 gateways", Scenario(gateways=4))
    show("26 gateways, 600 streams", Scenario(gateways=26, streams=600))
    overload = lambda now: 1.0 if now < 5 else 1.8
    show("all slower by 1.8", Scenario(slow=0, misfit=overload))
    show("all slower by 1.8 and 11 slow", Scenario(misfit=overload))
    show("reports lost", Scenario(is_lost=lambda now: now > 4))


if __name__ == "__main__":
    main()
