"""Scheduler of one entry host: admits, queues, starts and retries requests."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from expression import Result

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import Attempt, EndpointId, Fingerprint, RequestId
from lagoonwing_core.models import (
    Agreement,
    ConfigurationEntry,
    EndpointRecord,
    EntityState,
    Member,
    PlannedStop,
    Quarantine,
)
from lagoonwing_policy._accounts import AccountingSystem
from lagoonwing_policy._admission import AdmissionSystem
from lagoonwing_policy._attempts import AttemptSystem
from lagoonwing_policy._dispatch import DispatchSystem
from lagoonwing_policy._protocols import Quarantines, Retries, Router
from lagoonwing_policy._settings import SchedulerSettings
from lagoonwing_policy._tables import SchedulerTables
from lagoonwing_policy._timeouts import QueueTimeoutSystem
from lagoonwing_policy.fairness.models import MemberShare
from lagoonwing_policy.models import (
    AllotmentGrant,
    AttemptResult,
    EndpointLoad,
    MemberDemand,
    RequestProfile,
    RouteStage,
    SchedulerCommand,
)
from lagoonwing_policy.quarantine import QuarantineSystem
from lagoonwing_policy.retries import RetrySystem
from lagoonwing_policy.routing import FlowRouter
from lagoonwing_policy.sharing.models import MemberWork, Shares


class Scheduler:
    """Decides when and where each request of this entry host runs.

    Performs no I/O: the caller passes in tables, events and the current time, and executes the
    returned commands.
    """

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        """Create a scheduler without members and endpoints.

        Args:
            settings: Policies and their limits.
            seed: Seed of all random choices.
        """
        self._tables = SchedulerTables(settings, seed)
        rng = random.Random(seed)
        quarantines = QuarantineSystem()
        router = FlowRouter(settings.routing, rng)
        router.set_suspect_source(quarantines)
        self._router: Router = router
        self._quarantines: Quarantines = quarantines
        retries: Retries = RetrySystem(settings.retries, rng)
        self._accounts = AccountingSystem(self._tables)
        self._admission = AdmissionSystem(self._tables, self._quarantines)
        self._dispatch = DispatchSystem(
            self._tables, self._router, retries, self._quarantines, self._accounts
        )
        self._timeouts = QueueTimeoutSystem(self._tables, self._dispatch)
        self._attempts = AttemptSystem(
            self._tables, self._router, retries, self._quarantines, self._accounts, self._dispatch
        )

    def set_endpoints(self, records: Iterable[EndpointRecord], now: float) -> None:
        """Replace the endpoint table.

        Args:
            records: Endpoints that may receive new work.
            now: Time in seconds.
        """
        known = tuple(records)
        self._router.set_endpoints(known, now)
        self._quarantines.set_endpoints(known)
        self._tables.slots.long_work.set_endpoints(known)
        self._tables.pools.set_endpoints(known)

    def set_agreements(
        self,
        agreements: Iterable[Agreement],
        members: Iterable[Member],
        quarantines: Iterable[Quarantine],
        stops: Iterable[PlannedStop],
        configuration: Iterable[ConfigurationEntry],
        now: float,
    ) -> None:
        """Replace the data that comes from the replicated state.

        Args:
            agreements: Agreements; only active ones of active members are used.
            members: Members.
            quarantines: Quarantines of requests that crashed endpoints.
            stops: Planned stops.
            configuration: Configuration keys set by operators.
            now: Time in seconds.
        """
        active = {member.member_id for member in members if member.state is EntityState.ACTIVE}
        in_force = [
            agreement
            for agreement in agreements
            if agreement.state is EntityState.ACTIVE and agreement.member_id in active
        ]
        self._tables.limits.set_agreements(in_force, now)
        self._tables.weights.set_agreements(in_force)
        self._quarantines.set_quarantines(quarantines)
        self._router.set_stops(stops)
        # Changed caps, agreements and stops may unblock or end waiting requests.
        for member_id in self._tables.cap_blocks.members():
            self._tables.cap_blocks.unblock(member_id)
        for pool in self._tables.pools:
            self._tables.pools.reopen(pool)

    def set_allotments(self, grants: Iterable[AllotmentGrant], now: float) -> None:
        """Apply grants; each replaces the previous grant of its member and dimension.

        Args:
            grants: Grants, with their expiry on this host's clock.
            now: Time in seconds.
        """
        for member_id in self._tables.limits.set_grants(grants, now):
            self._tables.cap_blocks.unblock(member_id)

    def set_member_shares(self, shares: Iterable[MemberShare], now: float) -> None:
        """Replace the shares of members' work that are at this entry host.

        Args:
            shares: Shares; a member without one has its full weight.
            now: Time in seconds.
        """
        self._tables.weights.set_shares(shares)

    def submit(self, profile: RequestProfile, now: float) -> Result[None, Refusal]:
        """Queue a request, or refuse it before any work is done.

        Args:
            profile: Profile of the request.
            now: Time in seconds.

        Returns:
            None, or the refusal to answer with outcome `not_run`.
        """
        return self._admission.submit(profile, now)

    def tick(self, now: float) -> list[SchedulerCommand]:
        """Run every system once.

        Args:
            now: Time in seconds.

        Returns:
            Commands to execute, in order.
        """
        commands = self._timeouts.run(now)
        self._attempts.run(now)
        commands.extend(self._dispatch.run(now))
        return commands

    def tokens_relayed(self, request_id: RequestId, count: int, now: float) -> None:
        """Count tokens that were relayed to the caller.

        Args:
            request_id: The request.
            count: Number of tokens since the last call.
            now: Time in seconds.
        """
        entity = self._tables.requests.get(request_id)
        if entity is not None:
            self._accounts.tokens_relayed(entity, count)

    def first_token(self, request_id: RequestId, now: float) -> None:
        """Record the first token of a request; currently without effect."""

    def attempt_ended(
        self, request_id: RequestId, attempt: Attempt, result: AttemptResult, now: float
    ) -> list[SchedulerCommand]:
        """Process the end of an attempt; results of superseded attempts are ignored.

        Args:
            request_id: The request.
            attempt: Number of the attempt that ended.
            result: Result of the attempt.
            now: Time in seconds.

        Returns:
            Commands to execute.
        """
        commands = self._attempts.end(request_id, attempt, result, now)
        commands.extend(self._dispatch.run(now))
        return commands

    def suspects_recorded(
        self, fingerprints: Sequence[Fingerprint], now: float
    ) -> list[SchedulerCommand]:
        """Allow suspects to run again after they were recorded for all entry hosts.

        Args:
            fingerprints: Fingerprints that the replicated state now holds.
            now: Time in seconds.

        Returns:
            Commands to execute.
        """
        self._attempts.suspects_recorded(fingerprints)
        return self._dispatch.run(now)

    def replace_stage(
        self, request_id: RequestId, failed: RouteStage, now: float
    ) -> Result[RouteStage, Refusal]:
        """Replace one stage of a running attempt.

        Args:
            request_id: The request.
            failed: Stage that failed.
            now: Time in seconds.

        Returns:
            The stage that takes over its layers, or a refusal.
        """
        return self._attempts.replace_stage(request_id, failed, now)

    def cancel(self, request_id: RequestId, now: float) -> None:
        """Remove a request that is not running; a running one ends by `attempt_ended`.

        Args:
            request_id: The request.
            now: Time in seconds.
        """
        self._attempts.cancel(request_id)

    def demand(self, now: float) -> list[MemberDemand]:
        """Return the demand of this entry host for each member's caps.

        Args:
            now: Time in seconds.
        """
        return self._tables.demand.demand(now)

    def report_load(self, load: EndpointLoad) -> None:
        """Record a load report; reports are delayed and used only as hints."""
        self._router.report_load(load, self.in_flight(load.endpoint_id))

    def report_prefix(self, endpoint_id: EndpointId, prefix_hash: str, held: bool) -> None:
        """Record a cache event; events are delayed and used only as hints."""
        self._router.report_prefix(endpoint_id, prefix_hash, held)

    def report_cache_gap(self, endpoint_id: EndpointId) -> None:
        """Discard the prefixes of an endpoint whose cache events were lost."""
        self._router.report_cache_gap(endpoint_id)

    def set_entry_hosts(self, count: int) -> None:
        """Divide every endpoint evenly until the work of other hosts is known.

        Args:
            count: Number of live entry hosts, including this one.
        """
        self._router.set_entry_hosts(count)
        self._tables.slots.long_work.set_entry_hosts(count)

    def member_work(self, now: float) -> tuple[MemberWork, ...]:
        """Return the work of each member in each pool at this entry host.

        Args:
            now: Time in seconds.
        """
        weights = self._tables.weights
        return tuple(
            MemberWork(pool, member_id, float(count), weights.agreement_weight(member_id))
            for (pool, member_id), count in sorted(self._tables.requests.counts().items())
        )

    def slots_by_pool(self) -> dict[str, float]:
        """Return the total slots of each pool, shared by all entry hosts."""
        return {pool.key: pool.slots for pool in self._tables.pools}

    def set_shares(self, shares: Shares, now: float) -> None:
        """Set the shares of this entry host in the capacity of the cluster.

        Args:
            shares: Spans of pools, and shares of each member's capacity.
            now: Time in seconds.
        """
        self._router.set_capacity_spans(shares.span_by_pool, shares.even_span)
        self._tables.weights.set_shares(shares.member_shares)
        self._tables.slots.long_work.set_entry_hosts(round(1.0 / shares.even_span.size))
        for pool in self._tables.pools:
            self._tables.pools.reopen(pool)

    def in_flight(self, endpoint_id: EndpointId) -> int:
        """Return the number of attempts in flight on an endpoint."""
        return self._tables.slots.in_flight(endpoint_id)

    def queued(self) -> int:
        """Return the number of requests in the queues."""
        return self._tables.bounds.requests
