"""A leader's leases and timers on a paused clock."""

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
    """A leader over a log in memory, on a clock of the test."""

    def __init__(self) -> None:
        assert KEY
        self.clock = ManualClock(50.0)
        self.machine = ControlStateMachine()
        self.log = LocalLog(self.machine, SETTINGS.host_id)
        self.leader = Leader(SETTINGS, self.machine, self.log, self.clock, set())
        self.proposer = Proposer(self.log, {}, lambda: 1_700_000_000_000, self.leader.check_stop)
        self.log.on_leadership = self.leader.leadership_changed
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
        """Let time pass at the leader's pace."""
        for _ in range(round(seconds / TICK_INTERVAL_S)):
            self.clock.advance(TICK_INTERVAL_S)
            self.leader.tick(self.proposer)


async def test_silent_entrys_rate_is_free_after_the_lease() -> None:
    """And not before."""
    harness = LeaderHarness()
    assert await harness.async_request(ENTRY, 0.0, 200.0) == 98.0
    harness.tick(LEASE_EXPIRY_S - 2 * TICK_INTERVAL_S)
    assert await harness.async_request(OTHER, 0.0, 200.0) == 2.0
    harness.tick(4 * TICK_INTERVAL_S)
    assert await harness.async_request(OTHER, 2.0, 200.0) == 98.0


async def test_paused_leader_counts_every_lease_anew() -> None:
    """While it was paused, entry hosts may have gone on by a proof that no leader acts."""
    harness = LeaderHarness()
    await harness.async_request(ENTRY, 0.0, 200.0)
    harness.tick(TICK_INTERVAL_S)
    harness.clock.advance(LEASE_EXPIRY_S + PAUSE_THRESHOLD_S)
    harness.leader.tick(harness.proposer)
    assert await harness.async_request(OTHER, 0.0, 200.0) == 2.0
    harness.tick(LEASE_EXPIRY_S + 2 * TICK_INTERVAL_S)
    assert await harness.async_request(OTHER, 2.0, 200.0) == 98.0


async def test_leader_that_was_without_its_lease_counts_every_lease_anew() -> None:
    """The same holds when its lease lapses and it goes on in a later term."""
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


async def test_without_a_lease_nothing_is_renewed_or_granted() -> None:
    """A leader that is cut off may not act."""
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
    """A later leader has to wait for it before a stop is safe."""
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
    """Return an entry host as a stop's check sees it."""
    reports = {} if in_flight is None else {StopId("s"): in_flight}
    return EntryHostView(contact_age_s, Revision(applied), reports, lost)


def test_stop_waits_for_reports_or_for_the_end_of_every_lease() -> None:
    """A report counts only if it was made with the stop in force."""
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


async def test_two_registrations_and_a_late_forget() -> None:
    """An entry host that came back is not forgotten for its former process."""
    harness = LeaderHarness()
    for incarnation in (1, 2, 1):
        await harness.proposer.async_propose(RegisterEntry(ENTRY, Incarnation(incarnation)))
    assert harness.machine.state.incarnation_by_entry == {ENTRY: 2}
