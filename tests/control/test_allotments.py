"""Conservation of caps under loss, delay, duplicates, pauses, drift and changes of leader."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonwing_control._allotments import AllotmentLedger, LedgerSettings
from lagoonwing_control._division import divide, water_fill
from lagoonwing_control._state import AllotmentKey
from lagoonwing_core.ids import HostId, Incarnation, MemberId, Term
from lagoonwing_core.models import CapDimension
from lagoonwing_follower._holder import AllotmentHolder, Statement
from lagoonwing_policy.models import MemberDemand
from lagoonwing_wire.control_messages import Allotments

MEMBER = MemberId("marca")
RATE = CapDimension.TOKENS_PER_S
CONCURRENCY = CapDimension.CONCURRENCY
LEASE_S = 2.0
DRIFT = 0.05
MAX_REQUEST_S = 5.0
SETTINGS = LedgerSettings(lease_s=LEASE_S, drift=DRIFT, max_request_s=MAX_REQUEST_S)
ENTRIES = 3
# Clock rates within the drift bound of one another.
ENTRY_RATES = (1.0, 1.0 + DRIFT, 1.0 + DRIFT / 2)
LEADER_RATES = (1.0 + DRIFT, 1.0)
TOLERANCE = 1e-6


@dataclass
class Entry:
    """An entry host that uses all that it may."""

    host_id: HostId
    rate: float
    incarnation: int = 0
    holder: AllotmentHolder = field(init=False)
    running: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.restart()

    def now(self, real: float) -> float:
        """Return the time on the entry's own clock."""
        return real * self.rate

    def restart(self) -> None:
        """Lose everything with the process."""
        self.incarnation += 1
        self.holder = AllotmentHolder(Incarnation(self.incarnation))
        self.running = []

    def end_overdue(self, real: float) -> None:
        """End the requests that have run for as long as they may."""
        now = self.now(real)
        self.running = [start for start in self.running if now - start < MAX_REQUEST_S]

    def amount(self, dimension: CapDimension, real: float) -> float:
        """Return the grant that holds now."""
        grants = self.holder.grants(self.now(real))
        return sum(grant.amount for grant in grants if grant.dimension is dimension)

    def belief(self, dimension: CapDimension, real: float) -> float:
        """Return what the entry may be using now."""
        amount = self.amount(dimension, real)
        return max(amount, float(len(self.running))) if dimension is CONCURRENCY else amount

    def ask(self, wanted: int, real: float) -> Statement:
        """State demands of both dimensions."""
        used = float(len(self.running))
        demands = [
            MemberDemand(MEMBER, RATE, 0.0, float(wanted)),
            MemberDemand(MEMBER, CONCURRENCY, used, max(used, float(wanted))),
        ]
        return self.holder.statement(demands, self.now(real))


class World:
    """Entries, one leader at a time, what the log holds, and messages under way."""

    def __init__(self) -> None:
        self.real = 100.0
        self.entries = [
            Entry(HostId(f"entry-{number}"), ENTRY_RATES[number]) for number in range(ENTRIES)
        ]
        self.logged: dict[AllotmentKey, float] = {}
        self.term = 0
        self.ledger = AllotmentLedger(SETTINGS)
        self.leading = False
        self.cap = 10.0
        self.cap_changes: list[tuple[float, float]] = [(0.0, 10.0)]
        self.leaderless: list[list[float]] = []
        self.requests: list[tuple[Entry, Statement]] = []
        self.replies: list[tuple[Entry, Statement, Allotments]] = []
        self.elect()

    def leader_now(self) -> float:
        """Return the time on the leader's clock."""
        return self.real * LEADER_RATES[self.term % 2]

    def elect(self) -> None:
        """Let another leader begin its term from the log."""
        self.lapse()
        self.leaderless[-1][1] = self.real
        self.term += 1
        self.ledger = AllotmentLedger(SETTINGS)
        self.ledger.start_term(Term(self.term), dict(self.logged), self.leader_now())
        self.leading = True
        self.set_cap(self.cap)

    def lapse(self) -> None:
        """Let the leader's lease lapse."""
        if self.leading or not self.leaderless:
            self.leaderless.append([self.real, float("inf")])
        self.leading = False

    def regain(self) -> None:
        """Let the same leader get its lease back."""
        if not self.leading:
            self.leaderless[-1][1] = self.real
            self.leading = True
            self.ledger.restart_timers(self.leader_now())

    def set_cap(self, cap: float) -> None:
        """Change the cap, which only a leader can accept."""
        if self.leading:
            self.cap = cap
            self.cap_changes.append((self.real, cap))
            self.ledger.set_caps({(MEMBER, RATE): cap, (MEMBER, CONCURRENCY): cap})

    def ask(self, entry: Entry, wanted: int) -> None:
        """Let an entry send a statement."""
        self.requests.append((entry, entry.ask(wanted, self.real)))

    def deliver_request(self, choice: int, fate: int) -> None:
        """Let the leader get one message, maybe again later, and maybe fail to commit."""
        if not self.requests or not self.leading:
            return
        position = choice % len(self.requests)
        entry, statement = self.requests[position]
        if fate % 2 == 0:
            del self.requests[position]
        plan = self.ledger.request(entry.host_id, statement.message, self.leader_now())
        if plan is None:
            self._reply(entry, statement, ())
            return
        if plan.must_commit and not self._commit(fate // 2 % 4):
            return
        self._reply(entry, statement, plan.grants)

    def _commit(self, fate: int) -> bool:
        """Write the ledger's changes to the log; return whether the leader learns of it."""
        pending = self.ledger.pending()
        if fate == 1:
            return False
        for item in pending:
            self.logged[(item.host_id, item.member_id, item.dimension)] = item.amount
        if fate == 2:
            return False
        self.ledger.logged(pending)
        return True

    def _reply(self, entry: Entry, statement: Statement, grants: tuple) -> None:
        """Send a reply."""
        self.replies.append((entry, statement, Allotments(Term(self.term), LEASE_S, grants)))

    def deliver_reply(self, choice: int, keep: bool) -> None:
        """Let an entry get one reply, maybe again later."""
        if not self.replies:
            return
        position = choice % len(self.replies)
        entry, statement, reply = self.replies[position]
        if not keep:
            del self.replies[position]
        # A reply to a process that has died is not delivered to the next one.
        if statement.message.incarnation == entry.incarnation:
            entry.holder.accept(statement, reply, entry.now(self.real))

    def drop(self) -> None:
        """Lose every message under way."""
        self.requests.clear()
        self.replies.clear()

    def advance(self, seconds: float) -> None:
        """Let time pass; the leader reclaims what has lapsed."""
        self.real += seconds
        for entry in self.entries:
            entry.end_overdue(self.real)
        if self.leading:
            self.ledger.expire(self.leader_now())

    def extend(self, entry: Entry) -> None:
        """Let an entry go on by itself; only while no leader acts."""
        if not self.leading:
            entry.holder.extend(entry.now(self.real), entry.now(self.real))

    def start(self, entry: Entry) -> None:
        """Start as many requests as the grant allows."""
        while len(entry.running) + 1 <= entry.amount(CONCURRENCY, self.real):
            entry.running.append(entry.now(self.real))

    def allowed(self, window_s: float) -> float:
        """Return the highest cap in force within the stated bound before now."""
        horizon = self.real - window_s
        for begin, end in reversed(self.leaderless):
            if end >= horizon:
                horizon = min(horizon, begin - window_s)
        caps = [cap for time, cap in self.cap_changes if time >= horizon]
        before = [cap for time, cap in self.cap_changes if time < horizon]
        return max([*caps, *before[-1:]])

    def check(self) -> None:
        """Fail if the entries together may use more than the cap."""
        hold_s = SETTINGS.hold_s
        running_hold_s = SETTINGS.running_hold_s
        for dimension, window_s in ((RATE, hold_s), (CONCURRENCY, running_hold_s)):
            total = sum(entry.belief(dimension, self.real) for entry in self.entries)
            assert total <= self.allowed(window_s) + TOLERANCE, (dimension, total)


# Kinds of steps by how often they are drawn.
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
WALK_STEPS = 120
WALKS = 200


def draw_step(draw: random.Random) -> tuple:
    """Draw one step of a walk."""
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
            return (kind, draw.randrange(ENTRIES), draw.choice([0, 3, 20, 20]))


def run_step(world: World, step: tuple) -> None:
    """Carry one step out."""
    kind, first, second = step
    match kind:
        case "ask":
            world.ask(world.entries[first], second)
        case "exchange":
            world.ask(world.entries[first], second)
            world.deliver_request(len(world.requests) - 1, 0)
            world.deliver_reply(max(0, len(world.replies) - 1), False)
        case "deliver_request":
            world.deliver_request(first, second)
        case "deliver_reply":
            world.deliver_reply(first, bool(second))
        case "advance":
            world.advance(first)
        case "start":
            world.start(world.entries[first])
        case "finish":
            world.entries[first].running[:1] = []
        case "restart":
            world.entries[first].restart()
        case "extend":
            world.extend(world.entries[first])
        case "cap":
            world.set_cap(first)
        case _:
            getattr(world, kind)()


@pytest.mark.parametrize("chunk", range(6))
def test_entries_together_never_pass_the_cap(chunk: int) -> None:
    """At each instant the sum of what entries may use is within the cap.

    Seeds are counted, not drawn: hypothesis draws others where other modules are loaded.
    """
    for seed in range(chunk * WALKS, (chunk + 1) * WALKS):
        walk(seed)


def walk(seed: int) -> None:
    """Run one walk and check the cap after each step."""
    draw = random.Random(seed)
    world = World()
    for _ in range(WALK_STEPS):
        run_step(world, draw_step(draw))
        for entry in world.entries:
            world.start(entry)
        world.check()


def test_idle_capacity_goes_to_who_wants_it() -> None:
    """What one entry gives up is with another after one more exchange of each."""
    world = World()
    for _ in range(3):
        run_step(world, ("exchange", 0, 10))
        run_step(world, ("exchange", 1, 0))
    assert world.entries[0].amount(CONCURRENCY, world.real) == 10
    for _ in range(2):
        run_step(world, ("exchange", 1, 10))
        run_step(world, ("exchange", 0, 0))
    run_step(world, ("exchange", 1, 10))
    assert world.entries[1].amount(CONCURRENCY, world.real) == 10
    assert world.entries[0].amount(RATE, world.real) < 1.0


def test_both_get_their_fair_share_at_the_crest() -> None:
    """Two entries that want all get half each, and a third gets something at once."""
    world = World()
    for _ in range(4):
        for number in (0, 1):
            run_step(world, ("exchange", number, 20))
    amounts = [entry.amount(CONCURRENCY, world.real) for entry in world.entries]
    assert amounts == [5, 5, 0]
    run_step(world, ("exchange", 2, 20))
    run_step(world, ("exchange", 2, 20))
    assert world.entries[2].amount(RATE, world.real) > 0


def test_renewal_needs_no_log_entry() -> None:
    """Renewing what is held leaves the log alone."""
    world = World()
    for _ in range(4):
        run_step(world, ("exchange", 0, 4))
    entry = world.entries[0]
    statement = entry.ask(4, world.real)
    plan = world.ledger.request(entry.host_id, statement.message, world.leader_now())
    assert plan is not None
    assert not plan.must_commit


def test_vanished_entry_keeps_concurrency_until_its_requests_ended() -> None:
    """Rates of a silent entry are reclaimed after the lease, running requests later."""
    world = World()
    for _ in range(3):
        run_step(world, ("exchange", 0, 10))
    world.advance(SETTINGS.hold_s + 0.1)
    for _ in range(3):
        run_step(world, ("exchange", 1, 10))
    assert world.entries[1].amount(RATE, world.real) > 9
    assert world.entries[1].amount(CONCURRENCY, world.real) == 0
    world.advance(SETTINGS.running_hold_s)
    for _ in range(3):
        run_step(world, ("exchange", 1, 10))
    assert world.entries[1].amount(CONCURRENCY, world.real) == 10


@given(
    st.floats(0, 1000),
    st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 1000), min_size=1),
    st.booleans(),
    st.integers(0, 50),
)
@settings(deadline=None, derandomize=True)
def test_division_stays_within_the_cap(
    cap: float, wanted: dict[str, float], integral: bool, turn: int
) -> None:
    """A division never passes the cap, and water-filling is max-min fair."""
    by_host = {HostId(name): amount for name, amount in wanted.items()}
    assert sum(divide(cap, by_host, integral, turn).values()) <= cap + TOLERANCE
    filled = water_fill(cap, by_host)
    unmet = [amount for host, amount in filled.items() if amount < by_host[host] - TOLERANCE]
    if unmet:
        assert max(filled.values()) <= min(unmet) + TOLERANCE
