"""Ledger of a leader: what each entry host may believe it holds of each cap.

The amount kept for an entry host is an upper bound on its belief. A raise is in the replicated
log before the entry host hears of it. The bound is lowered only on a statement that the entry
host sent after it had heard of this leader's term, or once every lease given before has lapsed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lagoonwing_control._division import divide
from lagoonwing_control._state import AllotmentKey
from lagoonwing_control.models import Allotment
from lagoonwing_core.ids import HostId, Incarnation, MemberId, Term
from lagoonwing_core.models import CapDimension
from lagoonwing_wire.control_messages import Grant, Holding, RequestAllotments

CapKey = tuple[MemberId, CapDimension]

# A share is left as it is while it is this near to the one worked out, as a part of the cap.
HYSTERESIS_SHARE = 0.02
TURN_S = 1.0


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Durations of allotments.

    Attributes:
        lease_s: How long a grant holds, counted by the entry host from before it asked.
        drift: Bound on the difference of clock rates.
        max_request_s: Longest that a request runs; running requests outlast a lapsed grant.
    """

    lease_s: float
    drift: float
    max_request_s: float

    @property
    def hold_s(self) -> float:
        """Seconds after which a grant has lapsed on every clock."""
        return self.lease_s * (1.0 + self.drift)

    @property
    def running_hold_s(self) -> float:
        """Seconds after which no request started under a grant runs any more."""
        return (self.lease_s + self.max_request_s) * (1.0 + self.drift)


@dataclass(frozen=True, slots=True)
class AllotmentPlan:
    """Answer to a request for allotments.

    Attributes:
        must_commit: Whether `pending` must be in the log before the grants are told.
    """

    grants: tuple[Grant, ...]
    must_commit: bool


@dataclass(slots=True)
class _EntryRecord:
    """What the leader knows of one entry host in its term."""

    heard: float
    incarnation: Incarnation = Incarnation(-1)
    sequence: int = -1
    wanted_by_cap: dict[CapKey, float] = field(default_factory=dict)


class AllotmentLedger:
    """Divides caps and never lets the sum of beliefs pass them."""

    def __init__(self, settings: LedgerSettings) -> None:
        self._settings = settings
        self._term = Term(0)
        self._cap_by_key: dict[CapKey, float] = {}
        self._bound_by_cap_by_host: dict[HostId, dict[CapKey, float]] = {}
        self._logged_by_key: dict[AllotmentKey, float] = {}
        # Lowest amounts that the log may hold: proposed, and not known to be logged or lost.
        self._floor_by_key: dict[AllotmentKey, float] = {}
        # Amounts that may differ from the log.
        self._touched: set[AllotmentKey] = set()
        self._entry_by_host: dict[HostId, _EntryRecord] = {}

    def start_term(self, term: Term, amounts: Mapping[AllotmentKey, float], now: float) -> None:
        """Lead from the amounts in the durable state; every lease counts as just given."""
        self._term = term
        self._bound_by_cap_by_host = {}
        for (host_id, member_id, dimension), amount in amounts.items():
            self._raise_bound(host_id, (member_id, dimension), amount)
        self._logged_by_key = dict(amounts)
        self._floor_by_key = {}
        self._entry_by_host = {host_id: _EntryRecord(now) for host_id, _, _ in amounts}

    def restart_timers(self, now: float) -> None:
        """Count every lease as just given; for use after this leader's lease had lapsed."""
        for record in self._entry_by_host.values():
            record.heard = now

    def set_caps(self, cap_by_key: Mapping[CapKey, float]) -> None:
        """Replace the caps; a cap of a retired member is 0."""
        self._cap_by_key = dict(cap_by_key)

    def request(
        self, host_id: HostId, message: RequestAllotments, now: float
    ) -> AllotmentPlan | None:
        """Take an entry host's statement and plan its grants.

        Returns:
            The plan; `None` if the message is older than one already seen, or was sent before
            the entry host had heard of this term, so that it must be ignored.
        """
        if message.term != self._term:
            return None
        record = self._entry_by_host.setdefault(host_id, _EntryRecord(now))
        if (message.incarnation, message.sequence) <= (record.incarnation, record.sequence):
            return None
        record.incarnation = message.incarnation
        record.sequence = message.sequence
        record.heard = now
        self._lower_to_statement(host_id, message.holdings)
        record.wanted_by_cap = {
            (item.member_id, item.dimension): item.wanted for item in message.holdings
        }
        grants = tuple(self._grant(host_id, item, now) for item in message.holdings)
        return AllotmentPlan(grants, self._outruns_log(host_id, grants))

    def expire(self, now: float) -> None:
        """Reclaim what entry hosts held that are silent past their leases."""
        for host_id, bound_by_cap in self._bound_by_cap_by_host.items():
            silence = now - self._entry_by_host[host_id].heard
            for cap_key in list(bound_by_cap):
                if silence > self._hold_s(cap_key[1]):
                    del bound_by_cap[cap_key]
                    self._touched.add((host_id, *cap_key))
        for host_id, record in list(self._entry_by_host.items()):
            if now - record.heard > self._settings.running_hold_s:
                del self._entry_by_host[host_id]
                self._bound_by_cap_by_host.pop(host_id, None)

    def pending(self) -> tuple[Allotment, ...]:
        """Return the amounts that differ from the log."""
        self._touched = {key for key in self._touched if self._differs_from_log(key)}
        changed = sorted(self._touched, key=lambda key: (key[0], key[1], key[2].value))
        for key in changed:
            # The answer to a proposal may be lost although the log took it.
            self._floor_by_key[key] = min(self._lowest_logged(key), self._bound(key))
        return tuple(Allotment(*key, self._bound(key)) for key in changed)

    def logged(self, allotments: Iterable[Allotment]) -> None:
        """Note that amounts are in the log; call in the order of the log."""
        for item in allotments:
            key = (item.host_id, item.member_id, item.dimension)
            self._floor_by_key.pop(key, None)
            if item.amount > 0:
                self._logged_by_key[key] = item.amount
            else:
                self._logged_by_key.pop(key, None)

    def held(self, cap_key: CapKey) -> float:
        """Return the sum of the bounds of one cap over all entry hosts."""
        return math.fsum(
            bound_by_cap.get(cap_key, 0.0) for bound_by_cap in self._bound_by_cap_by_host.values()
        )

    def _lower_to_statement(self, host_id: HostId, holdings: tuple[Holding, ...]) -> None:
        """Replace the bounds of one entry host by what it says that it may be using."""
        former = self._bound_by_cap_by_host.get(host_id, {})
        self._touched.update((host_id, *cap_key) for cap_key in former)
        self._bound_by_cap_by_host[host_id] = {}
        for item in holdings:
            self._raise_bound(host_id, (item.member_id, item.dimension), item.held)

    def _grant(self, host_id: HostId, holding: Holding, now: float) -> Grant:
        """Grant a share of one cap and raise the bound to it."""
        cap_key = (holding.member_id, holding.dimension)
        cap = self._cap_by_key.get(cap_key, 0.0)
        total = self.held(cap_key)
        own = self._bound_by_cap_by_host[host_id].get(cap_key, 0.0)
        share = self._share(host_id, cap_key, now)
        keeps = total <= cap and abs(share - own) <= HYSTERESIS_SHARE * cap
        room = max(0.0, cap - (total - own))
        amount = min(own if keeps else share, room)
        if holding.dimension is CapDimension.CONCURRENCY:
            amount = float(math.floor(amount + 1e-9))
        self._raise_bound(host_id, cap_key, amount)
        return Grant(holding.member_id, holding.dimension, amount)

    def _share(self, host_id: HostId, cap_key: CapKey, now: float) -> float:
        """Return what an entry host ought to hold of one cap."""
        live = {
            other: record.wanted_by_cap.get(cap_key, 0.0)
            for other, record in self._entry_by_host.items()
            if now - record.heard <= self._settings.hold_s
        }
        integral = cap_key[1] is CapDimension.CONCURRENCY
        cap = self._cap_by_key.get(cap_key, 0.0)
        return divide(cap, live, integral, int(now / TURN_S))[host_id]

    def _raise_bound(self, host_id: HostId, cap_key: CapKey, amount: float) -> None:
        """Raise a bound to an amount."""
        bound_by_cap = self._bound_by_cap_by_host.setdefault(host_id, {})
        if amount > bound_by_cap.get(cap_key, 0.0):
            bound_by_cap[cap_key] = amount
            self._touched.add((host_id, *cap_key))

    def _bound(self, key: AllotmentKey) -> float:
        """Return what an entry host may believe it holds of one cap."""
        host_id, member_id, dimension = key
        return self._bound_by_cap_by_host.get(host_id, {}).get((member_id, dimension), 0.0)

    def _differs_from_log(self, key: AllotmentKey) -> bool:
        """Return whether a bound is not, or may not be, as the log has it."""
        if key in self._floor_by_key:
            return True
        return self._bound(key) != self._logged_by_key.get(key, 0.0)

    def _lowest_logged(self, key: AllotmentKey) -> float:
        """Return the lowest amount that the log may hold for an entry host."""
        logged = self._logged_by_key.get(key, 0.0)
        return min(logged, self._floor_by_key.get(key, logged))

    def _outruns_log(self, host_id: HostId, grants: tuple[Grant, ...]) -> bool:
        """Return whether a grant passes what the log is certain to hold for it."""
        return any(
            grant.amount > self._lowest_logged((host_id, grant.member_id, grant.dimension))
            for grant in grants
        )

    def _hold_s(self, dimension: CapDimension) -> float:
        """Return how long a silent entry host may still use an amount."""
        if dimension is CapDimension.CONCURRENCY:
            return self._settings.running_hold_s
        return self._settings.hold_s
