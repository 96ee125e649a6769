"""Path selection by many gateways at once, none knowing the choices of the others."""

from __future__ import annotations

import math
import random
from collections import Counter

import msgspec

from lagoonwing_catalog.messages import LoadSummary
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import EndpointId, FailureDomainId, ServiceId
from lagoonwing_fakes.fleets import make_engine
from lagoonwing_gateway._holder_classes import classify_holders
from lagoonwing_gateway._load_tracker import LoadTracker
from lagoonwing_gateway._started_work import StartedWork
from lagoonwing_gateway._unreported_work import OthersLoad, UnreportedWork
from lagoonwing_placement import (
    DomainLink,
    Holder,
    HolderGroup,
    Path,
    PathFinder,
    PlacementEndpoint,
    RequestSize,
    group_holders,
    plan,
    prefill_ms,
    transfer_ms,
)
from lagoonwing_placement.const import MAX_LINK_BACKLOG_MS

GATEWAYS = 35
SERVICE = ServiceId("s")
TYPICAL = RequestSize(800, 200)
# Share of its own transfers that a gateway must at least expect of each other one.
LINK_SHARE = 0.5
# Link bandwidth of a large deployment.
ENGINE = msgspec.structs.replace(make_engine(), link_mbps=11_000.0)
ACCELERATOR = ENGINE.accelerators[1]


class GatewayStub:
    """Choices of one gateway that gets no load reports."""

    def __init__(self, clock: ManualClock, rng: random.Random, *, estimates: bool) -> None:
        self._rng = rng
        self._estimates = estimates
        self._load_tracker = LoadTracker()
        others = OthersLoad(LoadSummary({}), math.inf, GATEWAYS)
        self._unreported_work = UnreportedWork(lambda: others, StartedWork(clock), clock, rng)

    def start_stream(self, groups: tuple[HolderGroup, ...]) -> Path | None:
        """Start a stream, if there is a path for it."""
        load_by_id = self._load_tracker.loads({})
        classes = classify_holders(ENGINE, groups)
        backlogs = self._unreported_work.stream_backlogs(
            SERVICE, TYPICAL.tokens, classes, load_by_id, lambda endpoint_id: True
        )
        path = PathFinder(ENGINE, load_by_id, self._rng, backlogs=backlogs).find(groups, TYPICAL)
        if path is None:
            return None
        prefill_ms_by_id = {
            segment.endpoint_id: prefill_ms(
                ENGINE, ACCELERATOR, TYPICAL.prompt_tokens, segment.layers.count
            )
            for segment in path.segments
        }
        if not self._estimates:
            return path
        self._load_tracker.reserve(path, TYPICAL, prefill_ms_by_id)
        transfer_time_ms = transfer_ms(ENGINE, TYPICAL.prompt_tokens)
        self._unreported_work.record_stream(SERVICE, TYPICAL.tokens, path.links, transfer_time_ms)
        return path


class GatewayFleet:
    """Gateways in front of one set of endpoints, without any load reports."""

    def __init__(self, count_by_domain: dict[str, int], *, estimates: bool) -> None:
        self.clock = ManualClock()
        self.paths: list[Path] = []
        endpoints = [
            PlacementEndpoint(
                EndpointId(f"{domain}-{number}"), FailureDomainId(domain), ACCELERATOR
            )
            for domain, count in count_by_domain.items()
            for number in range(count)
        ]
        layers_by_id = plan(ENGINE, endpoints)
        self._groups = group_holders(
            ENGINE,
            [
                Holder(
                    endpoint.endpoint_id,
                    endpoint.failure_domain,
                    ACCELERATOR,
                    layers_by_id[endpoint.endpoint_id],
                    ENGINE.slots,
                )
                for endpoint in endpoints
            ],
        )
        self._gateways = [
            GatewayStub(self.clock, random.Random(seed), estimates=estimates)
            for seed in range(GATEWAYS)
        ]

    def start_stream_on_each(self) -> None:
        """Let each gateway start one more stream, if it finds a path."""
        for gateway in self._gateways:
            path = gateway.start_stream(self._groups)
            if path is not None:
                self.paths.append(path)

    def imbalance(self) -> float:
        """Return the load of the busiest endpoint relative to the mean."""
        layers_by_id: Counter[EndpointId] = Counter()
        for path in self.paths:
            for segment in path.segments:
                layers_by_id[segment.endpoint_id] += segment.layers.count
        endpoint_count = sum(len(group.endpoint_ids) for group in self._groups)
        return max(layers_by_id.values()) * endpoint_count / layers_by_id.total()

    def paths_by_link(self) -> Counter[DomainLink]:
        """Return the number of paths over each link."""
        return Counter(link for path in self.paths for link in path.links)


def test_simultaneous_streams_spread_over_the_holders() -> None:
    """After a loss, each gateway moves several streams before it gets any load report."""
    imbalance_by_estimates = {}
    for estimates in (False, True):
        fleet = GatewayFleet({"a": 20, "b": 20, "c": 20}, estimates=estimates)
        for _ in range(6):
            fleet.start_stream_on_each()
        imbalance_by_estimates[estimates] = fleet.imbalance()
    assert imbalance_by_estimates[True] <= 1.5
    assert imbalance_by_estimates[True] < imbalance_by_estimates[False]


def test_links_are_not_overloaded() -> None:
    """If no domain holds the model, streams are held back before links are overloaded."""
    seconds, streams_per_s = 4.0, 5
    fleet = GatewayFleet({"a": 3, "b": 3, "c": 3}, estimates=True)
    for _ in range(int(seconds * streams_per_s)):
        fleet.start_stream_on_each()
        fleet.clock.advance(1.0 / streams_per_s)
    transfer_time_ms = transfer_ms(ENGINE, TYPICAL.prompt_tokens)
    assert fleet.paths
    for count in fleet.paths_by_link().values():
        initial_ms = GATEWAYS * (transfer_time_ms + MAX_LINK_BACKLOG_MS / (GATEWAYS * LINK_SHARE))
        assert count * transfer_time_ms <= seconds * 1_000 / LINK_SHARE + initial_ms
