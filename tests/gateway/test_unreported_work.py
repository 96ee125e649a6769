"""Path selection by many gateways at once, none knowing the choices of the others."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Mapping

import msgspec
import pytest

from lagoonwing_catalog.messages import (
    DomainTransfers,
    EndpointLoad,
    LoadSummary,
    ServicePressure,
)
from lagoonwing_catalog.models import LayerRange
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import EndpointId, FailureDomainId, ServiceId
from lagoonwing_fakes.fleets import make_engine
from lagoonwing_gateway._holder_classes import HolderClass, classify_holders
from lagoonwing_gateway._load_tracker import LoadTracker
from lagoonwing_gateway._started_work import StartedWork
from lagoonwing_gateway._unreported_work import CallTarget, OthersLoad, UnreportedWork
from lagoonwing_gateway.const import CALL_COST, LOAD_REPORT_DELAY_S, OWN_SAMPLE_SHARE
from lagoonwing_placement import (
    Backlogs,
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
CALL_SERVICE = ServiceId("c")
IDS = tuple(EndpointId(f"e-{number}") for number in range(10))
HOLDER_CLASS = HolderClass(dict.fromkeys(IDS, 96), 1.0, 5.0)
LINK = DomainLink(FailureDomainId("a"), FailureDomainId("b"))
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


class Neighbours:
    """What one gateway knows of the others, and its estimate of their unreported work."""

    def __init__(self, summary: LoadSummary, age_s: float, gateways: int, seed: int = 0) -> None:
        self.clock = ManualClock()
        self.others = OthersLoad(summary, age_s, gateways)
        self.started_work = StartedWork(self.clock)
        self.unreported_work = UnreportedWork(
            lambda: self.others, self.started_work, self.clock, random.Random(seed)
        )

    def links(self) -> Mapping[DomainLink, float]:
        """Return the expected backlog by link."""
        backlogs = self.unreported_work.stream_backlogs(SERVICE, 1_000.0, (), {}, is_usable)
        return backlogs.transfer_ms_by_link

    def backlogs(self, own_by_id: Mapping[EndpointId, EndpointLoad] | None = None) -> Backlogs:
        """Return the unreported work at ten endpoints."""
        return self.unreported_work.stream_backlogs(
            SERVICE, 1_000.0, (HOLDER_CLASS,), own_by_id or {}, is_usable
        )


def is_usable(endpoint_id: EndpointId) -> bool:
    """Return that an endpoint may be used."""
    return True


def make_summary(
    load_by_id: dict[EndpointId, EndpointLoad], cost_per_s: float, link_ms_per_s: float = 0.0
) -> LoadSummary:
    """Return what the others report."""
    transfers = (DomainTransfers(LINK.source, LINK.target, link_ms_per_s),)
    return LoadSummary(
        load_by_id,
        pressure_by_service={SERVICE: ServicePressure(cost_per_s, {})},
        transfers=transfers if link_ms_per_s else (),
    )


def choose_calls(summary: LoadSummary, age_s: float, gateways: int) -> Counter[int]:
    """Return how many of the gateways send one call each to each of four endpoints."""
    chosen: Counter[int] = Counter()
    for seed in range(gateways):
        targets = [
            CallTarget(
                endpoint_id,
                0,
                summary.load_by_id.get(endpoint_id, EndpointLoad(0, 0, 0)).sequences,
                6.0,
                1 / 6,
            )
            for endpoint_id in IDS[:4]
        ]
        gateway = Neighbours(summary, age_s, gateways, seed)
        costs = gateway.unreported_work.call_costs(SERVICE, targets)
        chosen[costs.index(min(costs))] += 1
    return chosen


def test_single_gateway_estimates_no_other_work() -> None:
    """One gateway alone knows all work: whatever it starts, nothing is added at endpoints."""
    gateway = Neighbours(LoadSummary({}), 0.1, 1)
    gateway.unreported_work.record_stream(SERVICE, 50_000.0, (LINK,), 20.0)
    backlogs = gateway.backlogs()
    assert backlogs.prefill_ms_by_id == {}
    assert backlogs.sequences_by_id == {}
    assert backlogs.transfer_ms_by_link == {LINK: 20.0}


def test_reported_prefill_has_been_done_since() -> None:
    """Reports 0.4 s old: an endpoint isn't avoided for prefill that it has finished by now."""
    loads = {IDS[0]: EndpointLoad(1, 0, 300), IDS[1]: EndpointLoad(1, 0, 2_000)}
    gateway = Neighbours(make_summary(loads, 1.0), 0.4 - LOAD_REPORT_DELAY_S, 26)
    prefill_ms_by_id = gateway.backlogs().prefill_ms_by_id
    assert 300 + prefill_ms_by_id[IDS[0]] == pytest.approx(0, abs=20)
    assert 2_000 + prefill_ms_by_id[IDS[1]] == pytest.approx(1_600, abs=1)


def test_steady_load_is_no_queue() -> None:
    """Steady load of a third of the prefill: endpoints keep up, so no path is taken as full."""
    # 10 endpoints and 5 ms a request: 667 requests per second take 0.33 s of each second.
    gateway = Neighbours(make_summary({}, 667_000.0), 0.1, 26)
    assert gateway.unreported_work.requests == 0.0
    backlogs = gateway.backlogs()
    assert gateway.unreported_work.requests == pytest.approx(233, rel=0.01)
    assert max(backlogs.prefill_ms_by_id.values()) == 0.0
    # The same when cut off, and where only own starts show it.
    assert (
        max(Neighbours(make_summary({}, 667_000.0), 9.0, 26).backlogs().prefill_ms_by_id.values())
        == 0.0
    )
    gateway = Neighbours(LoadSummary({}), math.inf, 26)
    for _ in range(60):
        gateway.clock.advance(0.04)
        gateway.unreported_work.record_stream(SERVICE, 1_000.0, (), 0.0)
    assert max(gateway.backlogs().prefill_ms_by_id.values()) == 0.0


def test_burst_is_a_queue() -> None:
    """After a crash, what all gateways have just started is still before the endpoints."""
    gateway = Neighbours(make_summary({}, 1_000.0), 0.1, 35)
    gateway.unreported_work.record_stream(SERVICE, 6_000.0, (), 0.0)
    gateway.clock.advance(0.005)
    # 102 requests of 5 ms at ten endpoints; drawn positions lie between nothing and all of it.
    prefill_ms = sorted(gateway.backlogs().prefill_ms_by_id.values())
    assert 30.0 <= prefill_ms[-1] <= 55.0
    # The endpoints have done these 51 ms each by now; what is done must not repel further streams.
    gateway.clock.advance(0.06)
    assert max(gateway.backlogs().prefill_ms_by_id.values()) == 0.0


def test_own_work_counts_once() -> None:
    """Own work is known exactly: before and after it was reported, the load is the same."""
    own_by_id = {endpoint_id: EndpointLoad(5, 0, 100) for endpoint_id in IDS}
    gateway = Neighbours(make_summary({}, 1_000.0), 0.1, 26)
    # About 0.35 requests at ten endpoints: less than one each.
    for _ in range(3):
        backlogs = gateway.backlogs(own_by_id)
        assert max(backlogs.sequences_by_id.values()) < 1.0
        assert max(backlogs.prefill_ms_by_id.values()) < 5.0
        gateway.unreported_work.record_report(own_by_id)


def test_gateway_cut_off_spreads_by_the_last_known_demand() -> None:
    """Reports lost: 26 gateways without a summary for 1.5 s must not all take one endpoint."""
    chosen: Counter[EndpointId] = Counter()
    for seed in range(260):
        gateway = Neighbours(make_summary({}, 200_000.0), 10.0, 26, seed)
        rank_by_id = gateway.backlogs({IDS[0]: EndpointLoad(40, 0, 100)}).sequences_by_id
        chosen[min(rank_by_id, key=rank_by_id.__getitem__)] += 1
    assert max(chosen.values()) <= 45
    # Own work is known, and nine others have less of it.
    assert set(chosen) == set(IDS[1:])


def test_gateway_that_has_just_started_adds_nothing() -> None:
    """Without any summary and own start, the choice is that of the least loaded."""
    gateway = Neighbours(LoadSummary({}), math.inf, 32)
    assert gateway.backlogs() == Backlogs()


def test_demand_that_the_previous_version_does_not_report_is_sampled() -> None:
    """Beside gateways of the previous version there is no rate; own starts stand for theirs."""
    gateway = Neighbours(LoadSummary({IDS[0]: EndpointLoad(3, 0, 0)}), 0.1, 26)
    assert gateway.backlogs().sequences_by_id == {}
    gateway.unreported_work.record_stream(SERVICE, 1_000.0, (), 0.0)
    assert gateway.unreported_work.requests == 0.0
    gateway.backlogs()
    assert gateway.unreported_work.requests == 25 * OWN_SAMPLE_SHARE


def test_calls_of_many_gateways_spread_over_few_endpoints() -> None:
    """40 gateways with one call each between two reports, 4 endpoints of 6 slots."""
    loads = {IDS[0]: EndpointLoad(1, 0, 0), **{id_: EndpointLoad(4, 0, 0) for id_ in IDS[1:4]}}
    chosen = choose_calls(make_summary(loads, 40 * CALL_COST / 0.35), 0.1, 40)
    assert max(chosen.values()) <= 20
    assert min(chosen[number] for number in range(4)) >= 3


def test_calls_by_fresh_reports_go_to_the_least_loaded() -> None:
    """Where hardly any call is unreported, all gateways rightly choose the idle endpoint."""
    loads = {id_: EndpointLoad(4, 0, 0) for id_ in IDS[1:4]}
    chosen = choose_calls(make_summary(loads, CALL_COST), 0.0, 40)
    assert chosen[0] == 40


def test_own_transfers_drain_in_real_time() -> None:
    """A link takes paths again once its transfers are done."""
    gateway = Neighbours(LoadSummary({}), math.inf, 3)
    gateway.unreported_work.record_stream(SERVICE, 1_000.0, (LINK,), 20.0)
    assert gateway.links() == {LINK: 20.0 * (1 + 2 * OWN_SAMPLE_SHARE)}
    gateway.clock.advance(0.0401)
    assert gateway.links() == {}


def test_link_in_steady_use_is_not_closed_by_one_own_start() -> None:
    """700 gateways on a link that is used to 0.6: one start each 6 s is no burst of all."""
    gateway = Neighbours(make_summary({}, 0.0, 600.0), 0.1, 700)
    for _ in range(5):
        gateway.unreported_work.record_stream(SERVICE, 1_000.0, (LINK,), 5.0)
        assert gateway.links()[LINK] < MAX_LINK_BACKLOG_MS
        gateway.clock.advance(6.0)


def test_burst_on_a_link_without_reported_transfers_closes_it() -> None:
    """After a crash, 35 gateways turn to a link that nobody used: it is closed at once."""
    gateway = Neighbours(make_summary({}, 0.0), 0.1, 35)
    gateway.unreported_work.record_stream(SERVICE, 1_000.0, (LINK,), 50.0)
    assert gateway.links()[LINK] > MAX_LINK_BACKLOG_MS


def test_link_overloaded_by_the_others_is_closed_in_turns() -> None:
    """Others start twice what a link carries: it is open about half of the time."""
    gateway = Neighbours(make_summary({}, 0.0, 2_000.0), 0.1, 35)
    open_count = 0
    for _ in range(1_000):
        open_count += gateway.links().get(LINK, 0.0) <= MAX_LINK_BACKLOG_MS
        gateway.clock.advance(0.01)
    assert 350 <= open_count <= 700


def test_started_work_is_reported_per_second() -> None:
    """The rate of a steady load is the mean over a second, and ends with the load."""
    gateway = Neighbours(LoadSummary({}), math.inf, 4)
    for _ in range(40):
        gateway.clock.advance(0.05)
        gateway.unreported_work.record_stream(SERVICE, 100.0, (LINK,), 2.0)
        gateway.unreported_work.record_call(CALL_SERVICE)
    rates = gateway.started_work.cost_per_s()
    assert rates[SERVICE] == pytest.approx(2_000.0, rel=0.06)
    assert rates[CALL_SERVICE] == pytest.approx(20 * CALL_COST, rel=0.06)
    (transfers,) = gateway.started_work.transfers()
    assert transfers.started_ms_per_s == pytest.approx(40.0, rel=0.06)
    assert gateway.started_work.cost_since(SERVICE, 0.5) == pytest.approx(1_000.0, rel=0.11)
    gateway.clock.advance(1.1)
    assert gateway.started_work.cost_per_s() == {}
    assert gateway.started_work.transfers() == ()


def test_classes_share_the_paths_by_their_holders() -> None:
    """Endpoints that hold more layers than others compete with several classes of them."""
    groups = group_holders(
        ENGINE,
        [
            Holder(EndpointId(name), FailureDomainId("a"), ACCELERATOR, LayerRange(*layers), 96)
            for name, layers in {"l": (0, 40), "m": (40, 80), "all": (0, 80)}.items()
        ],
    )
    shares = [holder_class.share for holder_class in classify_holders(ENGINE, groups)]
    assert shares == [0.5, 0.5, 0.5]
