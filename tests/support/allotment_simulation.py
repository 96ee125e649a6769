"""Simulation of entry hosts that use all they are granted, under faults of messages and leaders."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from lagoonwing_control._allotments import AllotmentLedger, LedgerSettings
from lagoonwing_control._state import AllotmentKey
from lagoonwing_core.ids import HostId, Incarnation, MemberId, Term
from lagoonwing_core.models import CapDimension
from lagoonwing_follower._allotment_holder import AllotmentHolder, AllotmentRequest
from lagoonwing_policy.models import MemberDemand
from lagoonwing_wire.control_messages import Allotments

MEMBER = MemberId("marca")
RATE = CapDimension.TOKENS_PER_S
CONCURRENCY = CapDimension.CONCURRENCY
LEASE_S = 2.0
DRIFT = 0.05
MAX_REQUEST_S = 5.0
SETTINGS = LedgerSettings(lease_s=LEASE_S, drift=DRIFT, max_request_s=MAX_REQUEST_S)
ENTRY_HOST_COUNT = 3
# Clock rates that differ by at most the drift.
ENTRY_HOST_CLOCK_RATES = (1.0, 1.0 + DRIFT, 1.0 + DRIFT / 2)
LEADER_CLOCK_RATES = (1.0 + DRIFT, 1.0)
TOLERANCE = 1e-6


@dataclass
class SimulatedEntryHost:
    """An entry host that uses everything it is granted."""

    host_id: HostId
    rate: float
    incarnation: int = 0
    holder: AllotmentHolder = field(init=False)
    running: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.restart()

    def now(self, real_s: float) -> float:
        """Return the time on the entry host's own clock."""
        return real_s * self.rate

    def restart(self) -> None:
        """Restart the process, which loses all state."""
        self.incarnation += 1
        self.holder = AllotmentHolder(Incarnation(self.incarnation))
        self.running = []

    def end_timed_out(self, real_s: float) -> None:
        """End the requests that reached their maximum run time."""
        now = self.now(real_s)
        self.running = [start for start in self.running if now - start < MAX_REQUEST_S]

    def amount(self, dimension: CapDimension, real_s: float) -> float:
        """Return the amount of the grants that are valid now."""
        grants = self.holder.grants(self.now(real_s))
        return sum(grant.amount for grant in grants if grant.dimension is dimension)

    def usage_bound(self, dimension: CapDimension, real_s: float) -> float:
        """Return the maximum that the entry host may be using now."""
        amount = self.amount(dimension, real_s)
        return max(amount, float(len(self.running))) if dimension is CONCURRENCY else amount

    def make_request(self, wanted: int, real_s: float) -> AllotmentRequest:
        """Return a request with the demand of both dimensions."""
        used = float(len(self.running))
        demands = [
            MemberDemand(MEMBER, RATE, 0.0, float(wanted)),
            MemberDemand(MEMBER, CONCURRENCY, used, max(used, float(wanted))),
        ]
        return self.holder.build_request(demands, self.now(real_s))


class AllotmentSimulation:
    """Entry hosts, one leader at a time, the amounts in the log and the messages in flight."""

    def __init__(self) -> None:
        self.real_s = 100.0
        self.entries = [
            SimulatedEntryHost(HostId(f"entry-{number}"), ENTRY_HOST_CLOCK_RATES[number])
            for number in range(ENTRY_HOST_COUNT)
        ]
        self.logged: dict[AllotmentKey, float] = {}
        self.term = 0
        self.ledger = AllotmentLedger(SETTINGS)
        self.leading = False
        self.cap = 10.0
        self.cap_changes: list[tuple[float, float]] = [(0.0, 10.0)]
        self.leaderless: list[list[float]] = []
        self.requests: list[tuple[SimulatedEntryHost, AllotmentRequest]] = []
        self.replies: list[tuple[SimulatedEntryHost, AllotmentRequest, Allotments]] = []
        self.elect()

    def leader_clock(self) -> float:
        """Return the time on the leader's clock."""
        return self.real_s * LEADER_CLOCK_RATES[self.term % 2]

    def elect(self) -> None:
        """Start the term of another leader from the amounts in the log."""
        self.lapse()
        self.leaderless[-1][1] = self.real_s
        self.term += 1
        self.ledger = AllotmentLedger(SETTINGS)
        self.ledger.start_term(Term(self.term), dict(self.logged), self.leader_clock())
        self.leading = True
        self.set_cap(self.cap)

    def lapse(self) -> None:
        """Expire the leader's lease."""
        if self.leading or not self.leaderless:
            self.leaderless.append([self.real_s, float("inf")])
        self.leading = False

    def regain(self) -> None:
        """Renew the lease of the same leader after it expired."""
        if not self.leading:
            self.leaderless[-1][1] = self.real_s
            self.leading = True
            self.ledger.restart_timers(self.leader_clock())

    def set_cap(self, cap: float) -> None:
        """Change the cap; has an effect only while there is a leader."""
        if self.leading:
            self.cap = cap
            self.cap_changes.append((self.real_s, cap))
            self.ledger.set_caps({(MEMBER, RATE): cap, (MEMBER, CONCURRENCY): cap})

    def send_request(self, entry: SimulatedEntryHost, wanted: int) -> None:
        """Send a request of an entry host."""
        self.requests.append((entry, entry.make_request(wanted, self.real_s)))

    def deliver_request(self, choice: int, outcome: int) -> None:
        """Deliver one request to the leader; `outcome` selects duplication and commit failures."""
        if not self.requests or not self.leading:
            return
        position = choice % len(self.requests)
        entry, request = self.requests[position]
        if outcome % 2 == 0:
            del self.requests[position]
        plan = self.ledger.plan_grants(entry.host_id, request.message, self.leader_clock())
        if plan is None:
            self._reply(entry, request, ())
            return
        if plan.must_commit and not self._commit(outcome // 2 % 4):
            return
        self._reply(entry, request, plan.grants)

    def _commit(self, outcome: int) -> bool:
        """Commit the ledger's changes; return whether the leader receives the confirmation.

        Outcome 1 loses the proposal, outcome 2 loses the answer to a committed one.
        """
        pending = self.ledger.pending()
        if outcome == 1:
            return False
        for item in pending:
            self.logged[(item.host_id, item.member_id, item.dimension)] = item.amount
        if outcome == 2:
            return False
        self.ledger.mark_logged(pending)
        return True

    def _reply(self, entry: SimulatedEntryHost, request: AllotmentRequest, grants: tuple) -> None:
        """Send a reply."""
        self.replies.append((entry, request, Allotments(Term(self.term), LEASE_S, grants)))

    def deliver_reply(self, choice: int, keep: bool) -> None:
        """Deliver one reply to its entry host; keep it for redelivery if `keep` is set."""
        if not self.replies:
            return
        position = choice % len(self.replies)
        entry, request, reply = self.replies[position]
        if not keep:
            del self.replies[position]
        # A reply to an earlier incarnation is not delivered to the current one.
        if request.message.incarnation == entry.incarnation:
            entry.holder.accept(request, reply, entry.now(self.real_s))

    def drop(self) -> None:
        """Drop every message in flight."""
        self.requests.clear()
        self.replies.clear()

    def advance(self, seconds: float) -> None:
        """Advance the time; the leader reclaims expired allotments."""
        self.real_s += seconds
        for entry in self.entries:
            entry.end_timed_out(self.real_s)
        if self.leading:
            self.ledger.expire(self.leader_clock())

    def extend(self, entry: SimulatedEntryHost) -> None:
        """Extend an entry host's lease without a leader; has an effect only while there is none."""
        if not self.leading:
            entry.holder.extend(entry.now(self.real_s), entry.now(self.real_s))

    def start(self, entry: SimulatedEntryHost) -> None:
        """Start as many requests as the grant permits."""
        while len(entry.running) + 1 <= entry.amount(CONCURRENCY, self.real_s):
            entry.running.append(entry.now(self.real_s))

    def highest_cap_in_force(self, window_s: float) -> float:
        """Return the highest cap in force within a window before now.

        A period without a leader extends the window, as entry hosts may extend their leases in it.
        """
        horizon = self.real_s - window_s
        for begin, end in reversed(self.leaderless):
            if end >= horizon:
                horizon = min(horizon, begin - window_s)
        caps = [cap for time, cap in self.cap_changes if time >= horizon]
        before = [cap for time, cap in self.cap_changes if time < horizon]
        return max([*caps, *before[-1:]])

    def check(self) -> None:
        """Assert that the entry hosts together can't use more than the cap."""
        lease_expiry_s = SETTINGS.lease_expiry_s
        request_expiry_s = SETTINGS.request_expiry_s
        for dimension, window_s in ((RATE, lease_expiry_s), (CONCURRENCY, request_expiry_s)):
            total = sum(entry.usage_bound(dimension, self.real_s) for entry in self.entries)
            assert total <= self.highest_cap_in_force(window_s) + TOLERANCE, (dimension, total)


# Relative frequency of each kind of step.
WEIGHT_BY_KIND = {
    "exchange": 10,
    "ask": 6,
    "deliver_request": 8,
    "deliver_reply": 8,
    "advance": 8,
    "finish": 1,
    "restart": 0.3,
    "extend": 4,
    "cap": 0.5,
    "elect": 1.5,
    "lapse": 1.5,
    "regain": 1.5,
    "drop": 0.5,
}


def draw_step(draw: random.Random) -> tuple:
    """Draw one step of a random walk."""
    kind = draw.choices(list(WEIGHT_BY_KIND), list(WEIGHT_BY_KIND.values()))[0]
    match kind:
        case "advance":
            return (kind, draw.choice([0.1, 0.3, 0.9, 1.9, 1.97, 2.05, 2.2, 5.0]), 0)
        case "cap":
            return (kind, draw.choice([0.0, 3.0, 10.0, 17.0]), 0)
        case "deliver_request":
            return (kind, draw.randrange(8), draw.choice([0, 0, 0, 1, 2, 4, 5]))
        case "deliver_reply":
            return (kind, draw.randrange(8), draw.randrange(2))
        case _:
            return (kind, draw.randrange(ENTRY_HOST_COUNT), draw.choice([0, 3, 20, 20]))


def run_step(simulation: AllotmentSimulation, step: tuple) -> None:
    """Execute one step."""
    kind, first, second = step
    match kind:
        case "ask":
            simulation.send_request(simulation.entries[first], second)
        case "exchange":
            simulation.send_request(simulation.entries[first], second)
            simulation.deliver_request(len(simulation.requests) - 1, 0)
            simulation.deliver_reply(max(0, len(simulation.replies) - 1), False)
        case "deliver_request":
            simulation.deliver_request(first, second)
        case "deliver_reply":
            simulation.deliver_reply(first, bool(second))
        case "advance":
            simulation.advance(first)
        case "start":
            simulation.start(simulation.entries[first])
        case "finish":
            simulation.entries[first].running[:1] = []
        case "restart":
            simulation.entries[first].restart()
        case "extend":
            simulation.extend(simulation.entries[first])
        case "cap":
            simulation.set_cap(first)
        case _:
            getattr(simulation, kind)()
