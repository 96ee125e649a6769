"""A leader's leases and timers on a paused clock."""

from __future__ import annotations

from control_support import KEY, make_settings

from lagoonwing_control import ControlStateMachine
from lagoonwing_control._leader import Leader
from lagoonwing_control._proposer import Proposer
from lagoonwing_control._stops import EntryView, is_safe
from lagoonwing_control.const import CLOCK_DRIFT, PAUSE_S, TICK_S
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
HOLD_S = SETTINGS.allotment_lease_s * (1.0 + CLOCK_DRIFT)


class Desk:
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

    async def async_ask(self, host_id: HostId, held: float, wanted: float) -> float:
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
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self.leader.tick(self.proposer)


async def test_silent_entrys_rate_is_free_after_the_lease() -> None:
    """And not before."""
    desk = Desk()
    assert await desk.async_ask(ENTRY, 0.0, 200.0) == 98.0
    desk.tick(HOLD_S - 2 * TICK_S)
    assert await desk.async_ask(OTHER, 0.0, 200.0) == 2.0
    desk.tick(4 * TICK_S)
    assert await desk.async_ask(OTHER, 2.0, 200.0) == 98.0


async def test_paused_leader_counts_every_lease_anew() -> None:
    """While it was paused, entry hosts may have gone on by a proof that no leader acts."""
    desk = Desk()
    await desk.async_ask(ENTRY, 0.0, 200.0)
    desk.tick(TICK_S)
    desk.clock.advance(HOLD_S + PAUSE_S)
    desk.leader.tick(desk.proposer)
    assert await desk.async_ask(OTHER, 0.0, 200.0) == 2.0
    desk.tick(HOLD_S + 2 * TICK_S)
    assert await desk.async_ask(OTHER, 2.0, 200.0) == 98.0


async def test_leader_that_was_without_its_lease_counts_every_lease_anew() -> None:
    """The same holds when its lease lapses and it goes on in a later term."""
    desk = Desk()
    await desk.async_ask(ENTRY, 0.0, 200.0)
    desk.tick(HOLD_S - 2 * TICK_S)
    desk.log.end_term()
    desk.tick(2.0)
    desk.log.start_term()
    desk.leader._ledger.set_caps({CAP_KEY: 100.0})
    desk.leader._caps_revision = desk.machine.state.revision
    desk.tick(4 * TICK_S)
    assert await desk.async_ask(OTHER, 0.0, 200.0) == 2.0


async def test_without_a_lease_nothing_is_renewed_or_granted() -> None:
    """A leader that is cut off may not act."""
    desk = Desk()
    desk.log.end_term()
    contact = await desk.leader.async_contact(
        desk.proposer, ENTRY, Contact(Incarnation(1), Term(1), Revision(0))
    )
    request = RequestAllotments(Incarnation(1), Term(1), 1, ())
    grants = await desk.leader.async_request_allotments(desk.proposer, ENTRY, request)
    for reply in (contact, grants):
        assert isinstance(reply, Refused)
        assert reply.code is ResultCode.NOT_LEADER


async def test_entry_host_is_registered_before_its_first_lease() -> None:
    """A later leader has to wait for it before a stop is safe."""
    desk = Desk()
    reply = await desk.leader.async_contact(
        desk.proposer, ENTRY, Contact(Incarnation(7), Term(0), Revision(0))
    )
    assert isinstance(reply, ContactReply)
    assert desk.machine.state.incarnation_by_entry == {ENTRY: 7}
    assert desk.machine.state.revision == 0


def stop_entry(silence: float, applied: int, in_flight: int | None, lost: bool) -> EntryView:
    """Return an entry host as a stop's check sees it."""
    reports = {} if in_flight is None else {StopId("s"): in_flight}
    return EntryView(silence, Revision(applied), reports, lost)


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
        (stop_entry(0.1, 5, 0, False), True),
        (stop_entry(0.1, 5, 1, False), False),
        (stop_entry(0.1, 5, None, False), False),
        (stop_entry(0.1, 4, 0, False), False),
        (stop_entry(3.2, 4, 0, False), False),
        (stop_entry(3.2, 4, 0, True), True),
        (stop_entry(30.2, 4, 9, False), True),
    ]
    for entry, safe in cases:
        assert is_safe(stop, [entry], 3.1, 30.0) is safe


async def test_two_registrations_and_a_late_forget() -> None:
    """An entry host that came back is not forgotten for its former process."""
    desk = Desk()
    for incarnation in (1, 2, 1):
        await desk.proposer.async_propose(RegisterEntry(ENTRY, Incarnation(incarnation)))
    assert desk.machine.state.incarnation_by_entry == {ENTRY: 2}
