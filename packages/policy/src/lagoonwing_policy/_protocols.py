"""Interfaces between the scheduler and routing, retries and quarantine."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from expression import Result

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import Attempt, EndpointId, Fingerprint
from lagoonwing_core.models import EndpointRecord, PlannedStop, Quarantine
from lagoonwing_policy.models import (
    AttemptFailed,
    AttemptResult,
    ClearSuspect,
    EndpointLoad,
    ReportSuspects,
    RequestProfile,
    Route,
    RouteStage,
)
from lagoonwing_policy.sharing.models import CapacitySpan


@dataclass(slots=True)
class EndpointUse:
    """Attempts of this entry host on one endpoint.

    Attributes:
        running: Number of attempts in flight.
        long_running: Number of those that are long work.
        exclusive: Whether an exclusive attempt is running here.
    """

    running: int = 0
    long_running: int = 0
    exclusive: bool = False


@dataclass(frozen=True, slots=True)
class NoFreeSlot:
    """All routes are in use; one may become free."""


RouteFailure = NoFreeSlot | Refusal


class Router(Protocol):
    """Chooses routes; holds the endpoint table, stops, load reports and prefix hints."""

    def set_endpoints(self, records: Iterable[EndpointRecord], now: float) -> None:
        """Replace the endpoint table."""

    def set_stops(self, stops: Iterable[PlannedStop]) -> None:
        """Replace the planned stops."""

    def choose(
        self,
        profile: RequestProfile,
        loads_by_endpoint: Mapping[EndpointId, EndpointUse],
        excluded: frozenset[EndpointId],
        exclusive: bool,
        now: float,
    ) -> Result[Route, RouteFailure]:
        """Return a route on which every endpoint has a free slot.

        Args:
            profile: Profile of the request.
            loads_by_endpoint: Attempts of this host in flight; missing endpoints are idle.
            excluded: Endpoints that must not be used.
            exclusive: Whether every endpoint of the route must be idle.
            now: Time in seconds.

        Returns:
            The route, `NoFreeSlot`, or a refusal with `NO_ENDPOINT` or `INCOMPLETE_PIPELINE`.
        """

    def exclusive_route(self, profile: RequestProfile, now: float) -> Result[Route, RouteFailure]:
        """Return the route that a suspect has to run on, whether or not it is idle."""

    def on_attempt_ended(
        self, profile: RequestProfile, route: Route, result: AttemptResult, now: float
    ) -> None:
        """Update endpoint health from the result of an attempt."""

    def set_entry_hosts(self, count: int) -> None:
        """Divide every endpoint evenly among `count` entry hosts."""

    def set_capacity_spans(
        self, span_by_pool: Mapping[str, CapacitySpan], even_span: CapacitySpan
    ) -> None:
        """Set the span of each pool's limits that this entry host may use."""

    def replace_stage(
        self,
        profile: RequestProfile,
        route: Route,
        failed: RouteStage,
        loads_by_endpoint: Mapping[EndpointId, EndpointUse],
        now: float,
    ) -> Result[RouteStage, Refusal]:
        """Return another stage that holds the layers of `failed`."""

    def report_load(self, load: EndpointLoad, own_in_flight: int) -> None:
        """Record a load report and the attempts that this host has in flight there now."""

    def report_prefix(self, endpoint_id: EndpointId, prefix_hash: str, held: bool) -> None:
        """Record a cache event."""

    def report_cache_gap(self, endpoint_id: EndpointId) -> None:
        """Discard the prefixes of an endpoint whose cache events were lost."""


@dataclass(frozen=True, slots=True)
class RetryAt:
    """Retry at `time`, in seconds on the runtime's clock."""

    time: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Do not retry; answer with `refusal`."""

    refusal: Refusal


class Retries(Protocol):
    """Decides whether and when failed attempts are retried."""

    def on_first_attempt(self, now: float) -> None:
        """Credit the retry budget for a first attempt."""

    def decide(
        self, profile: RequestProfile, attempt: Attempt, failed: AttemptFailed, now: float
    ) -> RetryAt | GiveUp:
        """Return the time of the next attempt, or the refusal to answer with."""


class QuarantineVerdict(Enum):
    """Whether and how a request may run."""

    ALLOWED = "allowed"
    EXCLUSIVE = "exclusive"
    REFUSED = "refused"


class Quarantines(Protocol):
    """Tracks requests that were running on endpoints when these crashed."""

    def set_endpoints(self, records: Iterable[EndpointRecord]) -> None:
        """Replace the failure domains of the endpoints."""

    def set_quarantines(self, quarantines: Iterable[Quarantine]) -> None:
        """Replace the quarantines of the replicated state."""

    def verdict(self, fingerprint: Fingerprint) -> QuarantineVerdict:
        """Return whether and how a request with this fingerprint may run."""

    def on_endpoint_crashed(
        self, stage: RouteStage, running: tuple[Fingerprint, ...], now: float
    ) -> tuple[ReportSuspects, ...]:
        """Record a crash; return the reports to store before any of `running` is retried."""

    def on_succeeded(self, fingerprint: Fingerprint, exclusive: bool) -> ClearSuspect | None:
        """Record that a request completed; return a clearance if it was a suspect."""
