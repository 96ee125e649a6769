"""Seam between the scheduler and the systems for routes, retries and quarantine."""

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
    """What this entry host runs on one endpoint now.

    Attributes:
        running: Attempts in flight.
        long_running: Those of them that are long work.
        exclusive: Whether an attempt runs here that must stay alone.
    """

    running: int = 0
    long_running: int = 0
    exclusive: bool = False


@dataclass(frozen=True, slots=True)
class NoFreeSlot:
    """Every route is in use now; one may come free."""


RouteFailure = NoFreeSlot | Refusal


class Router(Protocol):
    """Chooses routes; keeps the endpoint table, stops, load reports and prefix hints."""

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
        """Return a route whose every endpoint has a free slot.

        Args:
            profile: What is known of the request.
            loads_by_endpoint: Own attempts in flight; an endpoint that is missing is idle.
            excluded: Endpoints that must not be used.
            exclusive: Whether every endpoint of the route must be idle.
            now: Time in seconds.

        Returns:
            The route, `NoFreeSlot`, or a refusal with `NO_ENDPOINT` or `INCOMPLETE_PIPELINE`.
        """

    def exclusive_route(self, profile: RequestProfile, now: float) -> Result[Route, RouteFailure]:
        """Return the route that a suspect has to run on, idle or not."""

    def on_attempt_ended(
        self, profile: RequestProfile, route: Route, result: AttemptResult, now: float
    ) -> None:
        """Learn from the end of an attempt which endpoints work."""

    def set_entry_hosts(self, count: int) -> None:
        """Divide every endpoint evenly among a number of entry hosts."""

    def set_capacity_spans(
        self, span_by_pool: Mapping[str, CapacitySpan], even_span: CapacitySpan
    ) -> None:
        """Set which part of each pool's limits this entry host may use."""

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
        """Take note of a load report, and of what this host has in flight there now."""

    def report_prefix(self, endpoint_id: EndpointId, prefix_hash: str, held: bool) -> None:
        """Take note of a cache event."""

    def report_cache_gap(self, endpoint_id: EndpointId) -> None:
        """Take note that cache events were lost."""


@dataclass(frozen=True, slots=True)
class RetryAt:
    """Try again at `time`, in seconds on the runtime's clock."""

    time: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer with `refusal`."""

    refusal: Refusal


class Retries(Protocol):
    """Decides whether a failed attempt is followed by another."""

    def on_first_try(self, now: float) -> None:
        """Count a first try towards the retry budget."""

    def decide(
        self, profile: RequestProfile, attempt: Attempt, failed: AttemptFailed, now: float
    ) -> RetryAt | GiveUp:
        """Return when to try again, or why not to."""


class QuarantineVerdict(Enum):
    """How a request may run."""

    ALLOWED = "allowed"
    EXCLUSIVE = "exclusive"
    REFUSED = "refused"


class Quarantines(Protocol):
    """Keeps the requests that ran on endpoints as they died."""

    def set_endpoints(self, records: Iterable[EndpointRecord]) -> None:
        """Take note of the endpoints' failure domains."""

    def set_quarantines(self, quarantines: Iterable[Quarantine]) -> None:
        """Replace the durable quarantines."""

    def verdict(self, fingerprint: Fingerprint) -> QuarantineVerdict:
        """Return how a request with this fingerprint may run."""

    def on_endpoint_crashed(
        self, stage: RouteStage, running: tuple[Fingerprint, ...], now: float
    ) -> tuple[ReportSuspects, ...]:
        """Note a death; return what has to be recorded before any of `running` is retried."""

    def on_succeeded(self, fingerprint: Fingerprint, exclusive: bool) -> ClearSuspect | None:
        """Note that a request ran to its end."""
