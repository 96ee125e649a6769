"""Requests of one service that wait for a permit, and which of them get one in time."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from lagoonwing_catalog.messages import ServiceGrant
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import MemberId, ServiceId
from lagoonwing_gateway.const import GRANT_NEWS_TTL_S, PERMIT_ROUND_TRIP_S


class Verdict(Enum):
    """What the leader said of a waiting request.

    OPEN: nothing yet. PROMISED: it gets a permit in time. HOPELESS: it does not.
    """

    OPEN = "open"
    PROMISED = "promised"
    HOPELESS = "hopeless"


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a permit.

    Attributes:
        patience_s: Time for which it waits at most.
        is_started: Whether it is a stream of which the caller has a part.
        reported_in: Number of the first demand that included it; None before that.
        backlog_s: Time after which it would get a permit, if it is hopeless.
    """

    service_id: ServiceId
    member_id: MemberId
    patience_s: float
    is_started: bool
    reported_in: int | None = None
    verdict: Verdict = Verdict.OPEN
    backlog_s: float = 0.0


class PermitQueue:
    """Waiting requests by member: started streams first, then in order of arrival."""

    def __init__(self) -> None:
        self._waiters_by_member: dict[MemberId, list[Waiter]] = {}
        self._full_until_by_member: dict[MemberId, float] = {}
        self._backlog_s = 0.0

    @callback
    def join(self, waiter: Waiter) -> None:
        """Add a request."""
        waiters = self._waiters_by_member.setdefault(waiter.member_id, [])
        started = sum(other.is_started for other in waiters)
        waiters.insert(started if waiter.is_started else len(waiters), waiter)

    @callback
    def leave(self, waiter: Waiter) -> None:
        """Remove a request."""
        waiters = self._waiters_by_member[waiter.member_id]
        waiters.remove(waiter)
        if not waiters:
            del self._waiters_by_member[waiter.member_id]

    def has_waiters(self, member_id: MemberId | None) -> bool:
        """Return whether requests of a member wait."""
        return member_id in self._waiters_by_member

    def place(self, waiter: Waiter) -> int:
        """Return how many requests of its member are before a request."""
        return self._waiters_by_member[waiter.member_id].index(waiter)

    @property
    def patience_s(self) -> float:
        """Time for which the most patient request waits, less that of the messages."""
        longest_s = max(
            (
                waiter.patience_s
                for waiters in self._waiters_by_member.values()
                for waiter in waiters
            ),
            default=0.0,
        )
        return max(0.0, longest_s - PERMIT_ROUND_TRIP_S)

    @callback
    def report(
        self, number: int, on_hand_by_member: Mapping[MemberId | None, int]
    ) -> tuple[dict[MemberId, int], dict[MemberId, int]]:
        """Return the started and the other requests by member that need further permits.

        Args:
            number: Number of the demand in which they are reported.
            on_hand_by_member: Permits that are there already.
        """
        started_by_member: dict[MemberId, int] = {}
        waiting_by_member: dict[MemberId, int] = {}
        for member_id, waiters in self._waiters_by_member.items():
            needy = [waiter for waiter in waiters if waiter.verdict is not Verdict.HOPELESS]
            for waiter in needy:
                waiter.reported_in = number if waiter.reported_in is None else waiter.reported_in
            served = on_hand_by_member.get(member_id, 0)
            started = sum(waiter.is_started for waiter in needy[served:])
            others = len(needy[served:]) - started
            if started:
                started_by_member[member_id] = started
            if others:
                waiting_by_member[member_id] = others
        return started_by_member, waiting_by_member

    @callback
    def judge(
        self,
        number: int,
        grant: ServiceGrant,
        on_hand_by_member: Mapping[MemberId | None, int],
        now: float,
    ) -> None:
        """Decide which requests are hopeless, from the leader's answer to a demand."""
        self._backlog_s = grant.backlog_s
        for member_id, waiters in self._waiters_by_member.items():
            served = on_hand_by_member.get(member_id, 0)
            served += grant.promised_by_member.get(member_id, 0)
            needy = [waiter for waiter in waiters if waiter.verdict is not Verdict.HOPELESS]
            for place, waiter in enumerate(needy):
                is_reported = waiter.reported_in is not None and waiter.reported_in <= number
                if waiter.verdict is not Verdict.OPEN or not is_reported:
                    continue
                waiter.verdict = Verdict.PROMISED if place < served else Verdict.HOPELESS
                waiter.backlog_s = max(grant.backlog_s, waiter.patience_s)
                if waiter.verdict is Verdict.HOPELESS:
                    self._full_until_by_member[member_id] = now + GRANT_NEWS_TTL_S

    def expected_wait_s(self, member_id: MemberId, now: float) -> float:
        """Return the wait of a further request of a member; 0 if the leader must be asked."""
        if now >= self._full_until_by_member.get(member_id, -math.inf):
            return 0.0
        return self._backlog_s

    def length(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(waiters) for waiters in self._waiters_by_member.values())
