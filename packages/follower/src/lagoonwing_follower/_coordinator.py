"""Entry host component that follows the replicated state and requests claims and allotments."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from expression import Error, Ok, Result

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import (
    EndpointId,
    Fingerprint,
    IdempotencyKey,
    Incarnation,
    MemberId,
    RequestId,
    StopId,
)
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_follower._allotment_holder import AllotmentHolder
from lagoonwing_follower._contacts import LeaderContacts
from lagoonwing_follower._leader_link import LeaderLink
from lagoonwing_follower._lease import (
    ConfigurationLease,
    is_operator_confirmed,
    leaderless_until,
    log_lease,
)
from lagoonwing_follower._probes import VoterProber
from lagoonwing_follower._publisher import ViewListener, ViewPublisher
from lagoonwing_follower._releases import PendingReleases
from lagoonwing_follower._revision_store import RevisionStore
from lagoonwing_follower._watch import Watcher
from lagoonwing_follower.const import (
    CANCEL_RETRY_S,
    PROBE_INTERVAL_S,
)
from lagoonwing_follower.models import ControlView, FollowerSettings
from lagoonwing_policy.models import AllotmentGrant, MemberDemand
from lagoonwing_wire import Channel, Identity
from lagoonwing_wire.control_messages import (
    Allotments,
    ClaimDecision,
    ClearSuspect,
    ContactReply,
    EndpointSummary,
    ReleaseClaim,
    ReportSuspects,
    StoredResponse,
    StoreOutcome,
    TakeClaim,
)


class ControlCoordinator:
    """Entry host side of the replicated state."""

    name = "control_coordinator"

    def __init__(self, settings: FollowerSettings, identity: Identity, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._lease = ConfigurationLease(settings.configuration_lease_s)
        self._was_in_force = False
        self._holder = AllotmentHolder(settings.incarnation)
        self._links = LeaderLink(settings.replicas, identity, self._on_push, self._on_closed)
        self._publisher = ViewPublisher(RevisionStore(settings.data_folder), self._lease)
        self._watcher = Watcher(
            self._select_channel, self._publisher.notify_tables_changed, settings.seed
        )
        self._prober = VoterProber(self._links, clock)
        self._releases = PendingReleases(self._links)
        self._contacts = LeaderContacts(
            settings.incarnation,
            clock,
            self._links,
            self._releases,
            self._publisher,
            self._on_contact_reply,
            self._watcher.wake,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def async_setup(self) -> None:
        """Load the minimum revision and start the background tasks."""
        self._publisher.load()
        await self._links.async_setup()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._contacts.async_run()),
            loop.create_task(self._watcher.async_run()),
            loop.create_task(self._publisher.async_run(self._watcher)),
            loop.create_task(self._async_run_probes()),
        ]

    async def async_unload(self) -> None:
        """Stop the background tasks and close the links."""
        pending = set(self._tasks)
        while pending:
            # A cancellation is lost if the awaited operation completes in the same loop iteration.
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_S)
        await self._links.async_unload()

    @property
    def view(self) -> ControlView:
        """Last published view; its revision never decreases."""
        return self._publisher.view

    @callback
    def may_take_work(self) -> bool:
        """Return whether the configuration lease is valid, so that new work may be accepted."""
        in_force = self.view.revision >= self._publisher.min_revision and self._lease.in_force(
            self._clock.now()
        )
        if in_force != self._was_in_force:
            self._was_in_force = in_force
            log_lease(in_force, self.view.revision, self._contacts.leader_host)
        return in_force

    @callback
    def has_leader(self) -> bool:
        """Return whether a leader answered the last contact, so that claims can be made."""
        return self._contacts.has_leader()

    @callback
    def add_listener(self, listener: ViewListener) -> Callable[[], None]:
        """Register a listener for each published view; return a function that removes it."""
        return self._publisher.add_listener(listener)

    @callback
    def set_endpoints(self, endpoints: Iterable[EndpointSummary]) -> None:
        """Set the endpoints that this entry host knows, for the check of planned stops."""
        self._contacts.endpoints = tuple(sorted(endpoints, key=lambda item: item.endpoint_id))

    @callback
    def report_stop(self, stop_id: StopId, in_flight: int) -> None:
        """Report how many requests are in flight on a stop's target."""
        self._contacts.report_stop(stop_id, in_flight)

    async def async_claim(self, claim: TakeClaim, timeout: float) -> Result[ClaimDecision, Refusal]:
        """Claim the right to dispatch a request at most once.

        Returns:
            The decision, or a refusal `CLAIM_UNAVAILABLE`: the request must not be dispatched, and
            the claim is released later in case it was recorded.
        """
        result = await self._links.async_call(claim, timeout)
        match result:
            case Result(tag="ok", ok=decision):
                return Ok(decision)
            case Result(error=refusal):
                self._releases.add(ReleaseClaim(claim.member_id, claim.key, claim.request_id))
                detail = f"no claim could be recorded: {refusal.detail}"
                return Error(Refusal(ResultCode.CLAIM_UNAVAILABLE, detail))

    async def async_store_outcome(
        self,
        member_id: MemberId,
        key: IdempotencyKey,
        request_id: RequestId,
        answer: StoredResponse,
        timeout: float,
    ) -> Result[None, Refusal]:
        """Store the answer of a claimed request for replay."""
        message = StoreOutcome(member_id, key, request_id, answer)
        return (await self._links.async_call(message, timeout)).map(lambda done: None)

    async def async_release_claim(
        self, member_id: MemberId, key: IdempotencyKey, request_id: RequestId, timeout: float
    ) -> Result[None, Refusal]:
        """Release the claim of a request that provably did not run.

        A failed release is retried after later contacts.
        """
        message = ReleaseClaim(member_id, key, request_id)
        result = await self._links.async_call(message, timeout)
        if result.is_error():
            self._releases.add(message)
        return result.map(lambda done: None)

    async def async_request_allotments(
        self, demands: Iterable[MemberDemand], timeout: float
    ) -> Result[tuple[AllotmentGrant, ...], Refusal]:
        """Request allotments and return every valid grant.

        Returns:
            All valid grants; those that the reply does not renew lapse when their lease ends. A
            refusal if no leader answered and an unseen leader may exist.
        """
        request = self._holder.build_request(demands, self._clock.now())
        result = await self._links.async_call_once(request.message, timeout)
        match result:
            case Result(tag="ok", ok=Allotments() as reply):
                self._holder.accept(request, reply, self._clock.now())
                return Ok(self._holder.grants(self._clock.now()))
            case Result(tag="ok", ok=other):
                detail = f"unexpected reply to a request for allotments: {type(other).__name__}"
                return Error(Refusal(ResultCode.MESSAGE_INVALID, detail))
            case Result(error=refusal):
                if self._leaderless_until() is not None:
                    return Ok(self._holder.grants(self._clock.now()))
                return Error(refusal)

    async def async_report_suspects(
        self,
        fingerprints: tuple[Fingerprint, ...],
        endpoint_id: EndpointId,
        incarnation: Incarnation,
        timeout: float,
    ) -> Result[None, Refusal]:
        """Record that an endpoint died while it ran these requests."""
        message = ReportSuspects(fingerprints, endpoint_id, incarnation)
        return (await self._links.async_call(message, timeout)).map(lambda done: None)

    async def async_clear_suspect(
        self, fingerprint: Fingerprint, timeout: float
    ) -> Result[None, Refusal]:
        """Record that a suspected request completed while running alone."""
        message = ClearSuspect(fingerprint)
        return (await self._links.async_call(message, timeout)).map(lambda done: None)

    @callback
    def _on_push(self, channel: Channel[Any], message: Any) -> None:
        """Pass pushes to the watcher."""
        self._watcher.on_push(channel, message)

    @callback
    def _on_closed(self, channel: Channel[Any]) -> None:
        """Notify the watcher and contact the leader at once."""
        self._watcher.on_closed(channel)
        self._contacts.contact_now()

    @callback
    def _select_channel(self) -> Channel[Any] | None:
        """Return the channel to watch: the leader's, or else the most advanced voter's."""
        host_id = self._contacts.leader_host or self._prober.most_advanced_voter()
        if host_id is None:
            return None
        # If that replica can't be reached, any other that the leader reaches is equivalent.
        return self._links.responsive_channel(host_id) or self._links.any_responsive_channel()

    def _on_contact_reply(self, sent: float, reply: ContactReply) -> None:
        """Renew the lease from a leader's reply; evidence from the voters is no longer needed."""
        self._holder.observe_term(reply.term)
        self._lease.record_contact(sent, reply.revision)
        self._prober.clear()

    async def _async_run_probes(self) -> None:
        """Probe the voters while no leader answers; extend leases if no unseen leader can exist."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self._contacts.was_ever_answered or self.has_leader():
                continue
            await self._prober.async_probe(self._contacts.voters)
            leaderless_time = self._leaderless_until()
            if leaderless_time is not None and not self.has_leader():
                now = self._clock.now()
                operator_confirmed = is_operator_confirmed(
                    self._contacts.voters, self._prober.evidence_by_voter, now
                )
                self._lease.extend(leaderless_time, now, operator_confirmed=operator_confirmed)
                self._holder.extend(leaderless_time, now, operator_confirmed=operator_confirmed)

    def _leaderless_until(self) -> float | None:
        """Return the time up to which no unseen leader can exist, if that is proven."""
        return leaderless_until(
            self._contacts.voters,
            self._prober.evidence_by_voter,
            self.view.revision,
            self._clock.now(),
        )
