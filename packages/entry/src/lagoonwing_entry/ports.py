"""What the entry host needs of scheduler, membership and follower."""

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
from lagoonwing_wire.control_messages import ClaimDecision, EndpointSummary, StoredAnswer, TakeClaim


class SchedulerPort(Protocol):
    """Decisions about requests; see `lagoonwing_policy`."""

    def set_endpoints(self, records: Iterable[EndpointRecord], now: float) -> None:
        """Replace the endpoint table."""

    def set_agreements(
        self,
        agreements: Iterable[Agreement],
        members: Iterable[Member],
        quarantines: Iterable[Quarantine],
        stops: Iterable[PlannedStop],
        configuration: Iterable[ConfigurationEntry],
        now: float,
    ) -> None:
        """Replace what the durable state holds."""

    def set_allotments(self, grants: Iterable[AllotmentGrant], now: float) -> None:
        """Take grants."""

    def submit(self, profile: RequestProfile, now: float) -> Result[None, Refusal]:
        """Queue a request or refuse it."""

    def tick(self, now: float) -> list[SchedulerCommand]:
        """Run every system once."""

    def tokens_relayed(self, request_id: RequestId, count: int, now: float) -> None:
        """Count tokens that went to the caller."""

    def first_token(self, request_id: RequestId, now: float) -> None:
        """Note the first token of a request."""

    def attempt_ended(
        self, request_id: RequestId, attempt: Attempt, result: AttemptResult, now: float
    ) -> list[SchedulerCommand]:
        """Take the end of an attempt."""

    def suspects_recorded(
        self, fingerprints: Sequence[Fingerprint], now: float
    ) -> list[SchedulerCommand]:
        """Let suspects run again."""

    def replace_stage(
        self, request_id: RequestId, failed: RouteStage, now: float
    ) -> Result[RouteStage, Refusal]:
        """Replace one stage of a running attempt."""

    def cancel(self, request_id: RequestId, now: float) -> None:
        """Forget a request that does not run."""

    def demand(self, now: float) -> list[MemberDemand]:
        """Return what this host would like of each member's caps."""

    def work(self, now: float) -> tuple[MemberWork, ...]:
        """Return the work of each member in each pool."""

    def slots_by_pool(self) -> dict[str, float]:
        """Return the slots of each pool over all entry hosts."""

    def set_shares(self, shares: Shares, now: float) -> None:
        """Set what this host may use of the capacity."""

    def in_flight(self, endpoint_id: EndpointId) -> int:
        """Return the number of attempts in flight on an endpoint."""

    def report_load(self, load: EndpointLoad) -> None:
        """Take a load report."""

    def report_prefix(self, endpoint_id: EndpointId, prefix_hash: str, held: bool) -> None:
        """Take a cache event."""

    def report_cache_gap(self, endpoint_id: EndpointId) -> None:
        """Take note that cache events were lost."""

    def set_entry_hosts(self, count: int) -> None:
        """Set the number of entry hosts that share the endpoints, this one included."""


class SendPort(Protocol):
    """Command of membership: push a message to a host."""

    @property
    def to(self) -> HostAddress:
        """Host that gets the message."""

    @property
    def message(self) -> Any:
        """Message of the protocol."""


class MembershipPort(Protocol):
    """Hosts and endpoint records; see `lagoonwing_membership`."""

    def announce(self, record: EndpointRecord, now: float) -> Result[None, Refusal]:
        """Take an endpoint's announcement."""

    def receive(self, from_host: HostId, message: Any, now: float) -> Sequence[SendPort]:
        """Take a message of another host."""

    def tick(self, now: float) -> Sequence[SendPort]:
        """Run every system once."""

    def endpoints(self, now: float) -> Iterable[EndpointRecord]:
        """Return records that may get new work."""

    def hosts(self, now: float) -> Sequence[HostView]:
        """Return what is believed of every host of the cell, this one included."""

    def events(self) -> Sequence[Any]:
        """Return and drop what happened."""


class ControlViewPort(Protocol):
    """Current copy of the durable state."""

    @property
    def revision(self) -> Revision:
        """Revision of the copy."""

    @property
    def member_by_id(self) -> Mapping[MemberId, Member]:
        """Members."""

    @property
    def member_by_key_hash(self) -> Mapping[str, Member]:
        """Members by the digest of each of their bearer keys."""

    @property
    def agreement_by_member(self) -> Mapping[MemberId, Agreement]:
        """Agreements in force."""

    @property
    def configuration_by_key(self) -> Mapping[str, ConfigurationEntry]:
        """Configuration."""

    @property
    def stop_by_id(self) -> Mapping[StopId, PlannedStop]:
        """Planned stops."""

    @property
    def quarantine_by_fingerprint(self) -> Mapping[Fingerprint, Quarantine]:
        """Standing of fingerprints."""


class ControlPort(Protocol):
    """The follower; see `lagoonwing_follower`."""

    @property
    def view(self) -> ControlViewPort:
        """Current copy of the durable state."""

    def may_take_work(self) -> bool:
        """Return whether the configuration lease is in force."""

    def add_listener(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call a listener after each applied revision; return its removal."""

    async def async_claim(self, claim: TakeClaim, timeout: float) -> Result[ClaimDecision, Refusal]:
        """Ask for a claim."""

    async def async_store_outcome(
        self,
        member_id: MemberId,
        key: IdempotencyKey,
        request_id: RequestId,
        answer: StoredAnswer,
        timeout: float,
    ) -> Result[None, Refusal]:
        """Keep the answer of a claimed request."""

    async def async_release_claim(
        self, member_id: MemberId, key: IdempotencyKey, request_id: RequestId, timeout: float
    ) -> Result[None, Refusal]:
        """Give up a claim of a request that did not run."""

    async def async_request_allotments(
        self, demands: Sequence[MemberDemand], timeout: float
    ) -> Result[tuple[AllotmentGrant, ...], Refusal]:
        """Ask for shares of caps."""

    async def async_report_suspects(
        self,
        fingerprints: tuple[Fingerprint, ...],
        endpoint_id: EndpointId,
        incarnation: Incarnation,
        timeout: float,
    ) -> Result[None, Refusal]:
        """Record fingerprints that ran on an endpoint as it died."""

    async def async_clear_suspect(
        self, fingerprint: Fingerprint, timeout: float
    ) -> Result[None, Refusal]:
        """Record that a suspect ran alone to its end."""

    def report_stop(self, stop_id: StopId, in_flight: int) -> None:
        """Report requests in flight on a stop's target."""

    def set_endpoints(self, endpoints: Iterable[EndpointSummary]) -> None:
        """Tell which endpoints this host knows, for the check of planned stops."""
