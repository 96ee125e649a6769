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
from lagoonwing_policy._router_protocol import Quarantines, Retries, Router
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

    Free of I/O: the shell feeds it with tables, events and the time, and carries out the
    commands that it returns.
    """

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        """Make a scheduler that knows no member and no endpoint.

        Args:
            settings: Policies and their bounds.
            seed: Seed of every random choice.
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
            records: Endpoints that may get new work.
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
        """Replace what the durable state holds.

        Args:
            agreements: Agreements; only those in force of members in force count.
            members: Members.
            quarantines: Standings of requests that ran on endpoints as they died.
            stops: Planned stops.
            configuration: Keys that operators set.
            now: Time in seconds.
        """
        active = {m.member_id for m in members if m.state is EntityState.ACTIVE}
        in_force = [
            agreement
            for agreement in agreements
            if agreement.state is EntityState.ACTIVE and agreement.member_id in active
        ]
        self._tables.limits.set_agreements(in_force, now)
        self._tables.weights.set_agreements(in_force)
        self._quarantines.set_quarantines(quarantines)
        self._router.set_stops(stops)
        # Caps, agreements and stops may each have let something go on, or have ended it.
        for member_id in self._tables.cap_blocks.members():
            self._tables.cap_blocks.unblock(member_id)
        for pool in self._tables.pools:
            self._tables.pools.reopen(pool)

    def set_allotments(self, grants: Iterable[AllotmentGrant], now: float) -> None:
        """Take grants; each replaces the one before of its member and dimension.

        Args:
            grants: Grants with their expiry on this host's clock.
            now: Time in seconds.
        """
        for member_id in self._tables.limits.set_grants(grants, now):
            self._tables.cap_blocks.unblock(member_id)

    def set_member_shares(self, shares: Iterable[MemberShare], now: float) -> None:
        """Replace the parts of members' work that sit at this entry host.

        Args:
            shares: A member without a share counts with its whole weight.
            now: Time in seconds.
        """
        self._tables.weights.set_shares(shares)

    def submit(self, profile: RequestProfile, now: float) -> Result[None, Refusal]:
        """Queue a request, or refuse it before any work was done.

        Args:
            profile: What is known of the request.
            now: Time in seconds.

        Returns:
            Nothing, or the refusal to answer with `not_run`.
        """
        return self._admission.submit(profile, now)

    def tick(self, now: float) -> list[SchedulerCommand]:
        """Run every system once.

        Args:
            now: Time in seconds.

        Returns:
            Commands for the shell, in the order in which to carry them out.
        """
        commands = self._timeouts.run(now)
        self._attempts.run(now)
        commands.extend(self._dispatch.run(now))
        return commands

    def tokens_relayed(self, request_id: RequestId, count: int, now: float) -> None:
        """Count tokens that went to the caller.

        Args:
            request_id: The request.
            count: Tokens since the last call.
            now: Time in seconds.
        """
        entity = self._tables.requests.get(request_id)
        if entity is not None:
            self._accounts.tokens_relayed(entity, count)

    def first_token(self, request_id: RequestId, now: float) -> None:
        """Note the first token of a request."""

    def attempt_ended(
        self, request_id: RequestId, attempt: Attempt, result: AttemptResult, now: float
    ) -> list[SchedulerCommand]:
        """Take the end of an attempt; ends of attempts that were replaced are ignored.

        Args:
            request_id: The request.
            attempt: Number of the attempt that ended.
            result: How it ended.
            now: Time in seconds.

        Returns:
            Commands for the shell.
        """
        commands = self._attempts.end(request_id, attempt, result, now)
        commands.extend(self._dispatch.run(now))
        return commands

    def suspects_recorded(
        self, fingerprints: Sequence[Fingerprint], now: float
    ) -> list[SchedulerCommand]:
        """Let suspects run again, now that every entry host knows of them.

        Args:
            fingerprints: Fingerprints that the durable state holds.
            now: Time in seconds.

        Returns:
            Commands for the shell.
        """
        self._attempts.suspects_recorded(fingerprints)
        return self._dispatch.run(now)

    def replace_stage(
        self, request_id: RequestId, failed: RouteStage, now: float
    ) -> Result[RouteStage, Refusal]:
        """Replace one stage of a running attempt.

        Args:
            request_id: The request.
            failed: Stage that died.
            now: Time in seconds.

        Returns:
            The stage that takes over its layers, or a refusal.
        """
        return self._attempts.replace_stage(request_id, failed, now)

    def cancel(self, request_id: RequestId, now: float) -> None:
        """Forget a request that does not run; a running one ends by `attempt_ended`.

        Args:
            request_id: The request.
            now: Time in seconds.
        """
        self._attempts.cancel(request_id)

    def demand(self, now: float) -> list[MemberDemand]:
        """Return what this entry host would like of each member's caps.

        Args:
            now: Time in seconds.
        """
        return self._tables.demand.demand(now)

    def report_load(self, load: EndpointLoad) -> None:
        """Take a load report, which is late and so no more than a hint."""
        self._router.report_load(load, self.in_flight(load.endpoint_id))

    def report_prefix(self, endpoint_id: EndpointId, prefix_hash: str, held: bool) -> None:
        """Take a cache event, which is late and so no more than a hint."""
        self._router.report_prefix(endpoint_id, prefix_hash, held)

    def report_cache_gap(self, endpoint_id: EndpointId) -> None:
        """Take note that cache events of an endpoint were lost."""
        self._router.report_cache_gap(endpoint_id)

    def set_entry_hosts(self, count: int) -> None:
        """Divide every endpoint evenly, as long as nothing is known of the others' work.

        Args:
            count: Entry hosts that are alive, this one included.
        """
        self._router.set_entry_hosts(count)
        self._tables.slots.long_work.set_entry_hosts(count)

    def work(self, now: float) -> tuple[MemberWork, ...]:
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
        """Return the slots of each pool over all entry hosts."""
        return {pool.key: pool.slots for pool in self._tables.pools}

    def set_shares(self, shares: Shares, now: float) -> None:
        """Set what this entry host may use of the capacity that it shares with others.

        Args:
            shares: Parts of pools, and of each member's capacity.
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
        """Return the number of requests that wait in the queues."""
        return self._tables.bounds.requests
