"""Entry host side of allotments: requests grants and tracks their leases. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from lagoonwing_core.ids import Incarnation, MemberId, Term
from lagoonwing_core.models import CapDimension
from lagoonwing_policy.models import AllotmentGrant, MemberDemand
from lagoonwing_wire.control_messages import Allotments, Holding, RequestAllotments

CapKey = tuple[MemberId, CapDimension]


@dataclass(frozen=True, slots=True)
class AllotmentRequest:
    """Request for allotments and the time at which it is sent."""

    message: RequestAllotments
    sent: float


class AllotmentHolder:
    """Tracks the grants of this entry host; leases count from the sending of the request."""

    def __init__(self, incarnation: Incarnation) -> None:
        self._incarnation = incarnation
        self._term = Term(0)
        self._sequence = 0
        self._lease_s = 0.0
        self._grant_by_cap: dict[CapKey, AllotmentGrant] = {}
        self._lapsed_by_cap: dict[CapKey, AllotmentGrant] = {}

    def observe_term(self, term: Term) -> None:
        """Record a leader's term; replies with lower terms are ignored from now on."""
        self._term = max(self._term, term)

    def build_request(self, demands: Iterable[MemberDemand], now: float) -> AllotmentRequest:
        """Build a request that states all usage; replies to earlier requests are ignored."""
        self._sequence += 1
        wanted_by_cap = {(item.member_id, item.dimension): item for item in demands}
        self._drop_lapsed(now)
        holdings = [
            self._holding(cap_key, wanted_by_cap.get(cap_key))
            for cap_key in dict.fromkeys([*wanted_by_cap, *self._grant_by_cap])
        ]
        message = RequestAllotments(self._incarnation, self._term, self._sequence, tuple(holdings))
        return AllotmentRequest(message, now)

    def accept(self, request: AllotmentRequest, reply: Allotments, now: float) -> bool:
        """Apply the grants of a reply.

        Returns:
            Whether the reply belongs to the latest request and term and was applied.
        """
        self.observe_term(reply.term)
        if reply.term < self._term or request.message.sequence != self._sequence:
            return False
        if request.message.term != reply.term:
            return False
        self._lease_s = reply.lease_s
        self._lapsed_by_cap.clear()
        expires = request.sent + reply.lease_s
        for grant in reply.grants:
            self._grant_by_cap[(grant.member_id, grant.dimension)] = AllotmentGrant(
                grant.member_id, grant.dimension, grant.amount, expires
            )
        return True

    def extend(
        self, leaderless_time: float, now: float, *, operator_confirmed: bool = False
    ) -> None:
        """Extend held grants while it is proven that no unseen leader exists.

        Args:
            leaderless_time: Time up to which no unseen leader can exist.
            now: Time of the runtime's clock.
            operator_confirmed: Whether an operator declared a voter lost; only then are lapsed
                grants of the last leader restored.
        """
        self._drop_lapsed(now)
        if operator_confirmed:
            self._grant_by_cap = {**self._lapsed_by_cap, **self._grant_by_cap}
        for cap_key, grant in self._grant_by_cap.items():
            expires = max(grant.expires, leaderless_time + self._lease_s)
            self._grant_by_cap[cap_key] = replace(grant, expires=expires)

    def grants(self, now: float) -> tuple[AllotmentGrant, ...]:
        """Return the grants whose lease is valid."""
        self._drop_lapsed(now)
        return tuple(self._grant_by_cap.values())

    def _holding(self, cap_key: CapKey, demand: MemberDemand | None) -> Holding:
        """Return the amount of one cap that may be in use, and the amount wanted."""
        grant = self._grant_by_cap.get(cap_key)
        held = 0.0 if grant is None else grant.amount
        member_id, dimension = cap_key
        if demand is None:
            return Holding(member_id, dimension, held, 0.0)
        if dimension is CapDimension.CONCURRENCY:
            # Running requests occupy their slots until they end.
            held = max(held, demand.used)
        return Holding(member_id, dimension, held, demand.wanted)

    def _drop_lapsed(self, now: float) -> None:
        """Move grants whose lease has ended to the lapsed ones."""
        lapsed = [key for key, grant in self._grant_by_cap.items() if grant.expires <= now]
        for cap_key in lapsed:
            self._lapsed_by_cap[cap_key] = self._grant_by_cap.pop(cap_key)
