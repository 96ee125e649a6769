"""Expected work of other gateways that no load report tells of yet.

What is known of the others is always a little old, and many gateways choose at the same moment. The
choices are randomised so that together they fill the endpoints evenly (design 070).
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lagoonwing_catalog.messages import EndpointLoad, LoadSummary
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_gateway._even_load import KnownLoads, draw_loads, unreported_work
from lagoonwing_gateway._holder_classes import HolderClass
from lagoonwing_gateway._link_backlogs import LinkBacklogs
from lagoonwing_gateway._started_work import StartedWork
from lagoonwing_gateway.const import CALL_COST, LOAD_REPORT_DELAY_S, MAX_UNREPORTED_S
from lagoonwing_placement import Backlogs, DomainLink

_NO_LOAD = EndpointLoad(0, 0, 0)

_LoadById = Mapping[EndpointId, EndpointLoad]


@dataclass(frozen=True, slots=True)
class OthersLoad:
    """What is known of the other gateways.

    Attributes:
        summary: Their load; without loads and transfers if it is outdated.
        age_s: Time since the summary was received; infinite without any.
        gateways: Number of gateways, including this one.
    """

    summary: LoadSummary
    age_s: float
    gateways: int

    @property
    def unreported_s(self) -> float:
        """Time of which the reports in the summary don't tell yet."""
        return min(MAX_UNREPORTED_S, self.age_s + LOAD_REPORT_DELAY_S)

    def started_cost_per_s(self, service_id: ServiceId) -> float:
        """Return the cost of the requests that they start per second, as reported."""
        pressure = self.summary.pressure_by_service.get(service_id)
        return 0.0 if pressure is None else pressure.started_cost_per_s


@dataclass(frozen=True, slots=True)
class CallTarget:
    """An endpoint that may get a call.

    Attributes:
        endpoint_id: Id of the endpoint.
        own: Own calls in flight there.
        remote: Calls of the others in flight there, as reported.
        capacity: Calls in flight that raise its cost by one.
        base_cost: Its cost without any call in flight.
    """

    endpoint_id: EndpointId
    own: int
    remote: int
    capacity: float
    base_cost: float


class UnreportedWork:
    """Estimates the work that the others have started since their reports.

    They choose by what they know. So their choices depend on own work that they know, and not on
    own work that they don't, which is added after the draw.
    """

    def __init__(
        self,
        others: Callable[[], OthersLoad],
        started_work: StartedWork,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._others = others
        self._started_work = started_work
        self._link_backlogs = LinkBacklogs(clock)
        self._rng = rng
        # The last two reports of this gateway; the others probably know the first.
        self._own_reports: tuple[_LoadById, _LoadById] = ({}, {})
        self._requests_by_service: dict[ServiceId, float] = {}

    @property
    def requests(self) -> float:
        """Expected number of unreported requests, as of the last choice for each service."""
        return sum(self._requests_by_service.values())

    @callback
    def record_report(self, own_by_id: _LoadById) -> None:
        """Record the load that this gateway reports."""
        self._own_reports = (self._own_reports[1], own_by_id)

    @callback
    def record_stream(
        self, service_id: ServiceId, cost: float, links: tuple[DomainLink, ...], transfer_ms: float
    ) -> None:
        """Record a stream that is about to be sent.

        Args:
            service_id: Service of the stream.
            cost: Cost of the stream.
            links: Links between failure domains that its path uses.
            transfer_ms: Transfer time of the prompt over each link.
        """
        self._started_work.record_request(service_id, cost)
        self._started_work.record_transfers(links, transfer_ms)
        others = self._others()
        reported_by_link = _transfers_by_link(others.summary)
        for link in links:
            self._link_backlogs.record_transfer(
                link, transfer_ms, others.gateways, reported_by_link
            )

    @callback
    def record_call(self, service_id: ServiceId) -> None:
        """Record a call that is about to be sent."""
        self._started_work.record_request(service_id, CALL_COST)

    def stream_backlogs(
        self,
        service_id: ServiceId,
        mean_cost: float,
        classes: Iterable[HolderClass],
        own_by_id: _LoadById,
        is_usable: Callable[[EndpointId], bool],
    ) -> Backlogs:
        """Return the unreported work at each endpoint, drawn at random for one choice.

        Args:
            service_id: Service of the stream.
            mean_cost: Mean cost of its streams.
            classes: Endpoints that hold its layers.
            own_by_id: Load of this gateway.
            is_usable: Returns whether an endpoint may be used.
        """
        others = self._others()
        links = self._link_backlogs.remaining_ms(_transfers_by_link(others.summary))
        requests = self._expected_requests(service_id, mean_cost, others)
        drain_ms = self._drain_ms(service_id, requests * mean_cost, others)
        backlogs = _DrawnBacklogs()
        if requests > 0.0:
            for holder_class in classes:
                loads = self._stream_loads(holder_class, own_by_id, others, is_usable)
                self._draw(holder_class, loads, requests, drain_ms, backlogs)
        return Backlogs(backlogs.prefill_ms_by_id, links, backlogs.sequences_by_id)

    def _stream_loads(
        self,
        holder_class: HolderClass,
        own_by_id: _LoadById,
        others: OthersLoad,
        is_usable: Callable[[EndpointId], bool],
    ) -> _StreamLoads:
        """Return the known loads of a class, in the unit in which `PathFinder` ranks them."""
        unreported_ms = others.unreported_s * 1_000
        remote_by_id, reported_by_id = others.summary.load_by_id, self._own_reports[0]
        loads = _StreamLoads()
        for endpoint_id, slots in holder_class.slots_by_id.items():
            remote = remote_by_id.get(endpoint_id, _NO_LOAD)
            own = own_by_id.get(endpoint_id, _NO_LOAD)
            sequences = remote.sequences
            if sequences + own.sequences >= slots or not is_usable(endpoint_id):
                continue
            # Prefill that was reported has been done since, as far as there was time for it.
            prefill_ms = remote.prefill_ms
            done_ms = unreported_ms if unreported_ms < prefill_ms else prefill_ms
            shared = prefill_ms - done_ms + sequences
            unknown = 0.0
            if own is not _NO_LOAD:
                reported = reported_by_id.get(endpoint_id, _NO_LOAD)
                known = min(own.prefill_ms, reported.prefill_ms)
                known += min(own.sequences, reported.sequences)
                shared += known
                unknown = own.prefill_ms + own.sequences - known
            loads.endpoint_ids.append(endpoint_id)
            loads.done_ms.append(done_ms)
            loads.known.add(shared, unknown)
        return loads

    def _draw(
        self,
        holder_class: HolderClass,
        loads: _StreamLoads,
        requests: float,
        drain_ms: float,
        backlogs: _DrawnBacklogs,
    ) -> None:
        """Draw the unreported work at the endpoints of a class.

        Of the prefill that others have started since their reports, an endpoint has done what it
        had time for beside the reported prefill.
        """
        visit_load, prefill_by_id = holder_class.visit_load, backlogs.prefill_ms_by_id
        prefill_share = holder_class.prefill_ms / visit_load
        work = requests * holder_class.share * visit_load
        known = loads.known
        drawn_loads = draw_loads(known, work, visit_load, self._rng)
        for endpoint_id, done_ms, shared, own, drawn in zip(
            loads.endpoint_ids, loads.done_ms, known.shared, known.own, drawn_loads, strict=True
        ):
            added = drawn - shared - own
            added_ms = added * prefill_share
            if done_ms < drain_ms:
                added_ms -= drain_ms - done_ms
            if added_ms < 0.0:
                added_ms = 0.0
            prefill_by_id[endpoint_id] = added_ms - done_ms
            backlogs.sequences_by_id[endpoint_id] = added - added_ms

    def call_costs(self, service_id: ServiceId, targets: Sequence[CallTarget]) -> list[float]:
        """Return the cost of each endpoint with unreported calls, drawn at random for one choice.

        Calls that were reported have partly ended since, at the rate at which others are started.
        """
        others = self._others()
        started = self._expected_requests(service_id, CALL_COST, others)
        reported = sum(target.remote for target in targets)
        # By Little's law, they take reported calls x unreported time / started calls on average.
        remaining_share = math.exp(-started / reported) if reported else 1.0
        in_flight = reported * (1.0 - remaining_share) if reported else started
        loads = KnownLoads()
        for target in targets:
            own_reported = self._own_reports[0].get(target.endpoint_id, _NO_LOAD)
            known = min(target.own, own_reported.sequences)
            shared = (known + target.remote * remaining_share) / target.capacity
            unknown = (target.own - known) / target.capacity
            loads.add(target.base_cost + shared, unknown, target.capacity)
        return draw_loads(loads, in_flight, 1.0, self._rng)

    def _drain_ms(self, service_id: ServiceId, cost: float, others: OthersLoad) -> float:
        """Return the time that endpoints had for unreported work, in milliseconds.

        Work at the reported rate began evenly since the reports. Work beyond it began when own
        requests did: those of a burst have only just begun.
        """
        unreported_s = others.unreported_s
        reported = others.started_cost_per_s(service_id) * unreported_s
        reported_share = min(1.0, reported / cost) if cost else 1.0
        # Requests that start evenly over a time have half of it as their mean age.
        burst_s = min(unreported_s, 2 * self._started_work.mean_age_s(service_id, unreported_s))
        return 1_000 * (reported_share * unreported_s + (1.0 - reported_share) * burst_s)

    def _expected_requests(
        self, service_id: ServiceId, mean_cost: float, others: OthersLoad
    ) -> float:
        """Return the expected number of requests that no report tells of yet."""
        cost = unreported_work(
            others.started_cost_per_s(service_id),
            others.unreported_s,
            self._started_work.cost_since(service_id, others.unreported_s),
            others.gateways,
        )
        self._requests_by_service[service_id] = cost / mean_cost
        return cost / mean_cost


@dataclass(slots=True)
class _DrawnBacklogs:
    """Unreported work at each endpoint, drawn for one choice."""

    prefill_ms_by_id: dict[EndpointId, float] = field(default_factory=dict)
    sequences_by_id: dict[EndpointId, float] = field(default_factory=dict)


@dataclass(slots=True)
class _StreamLoads:
    """Known loads of endpoints.

    Attributes:
        done_ms: Reported prefill that has been done since.
    """

    endpoint_ids: list[EndpointId] = field(default_factory=list)
    done_ms: list[float] = field(default_factory=list)
    known: KnownLoads = field(default_factory=KnownLoads)


def _transfers_by_link(summary: LoadSummary) -> dict[DomainLink, float]:
    """Return the reported transfer time per second by link, in milliseconds."""
    return {
        DomainLink(transfers.source, transfers.target): transfers.started_ms_per_s
        for transfers in summary.transfers
    }
