"""Interfaces that the entry host requires from the scheduler, membership and follower."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

from expression import Result

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import (
    Attempt,
    EndpointId,
    Fingerprint,
    HostId,
    IdempotencyKey,
    Incarnation,
    MemberId,
    RequestId,
    Revision,
    StopId,
)
from lagoonwing_core.models import (
    Agreement,
    ConfigurationEntry,
    EndpointRecord,
    HostAddress,
    Member,
    PlannedStop,
    Quarantine,
)
from lagoonwing_membership import HostView
from lagoonwing_policy.models import (
    AllotmentGrant,
    AttemptResult,
    EndpointLoad,
    MemberDemand,
    RequestProfile,
    RouteStage,
    SchedulerCommand,
)
from lagoonwing_policy.sharing import MemberWork, Shares
from lagoonwing_wire.control_messages import (
    ClaimDecision,
    EndpointSummary,
    StoredResponse,
    TakeClaim,
)


class SchedulerPort(Protocol):
    """Scheduling decisions; implemented by `lagoonwing_policy`."""

    def set_endpoints(self, records: Iterable[EndpointRecord], now: float) -> None:
        """Replace the table of endpoints."""

    def set_agreements(
        self,
        agreements: Iterable[Agreement],
        members: Iterable[Member],
        quarantines: Iterable[Quarantine],
        stops: Iterable[PlannedStop],
        configuration: Iterable[ConfigurationEntry],
        now: float,
    ) -> None:
        """Replace the scheduler's copy of the replicated state."""

    def set_allotments(self, grants: Iterable[AllotmentGrant], now: float) -> None:
        """Apply allotment grants."""

    def submit(self, profile: RequestProfile, now: float) -> Result[None, Refusal]:
        """Queue a request, or return why it is refused."""

    def tick(self, now: float) -> list[SchedulerCommand]:
        """Run every subsystem once and return the resulting commands."""

    def tokens_relayed(self, request_id: RequestId, count: int, now: float) -> None:
        """Count tokens relayed to the caller."""

    def first_token(self, request_id: RequestId, now: float) -> None:
        """Record the first token of a request."""

    def attempt_ended(
        self, request_id: RequestId, attempt: Attempt, result: AttemptResult, now: float
    ) -> list[SchedulerCommand]:
        """Handle the end of an attempt."""

    def suspects_recorded(
        self, fingerprints: Sequence[Fingerprint], now: float
    ) -> list[SchedulerCommand]:
        """Release suspects whose reports have been recorded."""

    def replace_stage(
        self, request_id: RequestId, failed: RouteStage, now: float
    ) -> Result[RouteStage, Refusal]:
        """Choose a replacement for one stage of a running attempt."""

    def cancel(self, request_id: RequestId, now: float) -> None:
        """Remove a request that is not running."""

    def demand(self, now: float) -> list[MemberDemand]:
        """Return the share of each member's limits that this host requests."""

    def member_work(self, now: float) -> tuple[MemberWork, ...]:
        """Return the queued and running work of each member in each pool."""

    def slots_by_pool(self) -> dict[str, float]:
        """Return the total slots of each pool across all entry hosts."""

    def set_shares(self, shares: Shares, now: float) -> None:
        """Set this host's shares of the endpoint capacity."""

    def in_flight(self, endpoint_id: EndpointId) -> int:
        """Return the number of attempts in flight on an endpoint."""

    def report_load(self, load: EndpointLoad) -> None:
        """Record a load report."""

    def report_prefix(self, endpoint_id: EndpointId, prefix_hash: str, held: bool) -> None:
        """Record a cache event."""

    def report_cache_gap(self, endpoint_id: EndpointId) -> None:
        """Record that cache events were lost."""

    def set_entry_hosts(self, count: int) -> None:
        """Set the number of entry hosts that share the endpoints, including this one."""


class SendPort(Protocol):
    """Membership command to push a message to a host."""

    @property
    def to(self) -> HostAddress:
        """Destination host."""

    @property
    def message(self) -> Any:
        """Membership protocol message."""


class MembershipPort(Protocol):
    """Hosts and endpoint records; implemented by `lagoonwing_membership`."""

    def announce(self, record: EndpointRecord, now: float) -> Result[None, Refusal]:
        """Handle an endpoint announcement."""

    def receive(self, from_host: HostId, message: Any, now: float) -> Sequence[SendPort]:
        """Handle a message from another host."""

    def tick(self, now: float) -> Sequence[SendPort]:
        """Run every subsystem once and return the resulting commands."""

    def endpoints(self, now: float) -> Iterable[EndpointRecord]:
        """Return the endpoint records that are eligible for new work."""

    def hosts(self, now: float) -> Sequence[HostView]:
        """Return the known state of every host of the cluster, including this one."""

    def events(self) -> Sequence[Any]:
        """Return and clear the events since the last call."""


class ControlViewPort(Protocol):
    """Current local copy of the replicated state."""

    @property
    def revision(self) -> Revision:
        """Revision of the local copy."""

    @property
    def member_by_id(self) -> Mapping[MemberId, Member]:
        """Members by id."""

    @property
    def member_by_key_hash(self) -> Mapping[str, Member]:
        """Members by the digest of each of their API keys."""

    @property
    def agreement_by_member(self) -> Mapping[MemberId, Agreement]:
        """Active agreements by member."""

    @property
    def configuration_by_key(self) -> Mapping[str, ConfigurationEntry]:
        """Configuration entries by key."""

    @property
    def stop_by_id(self) -> Mapping[StopId, PlannedStop]:
        """Planned stops by id."""

    @property
    def quarantine_by_fingerprint(self) -> Mapping[Fingerprint, Quarantine]:
        """Quarantine state by request fingerprint."""


class ControlPort(Protocol):
    """Control client; implemented by `lagoonwing_follower`."""

    @property
    def view(self) -> ControlViewPort:
        """Current local copy of the replicated state."""

    def may_take_work(self) -> bool:
        """Return whether the configuration lease is valid."""

    def add_listener(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call a listener after each applied revision; return a function that removes it."""

    async def async_claim(self, claim: TakeClaim, timeout: float) -> Result[ClaimDecision, Refusal]:
        """Request a claim."""

    async def async_store_outcome(
        self,
        member_id: MemberId,
        key: IdempotencyKey,
        request_id: RequestId,
        answer: StoredResponse,
        timeout: float,
    ) -> Result[None, Refusal]:
        """Store the response of a request that holds a claim."""

    async def async_release_claim(
        self, member_id: MemberId, key: IdempotencyKey, request_id: RequestId, timeout: float
    ) -> Result[None, Refusal]:
        """Release the claim of a request that did not run."""

    async def async_request_allotments(
        self, demands: Sequence[MemberDemand], timeout: float
    ) -> Result[tuple[AllotmentGrant, ...], Refusal]:
        """Request allotments of the members' limits."""

    async def async_report_suspects(
        self,
        fingerprints: tuple[Fingerprint, ...],
        endpoint_id: EndpointId,
        incarnation: Incarnation,
        timeout: float,
    ) -> Result[None, Refusal]:
        """Record the fingerprints that were running on an endpoint when it crashed."""

    async def async_clear_suspect(
        self, fingerprint: Fingerprint, timeout: float
    ) -> Result[None, Refusal]:
        """Record that a suspect completed while running in isolation."""

    def report_stop(self, stop_id: StopId, in_flight: int) -> None:
        """Report the number of requests in flight on the target of a planned stop."""

    def set_endpoints(self, endpoints: Iterable[EndpointSummary]) -> None:
        """Set the endpoints known to this host; planned stops are checked against them."""
