"""Weighted fair queue: start-time fair queueing by member, then by class."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterator
from typing import Generic

from lagoonwing_admission._members import MemberQueue
from lagoonwing_admission._ordered_set import OrderedSet
from lagoonwing_admission._queue import StartConstraints, WorkT
from lagoonwing_admission.models import CostClass, WeightedFair
from lagoonwing_core.ids import MemberId

MIN_WEIGHT = 1e-6
# Members examined when looking for one without a persistent backlog.
MAX_MEMBERS_EXAMINED = 8

# Virtual start time and id of a member with queued requests.
ReadyEntry = tuple[float, MemberId]
ReadyList = OrderedSet[ReadyEntry]


class WeightedFairQueue(Generic[WorkT]):
    """Serves the member that is furthest behind its share, in O(log members)."""

    def __init__(self, policy: WeightedFair) -> None:
        self._ageing_s = policy.ageing_s
        self._persistent_backlog_s = policy.persistent_backlog_s
        self._weight_by_class = {
            CostClass.SHORT: policy.short_weight,
            CostClass.NORMAL: policy.normal_weight,
            CostClass.LONG: policy.long_weight,
        }
        self._member_by_id: dict[MemberId, MemberQueue[WorkT]] = {}
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

    def push(self, work: WorkT) -> None:
        """Add a request to the queue of its member and class."""
        member = self._member(work.member_id)
        if not len(member):
            # Idle time earns no credit.
            member.start = max(member.start, self._virtual)
            self._active_weight += member.weight
            member.backlogged_since = work.enqueued
        if not len(member.waiting[work.cost_class]):
            start = member.class_start[work.cost_class]
            member.class_start[work.cost_class] = max(start, member.class_virtual)
        member.add(work)
        self._length += 1
        self._cost += work.cost
        self._update_ready_lists(member)

    def head(self, constraints: StartConstraints, now: float) -> WorkT | None:
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
        member = self._member_by_id[min(entries)[1]]
        return next(iter(self._in_class_order(member, constraints.long, now)), None)

    def in_order(self, now: float) -> Iterator[WorkT]:
        """Iterate over the first request of each member and class, in the order of starts.

        The queue must not change during the iteration.
        """
        self._now = now
        known: MemberId | None = None
        for _, member_id in _merged(self._regular, self._long):
            # A member has the same virtual start in both lists, so its entries are adjacent.
            if member_id != known:
                known = member_id
                yield from self._in_class_order(self._member_by_id[member_id], True, now)

    def has_ready(self) -> bool:
        """Return whether a member that is not blocked has a queued request."""
        return bool(len(self._regular) or len(self._long))

    def _first_without_backlog(self, ready: ReadyList, now: float) -> ReadyEntry | None:
        """Return the first member without a persistent backlog among the first few."""
        for entry in itertools.islice(ready, MAX_MEMBERS_EXAMINED):
            member = self._member_by_id[entry[1]]
            if member.backlogged_since + self._persistent_backlog_s > now:
                return entry
        return None

    def take(self, work: WorkT) -> None:
        """Remove a request that is being started and charge its member.

        Long work is charged during generation: charging its whole cost at the start would
        delay its member's short work for capacity that is only used later.
        """
        member = self._member_by_id[work.member_id]
        self._virtual = max(self._virtual, member.start)
        cost_class = work.cost_class
        member.last_taken[cost_class] = self._now
        member.class_virtual = max(member.class_virtual, member.class_start[cost_class])
        member.class_start[cost_class] += work.cost / self._weight_by_class[cost_class]
        member.start += work.start_charge / member.weight
        self._remove(member, work)

    def discard(self, work: WorkT) -> None:
        """Remove a request that is not going to start."""
        self._remove(self._member_by_id[work.member_id], work)

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

    def oldest_of(self, member_id: MemberId) -> WorkT | None:
        """Return the request of a member that is due first."""
        heads = self._member(member_id).heads(allow_long=True)
        return min(heads, key=lambda head: head.due, default=None)

    def set_weight(self, member_id: MemberId, weight: float) -> None:
        """Set a member's weight."""
        member = self._member(member_id)
        weight = max(MIN_WEIGHT, weight)
        if len(member):
            self._active_weight += weight - member.weight
        member.weight = weight

    def work_ahead(self, work: WorkT) -> float:
        """Return the cost of work that would start before a new request."""
        member = self._member(work.member_id)
        own = member.cost_before(CostClass.SHORT, work.due)
        own += member.cost_before(CostClass.NORMAL, work.due)
        if work.cost_class is CostClass.LONG:
            own += member.cost_before(CostClass.LONG, work.due)
        others = self._active_weight - (member.weight if len(member) else 0.0)
        lag = max(0.0, member.start - self._virtual)
        # While the member's own work drains, the other members get their shares, bounded by the
        # total queued cost.
        return min(own + (own / member.weight + lag) * others, self._cost)

    def _member(self, member_id: MemberId) -> MemberQueue[WorkT]:
        """Return the queue of a member; it is created if it does not exist."""
        member = self._member_by_id.get(member_id)
        if member is None:
            member = MemberQueue(member_id)
            self._member_by_id[member_id] = member
        return member

    def _in_class_order(
        self, member: MemberQueue[WorkT], allow_long: bool, now: float
    ) -> list[WorkT]:
        """Return the heads of the member's classes: aged ones, then the class furthest behind."""
        heads = member.heads(allow_long)
        if len(heads) < 2:
            return heads
        since = now - self._ageing_s

        def position(head: WorkT) -> tuple[int, float]:
            # At most one aged request per class and ageing time: in a lasting overload all heads
            # are old, and the class weights have to stay in effect.
            if head.enqueued <= since and member.last_taken[head.cost_class] <= since:
                return (0, head.enqueued)
            return (1, member.class_start[head.cost_class])

        return sorted(heads, key=position)

    def _remove(self, member: MemberQueue[WorkT], work: WorkT) -> None:
        """Remove a request and update the totals."""
        member.remove(work)
        self._length -= 1
        self._cost = self._cost - work.cost if self._length else 0.0
        if not len(member):
            self._active_weight -= member.weight
        if not self._length:
            self._active_weight = 0.0
        self._update_ready_lists(member)

    def _update_ready_lists(self, member: MemberQueue[WorkT]) -> None:
        """Update the member's entries in the ready lists."""
        regular = member.start if member.has_regular() and not member.blocked else None
        if regular != member.listed_regular:
            _reposition(self._regular, member.member_id, member.listed_regular, regular)
            member.listed_regular = regular
        long = member.start if member.has_long() and not member.blocked else None
        if long != member.listed_long:
            _reposition(self._long, member.member_id, member.listed_long, long)
            member.listed_long = long


def _merged(first: ReadyList, second: ReadyList) -> Iterator[ReadyEntry]:
    """Merge two ready lists in ascending order."""
    if not len(second):
        return iter(first)
    return heapq.merge(first, second)


def _reposition(
    ready: ReadyList, member_id: MemberId, old: float | None, new: float | None
) -> None:
    """Move a member from its old to its new position in a ready list."""
    if old is not None:
        ready.remove((old, member_id))
    if new is not None:
        ready.add((new, member_id))
