"""Path selection by many gateways at once, none knowing the choices of the others."""

from __future__ import annotations

import random
from collections import Counter

import msgspec

from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_fakes.fleets import make_engine
from lagoonwing_gateway._backlog_estimator import BacklogEstimator
from lagoonwing_gateway.const import OTHER_GATEWAYS_LINK_SHARE
from lagoonwing_placement import (
    DomainLink,
    Holder,
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
TYPICAL = RequestSize(800, 200)
# Link bandwidth of a large deployment.
ENGINE = msgspec.structs.replace(make_engine(), link_mbps=11_000.0)
ACCELERATOR = ENGINE.accelerators[1]


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
        self._estimates = estimates
        self._gateways = [
            (BacklogEstimator(self.clock), random.Random(seed)) for seed in range(GATEWAYS)
        ]

    def start_stream_on_each(self) -> None:
        """Let each gateway start one more stream, if it finds a path."""
        for backlog_estimator, rng in self._gateways:
            finder = PathFinder(ENGINE, {}, rng, backlogs=backlog_estimator.backlogs())
            path = finder.find(self._groups, TYPICAL)
            if path is None:
                continue
            self.paths.append(path)
            if self._estimates:
                prefill_ms_by_id = {
                    segment.endpoint_id: prefill_ms(
                        ENGINE, ACCELERATOR, TYPICAL.prompt_tokens, segment.layers.count
                    )
                    for segment in path.segments
                }
                transfer_time_ms = transfer_ms(ENGINE, TYPICAL.prompt_tokens)
                backlog_estimator.record_request(path, prefill_ms_by_id, transfer_time_ms, GATEWAYS)

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
        initial_ms = GATEWAYS * (
            transfer_time_ms + MAX_LINK_BACKLOG_MS / (GATEWAYS * OTHER_GATEWAYS_LINK_SHARE)
        )
        assert count * transfer_time_ms <= seconds * 1_000 / OTHER_GATEWAYS_LINK_SHARE + initial_ms


def test_estimated_work_drains_in_real_time() -> None:
    """Estimated work of other gateways is removed after its duration."""
    clock = ManualClock()
    backlog_estimator = BacklogEstimator(clock)
    link = DomainLink(FailureDomainId("a"), FailureDomainId("b"))
    backlog_estimator.record_request(Path((), 0.0, 0.0, (link,)), {EndpointId("e"): 10.0}, 20.0, 3)
    backlogs = backlog_estimator.backlogs()
    assert backlogs.transfer_ms_by_link[link] == 20.0 * (1 + 2 * OTHER_GATEWAYS_LINK_SHARE)
    assert 0 < backlogs.prefill_ms_by_id[EndpointId("e")] < 20.0
    clock.advance(0.0401)
    assert backlog_estimator.backlogs().transfer_ms_by_link == {}
    assert backlog_estimator.backlogs().prefill_ms_by_id == {}


def test_single_gateway_estimates_no_other_work() -> None:
    """A single gateway knows all work, so nothing is estimated."""
    backlog_estimator = BacklogEstimator(ManualClock())
    backlog_estimator.record_request(Path((), 0.0, 0.0), {EndpointId("e"): 10.0}, 20.0, 1)
    assert backlog_estimator.backlogs().prefill_ms_by_id == {}
