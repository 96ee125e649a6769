"""Work of a control replica while it is the leader."""

from __future__ import annotations

import asyncio

from expression import Result

from lagoonwing_control._active_caps import active_caps
from lagoonwing_control._allotments import AllotmentLedger, LedgerSettings
from lagoonwing_control._entry_hosts import EntryHostTable
from lagoonwing_control._proposer import Proposer
from lagoonwing_control._state_machine import ControlStateMachine
from lagoonwing_control._stops import VoterView, check_stop_order, is_safe
from lagoonwing_control.const import CONTACT_TIMEOUT_S, MAX_CLOCK_DRIFT, PAUSE_THRESHOLD_S
from lagoonwing_control.models import (
    EntityKind,
    ForgetEntry,
    MarkStopSafe,
    OrderStop,
    RegisterEntry,
    SetAllotments,
)
from lagoonwing_control.settings import ControlSettings
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import FailureDomainId, HostId, Incarnation, Revision, StopId, Term
from lagoonwing_core.models import StopState
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_core.tasks import TaskSet
from lagoonwing_replication import ReplicatedLog
from lagoonwing_wire.control_messages import (
    Allotments,
    Contact,
    ContactReply,
    Done,
    Refused,
    RequestAllotments,
)


class Leader:
    """Manages leases, allotments and planned stops during the replica's terms as leader."""

    def __init__(
        self,
        settings: ControlSettings,
        state_machine: ControlStateMachine,
        log: ReplicatedLog,
        clock: Clock,
        lost_hosts: set[HostId],
    ) -> None:
        self.entries = EntryHostTable()
        self._settings = settings
        self._state_machine = state_machine
        self._log = log
        self._clock = clock
        self._lost_hosts = lost_hosts
        self._ledger_settings = LedgerSettings(
            lease_s=settings.allotment_lease_s,
            drift=MAX_CLOCK_DRIFT,
            max_request_s=settings.max_request_s,
        )
        self._ledger = AllotmentLedger(self._ledger_settings)
        self._term: Term | None = None
        self._last_tick: float | None = None
        self._commit_lock = asyncio.Lock()
        self._caps_revision = Revision(-1)
        self._stops_being_marked_safe: set[StopId] = set()
        self._tasks = TaskSet("leader")
        self._failure_domain_by_host = {
            replica.host_id: replica.failure_domain for replica in settings.replicas
        }

    @callback
    def leadership_changed(self, term: Term | None) -> None:
        """Start or end a term; a new term treats every lease as just granted."""
        self._term = term
        if term is None:
            log_event(EventCode.LEADER_LOST, host=self._settings.host_id)
            return
        now = self._clock.now()
        state = self._state_machine.state
        self._last_tick = now
        self._ledger.start_term(term, state.amount_by_allotment, now)
        self.entries.start_term(state.incarnation_by_entry, now)
        log_event(EventCode.LEADER_ELECTED, host=self._settings.host_id, term=term)

    def term(self) -> Term | None:
        """Return the term in which this replica may currently act as leader."""
        term = self._log.lease_term()
        return term if term is not None and term == self._term else None

    def not_leader(self) -> Refused:
        """Return the refusal sent by a replica that is not the leader."""
        leader = self._log.status().leader or HostId("")
        return Refused(ResultCode.NOT_LEADER, "this replica does not lead", leader)

    async def async_contact(
        self, proposer: Proposer, host_id: HostId, message: Contact
    ) -> ContactReply | Refused:
        """Renew an entry host's configuration lease."""
        if self.term() is None:
            return self.not_leader()
        registered_incarnation = self._state_machine.state.incarnation_by_entry.get(
            host_id, Incarnation(-1)
        )
        if registered_incarnation < message.incarnation:
            # Registered first: a planned stop must wait for every host that may have taken work.
            result = await proposer.async_propose(RegisterEntry(host_id, message.incarnation))
            if result.is_error():
                return Refused(result.error.code, result.error.detail)
        term = self.term()
        if term is None:
            return self.not_leader()
        self.entries.record_contact(host_id, message, self._clock.now())
        voters = tuple(replica.host_id for replica in self._log.status().voters)
        return ContactReply(term, self._state_machine.state.revision, voters)

    async def async_request_allotments(
        self, proposer: Proposer, host_id: HostId, message: RequestAllotments
    ) -> Allotments | Refused:
        """Grant an entry host shares of caps."""
        term = self.term()
        if term is None:
            return self.not_leader()
        self._refresh_caps()
        plan = self._ledger.plan_grants(host_id, message, self._clock.now())
        if plan is None:
            # The reply tells the entry host the current term; it then reports its holdings again.
            return Allotments(term, self._settings.allotment_lease_s, ())
        if plan.must_commit and not await self._async_commit(proposer, term):
            return Refused(ResultCode.NO_QUORUM, "the allotments could not be recorded")
        if self.term() != term:
            return self.not_leader()
        return Allotments(term, self._settings.allotment_lease_s, plan.grants)

    def check_stop(self, order: OrderStop) -> Refusal | None:
        """Refuse an unsafe stop; the state machine decides on a stop that already exists."""
        state = self._state_machine.state
        if state.entity(EntityKind.STOP, order.stop_id) is not None:
            return None
        return check_stop_order(order, state.stops(), self._voters(), self.entries.endpoints())

    @callback
    def tick(self, proposer: Proposer) -> None:
        """Reclaim expired allotments, mark drained stops safe and remove expired entry hosts."""
        now = self._clock.now()
        paused = self._last_tick is None or now - self._last_tick > PAUSE_THRESHOLD_S
        self._last_tick = now
        term = self.term()
        if term is None or paused:
            # Without a leader lease, entry hosts may have extended their own leases.
            self._ledger.restart_timers(now)
            self.entries.restart_timers(now)
            return
        self._ledger.expire(now)
        self._mark_safe_stops(proposer, now)
        self._forget_expired(proposer, now)

    async def async_unload(self) -> None:
        """Cancel pending tasks."""
        await self._tasks.async_cancel()

    async def _async_commit(self, proposer: Proposer, term: Term) -> bool:
        """Commit the ledger's pending amounts; return whether the commit is confirmed."""
        async with self._commit_lock:
            pending = self._ledger.pending()
            if not pending:
                return True
            result = await proposer.async_propose(SetAllotments(term, pending))
            match result:
                case Result(tag="ok", ok=Done()) if self._term == term:
                    self._ledger.mark_logged(pending)
                    return True
                case _:
                    return False

    def _refresh_caps(self) -> None:
        """Update the ledger's caps if the state has changed."""
        state = self._state_machine.state
        if self._caps_revision != state.revision:
            self._ledger.set_caps(active_caps(state))
            self._caps_revision = state.revision

    def _voters(self) -> list[VoterView]:
        """Return the voters and whether each is healthy."""
        status = self._log.status()
        return [
            VoterView(
                host_id=replica.host_id,
                failure_domain=self._failure_domain_by_host.get(
                    replica.host_id, FailureDomainId("")
                ),
                healthy=self._is_healthy(replica.host_id),
            )
            for replica in status.voters
        ]

    def _is_healthy(self, host_id: HostId) -> bool:
        """Return whether a replica has answered recently and is not declared lost."""
        if host_id in self._lost_hosts:
            return False
        if host_id == self._settings.host_id:
            return True
        ages = self._log.status().contact_age_by_host
        return len(ages) == 0 or ages.get(host_id, float("inf")) < CONTACT_TIMEOUT_S

    def _mark_safe_stops(self, proposer: Proposer, now: float) -> None:
        """Mark stops safe whose targets have drained."""
        lease_expiry_s = self._settings.configuration_lease_s * (1.0 + MAX_CLOCK_DRIFT)
        request_expiry_s = lease_expiry_s + self._settings.max_request_s * (1.0 + MAX_CLOCK_DRIFT)
        views = self.entries.views(self._lost_hosts, now)
        for stop in self._state_machine.state.stops():
            if (
                stop.state is not StopState.DRAINING
                or stop.stop_id in self._stops_being_marked_safe
            ):
                continue
            if is_safe(stop, views, lease_expiry_s, request_expiry_s):
                self._stops_being_marked_safe.add(stop.stop_id)
                self._tasks.spawn(self._async_mark_safe(proposer, stop.stop_id, stop.revision))

    async def _async_mark_safe(
        self, proposer: Proposer, stop_id: StopId, order_revision: Revision
    ) -> None:
        """Commit that a stop is safe."""
        try:
            result = await proposer.async_propose(MarkStopSafe(stop_id, order_revision))
        finally:
            self._stops_being_marked_safe.discard(stop_id)
        if result.is_ok():
            log_event(EventCode.STOP_SAFE, stop=stop_id)

    def _forget_expired(self, proposer: Proposer, now: float) -> None:
        """Remove entry hosts whose leases have expired and whose requests have ended."""
        lease_s = self._settings.configuration_lease_s
        request_expiry_s = (lease_s + self._settings.max_request_s) * (1.0 + MAX_CLOCK_DRIFT)
        for host_id, incarnation in self.entries.silent_longer_than(now, request_expiry_s):
            self.entries.forget(host_id)
            self._tasks.spawn(self._async_forget(proposer, host_id, incarnation))

    async def _async_forget(
        self, proposer: Proposer, host_id: HostId, incarnation: Incarnation
    ) -> None:
        """Commit the removal of an entry host."""
        await proposer.async_propose(ForgetEntry(host_id, incarnation))
