"""Weighted fair queue: start-time fair queueing by member, then by class."""

from __future__ import annotations

import itertools

from lagoonwing_core.ids import MemberId
from lagoonwing_policy._ordered_set import OrderedSet
from lagoonwing_policy._requests import RequestEntity
from lagoonwing_policy.fairness._members import MemberQueue
from lagoonwing_policy.fairness._queue import StartConstraints
from lagoonwing_policy.fairness.models import WeightedFair
from lagoonwing_policy.models import Priority

MIN_WEIGHT = 1e-6
# Members examined when looking for one without a persistent backlog.
MAX_MEMBERS_EXAMINED = 8

# Virtual start time and id of a member with queued requests.
ReadyEntry = tuple[float, MemberId]
ReadyList = OrderedSet[ReadyEntry]


class WeightedFairQueue:
    """Serves the member that is furthest behind its share, in O(log members)."""

    def __init__(self, policy: WeightedFair) -> None:
        self._ageing_s = policy.ageing_s
        self._persistent_backlog_s = policy.persistent_backlog_s
        self._weight_by_class = {
            Priority.SHORT: policy.short_weight,
            Priority.NORMAL: policy.normal_weight,
            Priority.LONG: policy.long_weight,
        }
        self._member_by_id: dict[MemberId, MemberQueue] = {}
        self._regular: ReadyList = OrderedSet()
        self._long: ReadyList = OrderedSet()
        self._now = 0.0
        self._virtual = 0.0
        self._length = 0
        self._cost = 0.0
        self._active_weight = 0.0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._length

    def push(self, entity: RequestEntity) -> None:
        """Append a request to the queue of its member and class."""
        member = self._member(entity.profile.member_id)
        if not len(member):
            # Idle time earns no credit.
            member.start = max(member.start, self._virtual)
            self._active_weight += member.weight
            member.backlogged_since = entity.enqueued
        if not member.waiting[entity.priority]:
            start = member.class_start[entity.priority]
            member.class_start[entity.priority] = max(start, member.class_virtual)
        member.add(entity)
        self._length += 1
        self._cost += entity.cost
        self._update_ready_lists(member)

    def head(self, constraints: StartConstraints, now: float) -> RequestEntity | None:
        """Return the next request to start, without removing it."""
        self._now = now
        ready = [self._regular, self._long] if constraints.long else [self._regular]
        if constraints.backlogged:
            entries = [entry for ready_list in ready if (entry := ready_list.first()) is not None]
        else:
            entries = [
                entry
                for ready_list in ready
                if (entry := self._first_without_backlog(ready_list, now))
            ]
        if not entries:
            return None
        return self._pick_class(self._member_by_id[min(entries)[1]], constraints.long, now)

    def _first_without_backlog(self, ready: ReadyList, now: float) -> ReadyEntry | None:
        """Return the first member without a persistent backlog among the first few."""
        for entry in itertools.islice(ready, MAX_MEMBERS_EXAMINED):
            member = self._member_by_id[entry[1]]
            if member.backlogged_since + self._persistent_backlog_s > now:
                return entry
        return None

    def take(self, entity: RequestEntity) -> None:
        """Remove a request that is being started and charge its member.

        Long work is charged during generation: charging its whole cost at the start would
        delay its member's short work for capacity that is only used later.
        """
        member = self._member_by_id[entity.profile.member_id]
        self._virtual = max(self._virtual, member.start)
        priority = entity.priority
        member.last_taken[priority] = self._now
        member.class_virtual = max(member.class_virtual, member.class_start[priority])
        member.class_start[priority] += entity.cost / self._weight_by_class[priority]
        member.start += entity.start_charge / member.weight
        self._remove(member, entity)

    def discard(self, entity: RequestEntity) -> None:
        """Remove a request that is not going to start."""
        self._remove(self._member_by_id[entity.profile.member_id], entity)

    def charge(self, member_id: MemberId, cost: float) -> None:
        """Adjust a member's charge; a negative cost is a refund."""
        member = self._member(member_id)
        member.start = max(0.0, member.start + cost / member.weight)
        self._update_ready_lists(member)

    def block(self, member_id: MemberId) -> None:
        """Skip a member until it is unblocked."""
        member = self._member(member_id)
        member.blocked = True
        self._update_ready_lists(member)

    def unblock(self, member_id: MemberId) -> None:
        """Stop skipping a member, without credit for the time it was blocked."""
        member = self._member_by_id.get(member_id)
        if member is None or not member.blocked:
            return
        member.blocked = False
        member.start = max(member.start, self._virtual)
        self._update_ready_lists(member)

    def oldest_of(self, member_id: MemberId) -> RequestEntity | None:
        """Return the request of a member that has waited the longest."""
        member = self._member(member_id)
        heads = [head for priority in Priority if (head := member.head_of(priority))]
        return min(heads, key=lambda head: head.enqueued, default=None)

    def set_weight(self, member_id: MemberId, weight: float) -> None:
        """Set a member's weight."""
        member = self._member(member_id)
        weight = max(MIN_WEIGHT, weight)
        if len(member):
            self._active_weight += weight - member.weight
        member.weight = weight

    def work_ahead(self, entity: RequestEntity) -> float:
        """Return the cost of work that would start before a new request."""
        member = self._member(entity.profile.member_id)
        own = member.cost[Priority.SHORT] + member.cost[Priority.NORMAL]
        if entity.priority is Priority.LONG:
            own += member.cost[Priority.LONG]
        others = self._active_weight - (member.weight if len(member) else 0.0)
        lag = max(0.0, member.start - self._virtual)
        # While the member's own work drains, the other members get their shares, bounded by the
        # total queued cost.
        return min(own + (own / member.weight + lag) * others, self._cost)

    def _member(self, member_id: MemberId) -> MemberQueue:
        """Return the queue of a member; it is created if it does not exist."""
        member = self._member_by_id.get(member_id)
        if member is None:
            member = MemberQueue(member_id)
            self._member_by_id[member_id] = member
        return member

    def _pick_class(
        self, member: MemberQueue, allow_long: bool, now: float
    ) -> RequestEntity | None:
        """Return the member's next request: an aged one, or of the class furthest behind."""
        heads = [
            head
            for priority in Priority
            if (allow_long or priority is not Priority.LONG)
            and (head := member.head_of(priority)) is not None
        ]
        since = now - self._ageing_s
        # At most one aged request per class and ageing time: in a lasting overload all heads
        # are old, and the class weights have to stay in effect.
        aged = [
            head
            for head in heads
            if head.enqueued <= since and member.last_taken[head.priority] <= since
        ]
        if aged:
            return min(aged, key=lambda head: head.enqueued)
        return min(heads, key=lambda head: member.class_start[head.priority], default=None)

    def _remove(self, member: MemberQueue, entity: RequestEntity) -> None:
        """Remove a request and update the totals."""
        member.remove(entity)
        self._length -= 1
        self._cost = self._cost - entity.cost if self._length else 0.0
        if not len(member):
            self._active_weight -= member.weight
        if not self._length:
            self._active_weight = 0.0
        self._update_ready_lists(member)

    def _update_ready_lists(self, member: MemberQueue) -> None:
        """Update the member's entries in the ready lists."""
        regular = member.start if member.has_regular() and not member.blocked else None
        if regular != member.listed_regular:
            _reposition(self._regular, member.member_id, member.listed_regular, regular)
            member.listed_regular = regular
        long = member.start if member.has_long() and not member.blocked else None
        if long != member.listed_long:
            _reposition(self._long, member.member_id, member.listed_long, long)
            member.listed_long = long


def _reposition(
    ready: ReadyList, member_id: MemberId, old: float | None, new: float | None
) -> None:
    """Move a member from its old to its new position in a ready list."""
    if old is not None:
        ready.remove((old, member_id))
    if new is not None:
        ready.add((new, member_id))
