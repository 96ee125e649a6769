"""Leases and timers of a leader, on a manual clock."""

from __future__ import annotations

from control_support import KEY, make_settings

from lagoonwing_control import ControlStateMachine
from lagoonwing_control._leader import Leader
from lagoonwing_control._proposer import Proposer
from lagoonwing_control._stops import EntryHostView, is_safe
from lagoonwing_control.const import MAX_CLOCK_DRIFT, PAUSE_THRESHOLD_S, TICK_INTERVAL_S
from lagoonwing_control.models import RegisterEntry
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import HostId, Incarnation, MemberId, Revision, StopId, Term
from lagoonwing_core.models import CapDimension, PlannedStop, StopState, StopTarget
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication import LocalLog
from lagoonwing_wire.control_messages import (
    Allotments,
    Contact,
    ContactReply,
    Holding,
    Refused,
    RequestAllotments,
)

ENTRY = HostId("entry-1")
OTHER = HostId("entry-2")
CAP_KEY = (MemberId("m"), CapDimension.TOKENS_PER_S)
MAX_REQUEST_S = 20.0
SETTINGS = make_settings(max_request_s=MAX_REQUEST_S)[0]
LEASE_EXPIRY_S = SETTINGS.allotment_lease_s * (1.0 + MAX_CLOCK_DRIFT)


class LeaderHarness:
    """A leader with an in-memory log and a manual clock."""

    def __init__(self) -> None:
        assert KEY
        self.clock = ManualClock(50.0)
        self.machine = ControlStateMachine()
        self.log = LocalLog(self.machine, SETTINGS.host_id)
        self.leader = Leader(SETTINGS, self.machine, self.log, self.clock, set())
        self.proposer = Proposer(self.log, {}, lambda: 1_700_000_000_000, self.leader.check_stop)
        self.log.on_leadership_change = self.leader.leadership_changed
        self.log.start_term()
        self.sequence = 0
        self.leader._ledger.set_caps({CAP_KEY: 100.0})
        self.leader._caps_revision = self.machine.state.revision

    async def async_request(self, host_id: HostId, held: float, wanted: float) -> float:
        """Request allotments and return the amount granted."""
        self.sequence += 1
        term = self.leader.term()
        assert term is not None
        message = RequestAllotments(
            Incarnation(1), term, self.sequence, (Holding(*CAP_KEY, held, wanted),)
        )
        reply = await self.leader.async_request_allotments(self.proposer, host_id, message)
        assert isinstance(reply, Allotments)
        return reply.grants[0].amount

    def tick(self, seconds: float) -> None:
        """Advance the clock and run the leader's ticks."""
        for _ in range(round(seconds / TICK_INTERVAL_S)):
            self.clock.advance(TICK_INTERVAL_S)
            self.leader.tick(self.proposer)


async def test_rate_of_a_silent_entry_host_is_reclaimed_after_its_lease() -> None:
    """An entry host without contact keeps its rate until its lease expires, and no longer."""
    harness = LeaderHarness()
    assert await harness.async_request(ENTRY, 0.0, 200.0) == 98.0
    harness.tick(LEASE_EXPIRY_S - 2 * TICK_INTERVAL_S)
    assert await harness.async_request(OTHER, 0.0, 200.0) == 2.0
    harness.tick(4 * TICK_INTERVAL_S)
    assert await harness.async_request(OTHER, 2.0, 200.0) == 98.0


async def test_leader_restarts_lease_timers_after_a_pause() -> None:
    """During the pause, entry hosts may have extended their leases, as no leader was active."""
    harness = LeaderHarness()
    await harness.async_request(ENTRY, 0.0, 200.0)
    harness.tick(TICK_INTERVAL_S)
    harness.clock.advance(LEASE_EXPIRY_S + PAUSE_THRESHOLD_S)
    harness.leader.tick(harness.proposer)
    assert await harness.async_request(OTHER, 0.0, 200.0) == 2.0
    harness.tick(LEASE_EXPIRY_S + 2 * TICK_INTERVAL_S)
    assert await harness.async_request(OTHER, 2.0, 200.0) == 98.0


async def test_leader_restarts_lease_timers_in_a_later_term() -> None:
    """The same holds if the leader's lease expires and it leads again in a later term."""
    harness = LeaderHarness()
    await harness.async_request(ENTRY, 0.0, 200.0)
    harness.tick(LEASE_EXPIRY_S - 2 * TICK_INTERVAL_S)
    harness.log.end_term()
    harness.tick(2.0)
    harness.log.start_term()
    harness.leader._ledger.set_caps({CAP_KEY: 100.0})
    harness.leader._caps_revision = harness.machine.state.revision
    harness.tick(4 * TICK_INTERVAL_S)
    assert await harness.async_request(OTHER, 0.0, 200.0) == 2.0


async def test_leader_without_a_lease_renews_and_grants_nothing() -> None:
    """An isolated leader refuses contacts and requests for allotments."""
    harness = LeaderHarness()
    harness.log.end_term()
    contact = await harness.leader.async_contact(
        harness.proposer, ENTRY, Contact(Incarnation(1), Term(1), Revision(0))
    )
    request = RequestAllotments(Incarnation(1), Term(1), 1, ())
    grants = await harness.leader.async_request_allotments(harness.proposer, ENTRY, request)
    for reply in (contact, grants):
        assert isinstance(reply, Refused)
        assert reply.code is ResultCode.NOT_LEADER


async def test_entry_host_is_registered_before_its_first_lease() -> None:
    """Later leaders must know of the entry host, to wait for it before a stop is safe."""
    harness = LeaderHarness()
    reply = await harness.leader.async_contact(
        harness.proposer, ENTRY, Contact(Incarnation(7), Term(0), Revision(0))
    )
    assert isinstance(reply, ContactReply)
    assert harness.machine.state.incarnation_by_entry == {ENTRY: 7}
    assert harness.machine.state.revision == 0


def entry_host_view(
    contact_age_s: float, applied: int, in_flight: int | None, lost: bool
) -> EntryHostView:
    """Return the leader's view of an entry host for stop `s`."""
    reports = {} if in_flight is None else {StopId("s"): in_flight}
    return EntryHostView(contact_age_s, Revision(applied), reports, lost)


def test_stop_is_safe_after_reports_or_lease_expiry() -> None:
    """A report counts only if the entry host had applied the stop."""
    stop = PlannedStop(
        stop_id=StopId("s"),
        target=StopTarget.ENDPOINT,
        target_id="e",
        state=StopState.DRAINING,
        revision=Revision(5),
    )
    cases = [
        (entry_host_view(0.1, 5, 0, False), True),
        (entry_host_view(0.1, 5, 1, False), False),
        (entry_host_view(0.1, 5, None, False), False),
        (entry_host_view(0.1, 4, 0, False), False),
        (entry_host_view(3.2, 4, 0, False), False),
        (entry_host_view(3.2, 4, 0, True), True),
        (entry_host_view(30.2, 4, 9, False), True),
    ]
    for entry, safe in cases:
        assert is_safe(stop, [entry], 3.1, 30.0) is safe


async def test_late_registration_of_an_older_incarnation_is_ignored() -> None:
    """A late registration of an earlier incarnation doesn't replace the current one."""
    harness = LeaderHarness()
    for incarnation in (1, 2, 1):
        await harness.proposer.async_propose(RegisterEntry(ENTRY, Incarnation(incarnation)))
    assert harness.machine.state.incarnation_by_entry == {ENTRY: 2}
