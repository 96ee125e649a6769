"""Tracks the demand of each member at this entry host, for allotment requests."""

from __future__ import annotations

import math
from dataclasses import dataclass

from lagoonwing_core.ids import MemberId
from lagoonwing_policy.allotments._member import MemberLimits
from lagoonwing_policy.allotments._table import AllotmentTable
from lagoonwing_policy.allotments.models import Allotments
from lagoonwing_policy.models import CapDimension, MemberDemand

# Requested rate relative to the arrival rate, so that random bursts are not queued.
RATE_HEADROOM = 1.25
# Demand below these values counts as zero.
MIN_CONCURRENCY = 0.5
MIN_REQUESTS_PER_S = 0.05
MIN_TOKENS_PER_S = 0.5


@dataclass(slots=True)
class MemberActivity:
    """Recent activity of one member.

    Attributes:
        queued: Number of queued requests.
        queued_tokens: Tokens of the queued requests.
        concurrency: Decaying maximum of running and queued requests.
        request_rate: Decaying average of arriving requests per second.
        token_rate: Decaying average of arriving tokens per second.
        updated: Time of the last decay.
    """

    queued: int = 0
    queued_tokens: float = 0.0
    concurrency: float = 0.0
    request_rate: float = 0.0
    token_rate: float = 0.0
    updated: float = 0.0

    def decay(self, now: float, time_constant_s: float) -> None:
        """Apply exponential decay up to `now`."""
        factor = math.exp(-max(0.0, now - self.updated) / time_constant_s)
        self.concurrency *= factor
        self.request_rate *= factor
        self.token_rate *= factor
        self.updated = max(self.updated, now)


class DemandTracker:
    """Tracks what each active member would use if its caps allowed it."""

    def __init__(self, policy: Allotments, table: AllotmentTable) -> None:
        self._policy = policy
        self._table = table
        self._activity_by_member: dict[MemberId, MemberActivity] = {}

    def arrived(self, member_id: MemberId, tokens: float, now: float) -> None:
        """Count an arriving request, including requests that are then refused."""
        activity = self._activity_by_member.setdefault(member_id, MemberActivity(updated=now))
        activity.decay(now, self._policy.demand_decay_s)
        activity.request_rate += 1.0 / self._policy.demand_decay_s
        activity.token_rate += tokens / self._policy.demand_decay_s
        self._raise_wanted_concurrency(activity, member_id, 1)

    def queued(self, member_id: MemberId, tokens: float) -> None:
        """Add a queued request."""
        activity = self._activity_by_member.setdefault(member_id, MemberActivity())
        activity.queued += 1
        activity.queued_tokens += tokens

    def dequeued(self, member_id: MemberId, tokens: float) -> None:
        """Remove a queued request."""
        activity = self._activity_by_member[member_id]
        activity.queued -= 1
        activity.queued_tokens = activity.queued_tokens - tokens if activity.queued else 0.0

    def queued_of(self, member_id: MemberId) -> tuple[int, float]:
        """Return the number of queued requests of a member, and their tokens."""
        activity = self._activity_by_member.get(member_id)
        return (activity.queued, activity.queued_tokens) if activity else (0, 0.0)

    def demand(self, now: float) -> list[MemberDemand]:
        """Return the demand of every member that uses, wants or still holds capacity.

        Up to `max_preallocated_members`, members without work are included: unclaimed capacity
        is divided among the hosts that ask for it, and a host that holds a part can start
        requests immediately, even while no leader can grant anything.
        """
        demands: list[MemberDemand] = []
        members = self._table.active_members()
        is_preallocated = len(members) <= self._policy.max_preallocated_members
        for member_id in members if is_preallocated else ():
            self._activity_by_member.setdefault(member_id, MemberActivity(updated=now))
        for member_id, activity in list(self._activity_by_member.items()):
            limits = self._table.get(member_id)
            activity.decay(now, self._policy.demand_decay_s)
            self._raise_wanted_concurrency(activity, member_id, 0)
            member_demands = (
                self._member_demand(member_id, activity, limits, is_preallocated, now)
                if limits
                else []
            )
            demands.extend(member_demands)
            if not member_demands and not activity.queued:
                del self._activity_by_member[member_id]
        return demands

    def _raise_wanted_concurrency(
        self, activity: MemberActivity, member_id: MemberId, arriving: int
    ) -> None:
        """Raise the wanted concurrency to the running, queued and arriving requests."""
        limits = self._table.get(member_id)
        running = limits.running if limits else 0
        activity.concurrency = max(activity.concurrency, running + activity.queued + arriving)

    def _member_demand(
        self,
        member_id: MemberId,
        activity: MemberActivity,
        limits: MemberLimits,
        is_preallocated: bool,
        now: float,
    ) -> list[MemberDemand]:
        """Return one member's demand in each capped dimension."""
        demands: list[MemberDemand] = []
        for dimension in CapDimension:
            cap = limits.cap(dimension)
            if cap is None:
                continue
            used = limits.used(dimension, now)
            wanted = max(used, min(cap, self._wanted(dimension, activity)))
            if is_preallocated or wanted > 0.0 or limits.held(dimension, now) > 0.0:
                demands.append(MemberDemand(member_id, dimension, used, wanted))
        return demands

    def _wanted(self, dimension: CapDimension, activity: MemberActivity) -> float:
        """Return the amount that would serve running, queued and arriving requests."""
        drain = self._policy.backlog_drain_s
        match dimension:
            case CapDimension.CONCURRENCY:
                wanted = activity.concurrency
                return math.ceil(wanted) if wanted >= MIN_CONCURRENCY else 0.0
            case CapDimension.REQUESTS_PER_S:
                wanted = activity.request_rate * RATE_HEADROOM + activity.queued / drain
                return wanted if wanted >= MIN_REQUESTS_PER_S else 0.0
            case CapDimension.TOKENS_PER_S:
                wanted = activity.token_rate * RATE_HEADROOM + activity.queued_tokens / drain
                return wanted if wanted >= MIN_TOKENS_PER_S else 0.0
