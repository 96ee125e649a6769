"""The leader's ledger of the share of each cap that every entry host may be using.

The ledger keeps an upper bound per entry host and cap. An increase is committed to the
replicated log before the entry host is told of it. A bound is lowered only on a report that the
entry host sent after learning of this leader's term, or once all earlier leases have expired.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lagoonwing_control._fair_sharing import divide_cap
from lagoonwing_control._state import AllotmentKey
from lagoonwing_control.models import Allotment
from lagoonwing_core.ids import HostId, Incarnation, MemberId, Term
from lagoonwing_core.models import CapDimension
from lagoonwing_wire.control_messages import Grant, Holding, RequestAllotments

CapKey = tuple[MemberId, CapDimension]

# A grant is not changed while it differs from the target share by at most this part of the cap.
HYSTERESIS_FRACTION = 0.02
ROTATION_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Lease durations of allotments.

    Attributes:
        lease_s: Validity of a grant, which the entry host counts from before its request.
        drift: Maximum relative difference between clock rates.
        max_request_s: Maximum run time of a request; requests may outlive their grant.
    """

    lease_s: float
    drift: float
    max_request_s: float

    @property
    def lease_expiry_s(self) -> float:
        """Seconds after which a grant has expired on every clock."""
        return self.lease_s * (1.0 + self.drift)

    @property
    def request_expiry_s(self) -> float:
        """Seconds after which every request started under a grant has ended."""
        return (self.lease_s + self.max_request_s) * (1.0 + self.drift)


@dataclass(frozen=True, slots=True)
class AllotmentPlan:
    """Planned answer to a request for allotments.

    Attributes:
        must_commit: Whether `pending` must be committed to the log before the grants are sent.
    """

    grants: tuple[Grant, ...]
    must_commit: bool


@dataclass(slots=True)
class _EntryHostRecord:
    """State of one entry host during the leader's term."""

    last_contact: float
    incarnation: Incarnation = Incarnation(-1)
    sequence: int = -1
    demand_by_cap: dict[CapKey, float] = field(default_factory=dict)


class AllotmentLedger:
    """Divides caps so that the sum of the bounds on usage never exceeds a cap."""

    def __init__(self, settings: LedgerSettings) -> None:
        self._settings = settings
        self._term = Term(0)
        self._cap_by_key: dict[CapKey, float] = {}
        self._bound_by_cap_by_host: dict[HostId, dict[CapKey, float]] = {}
        self._logged_by_key: dict[AllotmentKey, float] = {}
        # Minimum the log may hold for amounts that were proposed and not confirmed.
        self._unconfirmed_minimum_by_key: dict[AllotmentKey, float] = {}
        # Keys whose bound may differ from the log.
        self._dirty: set[AllotmentKey] = set()
        self._entry_by_host: dict[HostId, _EntryHostRecord] = {}

    def start_term(self, term: Term, amounts: Mapping[AllotmentKey, float], now: float) -> None:
        """Start a term from the replicated amounts; treat every lease as just granted."""
        self._term = term
        self._bound_by_cap_by_host = {}
        for (host_id, member_id, dimension), amount in amounts.items():
            self._raise_bound(host_id, (member_id, dimension), amount)
        self._logged_by_key = dict(amounts)
        self._unconfirmed_minimum_by_key = {}
        self._entry_by_host = {host_id: _EntryHostRecord(now) for host_id, _, _ in amounts}

    def restart_timers(self, now: float) -> None:
        """Treat every lease as just granted; used after this leader's own lease had expired."""
        for record in self._entry_by_host.values():
            record.last_contact = now

    def set_caps(self, cap_by_key: Mapping[CapKey, float]) -> None:
        """Replace the caps; absent caps, such as those of retired members, count as 0."""
        self._cap_by_key = dict(cap_by_key)

    def plan_grants(
        self, host_id: HostId, message: RequestAllotments, now: float
    ) -> AllotmentPlan | None:
        """Process an entry host's report of its holdings and plan its grants.

        Returns:
            The plan; `None` if the message must be ignored, because a newer one was received or
            it was sent before the entry host learned of this term.
        """
        if message.term != self._term:
            return None
        record = self._entry_by_host.setdefault(host_id, _EntryHostRecord(now))
        if (message.incarnation, message.sequence) <= (record.incarnation, record.sequence):
            return None
        record.incarnation = message.incarnation
        record.sequence = message.sequence
        record.last_contact = now
        self._replace_bounds(host_id, message.holdings)
        record.demand_by_cap = {
            (item.member_id, item.dimension): item.wanted for item in message.holdings
        }
        grants = tuple(self._grant(host_id, item, now) for item in message.holdings)
        return AllotmentPlan(grants, self._exceeds_logged(host_id, grants))

    def expire(self, now: float) -> None:
        """Reclaim the allotments of entry hosts whose leases have expired."""
        for host_id, bound_by_cap in self._bound_by_cap_by_host.items():
            contact_age_s = now - self._entry_by_host[host_id].last_contact
            for cap_key in list(bound_by_cap):
                if contact_age_s > self._expiry_s(cap_key[1]):
                    del bound_by_cap[cap_key]
                    self._dirty.add((host_id, *cap_key))
        for host_id, record in list(self._entry_by_host.items()):
            if now - record.last_contact > self._settings.request_expiry_s:
                del self._entry_by_host[host_id]
                self._bound_by_cap_by_host.pop(host_id, None)

    def pending(self) -> tuple[Allotment, ...]:
        """Return the amounts that must be committed to the log."""
        self._dirty = {key for key in self._dirty if self._differs_from_log(key)}
        changed = sorted(self._dirty, key=lambda key: (key[0], key[1], key[2].value))
        for key in changed:
            # The proposal may be committed although its answer is lost.
            self._unconfirmed_minimum_by_key[key] = min(self._lowest_logged(key), self._bound(key))
        return tuple(Allotment(*key, self._bound(key)) for key in changed)

    def mark_logged(self, allotments: Iterable[Allotment]) -> None:
        """Record that amounts were committed; call in log order."""
        for item in allotments:
            key = (item.host_id, item.member_id, item.dimension)
            self._unconfirmed_minimum_by_key.pop(key, None)
            if item.amount > 0:
                self._logged_by_key[key] = item.amount
            else:
                self._logged_by_key.pop(key, None)

    def total_bound(self, cap_key: CapKey) -> float:
        """Return the sum of the bounds on one cap over all entry hosts."""
        return math.fsum(
            bound_by_cap.get(cap_key, 0.0) for bound_by_cap in self._bound_by_cap_by_host.values()
        )

    def _replace_bounds(self, host_id: HostId, holdings: tuple[Holding, ...]) -> None:
        """Replace the bounds of one entry host with the usage that it reports."""
        previous = self._bound_by_cap_by_host.get(host_id, {})
        self._dirty.update((host_id, *cap_key) for cap_key in previous)
        self._bound_by_cap_by_host[host_id] = {}
        for item in holdings:
            self._raise_bound(host_id, (item.member_id, item.dimension), item.held)

    def _grant(self, host_id: HostId, holding: Holding, now: float) -> Grant:
        """Grant a share of one cap and raise the bound accordingly."""
        cap_key = (holding.member_id, holding.dimension)
        cap = self._cap_by_key.get(cap_key, 0.0)
        total = self.total_bound(cap_key)
        bound = self._bound_by_cap_by_host[host_id].get(cap_key, 0.0)
        share = self._fair_share(host_id, cap_key, now)
        within_hysteresis = total <= cap and abs(share - bound) <= HYSTERESIS_FRACTION * cap
        available = max(0.0, cap - (total - bound))
        amount = min(bound if within_hysteresis else share, available)
        if holding.dimension is CapDimension.CONCURRENCY:
            amount = float(math.floor(amount + 1e-9))
        self._raise_bound(host_id, cap_key, amount)
        return Grant(holding.member_id, holding.dimension, amount)

    def _fair_share(self, host_id: HostId, cap_key: CapKey, now: float) -> float:
        """Return the target share of one cap for an entry host."""
        demand_by_host = {
            other: record.demand_by_cap.get(cap_key, 0.0)
            for other, record in self._entry_by_host.items()
            if now - record.last_contact <= self._settings.lease_expiry_s
        }
        integral = cap_key[1] is CapDimension.CONCURRENCY
        cap = self._cap_by_key.get(cap_key, 0.0)
        return divide_cap(cap, demand_by_host, integral, int(now / ROTATION_INTERVAL_S))[host_id]

    def _raise_bound(self, host_id: HostId, cap_key: CapKey, amount: float) -> None:
        """Raise a bound to an amount; never lower it."""
        bound_by_cap = self._bound_by_cap_by_host.setdefault(host_id, {})
        if amount > bound_by_cap.get(cap_key, 0.0):
            bound_by_cap[cap_key] = amount
            self._dirty.add((host_id, *cap_key))

    def _bound(self, key: AllotmentKey) -> float:
        """Return the upper bound on an entry host's usage of one cap."""
        host_id, member_id, dimension = key
        return self._bound_by_cap_by_host.get(host_id, {}).get((member_id, dimension), 0.0)

    def _differs_from_log(self, key: AllotmentKey) -> bool:
        """Return whether a bound differs, or may differ, from the log."""
        if key in self._unconfirmed_minimum_by_key:
            return True
        return self._bound(key) != self._logged_by_key.get(key, 0.0)

    def _lowest_logged(self, key: AllotmentKey) -> float:
        """Return the lowest amount that the log may hold for a key."""
        logged = self._logged_by_key.get(key, 0.0)
        return min(logged, self._unconfirmed_minimum_by_key.get(key, logged))

    def _exceeds_logged(self, host_id: HostId, grants: tuple[Grant, ...]) -> bool:
        """Return whether a grant exceeds the amount known to be committed for it."""
        return any(
            grant.amount > self._lowest_logged((host_id, grant.member_id, grant.dimension))
            for grant in grants
        )

    def _expiry_s(self, dimension: CapDimension) -> float:
        """Return how long an entry host without contact may still use an allotment."""
        if dimension is CapDimension.CONCURRENCY:
            return self._settings.request_expiry_s
        return self._settings.lease_expiry_s
