"""First-come, first-served queue."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic

from lagoonwing_admission._ordered_set import OrderedSet
from lagoonwing_admission._queue import StartConstraints, WorkT
from lagoonwing_admission.models import CostClass, WorkId
from lagoonwing_core.ids import MemberId


class FirstComeQueue(Generic[WorkT]):
    """Serves requests of members that are not blocked in order of arrival."""

    def __init__(self) -> None:
        self._entries_by_member: dict[MemberId, OrderedDict[WorkId, tuple[int, WorkT]]] = {}
        self._blocked: set[MemberId] = set()
        # Arrival number of the first request of each member that is not blocked.
        self._ready: OrderedSet[tuple[int, MemberId]] = OrderedSet()
        self._arrivals = 0
        self._length = 0
        self._cost = 0.0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._length

    def push(self, work: WorkT) -> None:
        """Append a request."""
        self._arrivals += 1
        self._length += 1
        self._cost += work.cost
        member_id = work.member_id
        entries = self._entries_by_member.setdefault(member_id, OrderedDict())
        entries[work.work_id] = (self._arrivals, work)
        if len(entries) == 1 and member_id not in self._blocked:
            self._ready.add((self._arrivals, member_id))

    def head(self, constraints: StartConstraints, now: float) -> WorkT | None:
        """Return the request that arrived first; if it may not start, neither may others."""
        first = self._ready.first()
        if first is None:
            return None
        work = next(iter(self._entries_by_member[first[1]].values()))[1]
        return work if constraints.long or work.cost_class is not CostClass.LONG else None

    def in_order(self, now: float) -> Iterator[WorkT]:
        """Return the request that arrived first; if it may not start, neither may others."""
        first = self._ready.first()
        if first is not None:
            yield next(iter(self._entries_by_member[first[1]].values()))[1]

    def has_ready(self) -> bool:
        """Return whether a member that is not blocked has a queued request."""
        return bool(len(self._ready))

    def take(self, work: WorkT) -> None:
        """Remove a request that is being started."""
        self.discard(work)

    def discard(self, work: WorkT) -> None:
        """Remove a request."""
        member_id = work.member_id
        entries = self._entries_by_member[member_id]
        first = next(iter(entries.values()))[0]
        number, _ = entries.pop(work.work_id)
        self._length -= 1
        self._cost = self._cost - work.cost if self._length else 0.0
        if number == first and member_id not in self._blocked:
            self._ready.remove((number, member_id))
            self._mark_head_ready(member_id)
        if not entries:
            del self._entries_by_member[member_id]

    def charge(self, member_id: MemberId, cost: float) -> None:
        """Do nothing: the order does not depend on cost."""

    def block(self, member_id: MemberId) -> None:
        """Skip a member until it is unblocked."""
        if member_id in self._blocked:
            return
        self._blocked.add(member_id)
        entries = self._entries_by_member.get(member_id)
        if entries:
            self._ready.remove((next(iter(entries.values()))[0], member_id))

    def unblock(self, member_id: MemberId) -> None:
        """Stop skipping a member."""
        if member_id not in self._blocked:
            return
        self._blocked.remove(member_id)
        self._mark_head_ready(member_id)

    def oldest_of(self, member_id: MemberId) -> WorkT | None:
        """Return the request of a member that has waited the longest."""
        entries = self._entries_by_member.get(member_id)
        return next(iter(entries.values()))[1] if entries else None

    def set_weight(self, member_id: MemberId, weight: float) -> None:
        """Do nothing: the order does not depend on weights."""

    def work_ahead(self, work: WorkT) -> float:
        """Return the total cost of the queue."""
        return self._cost

    def _mark_head_ready(self, member_id: MemberId) -> None:
        """Add the member's first request to the ready set."""
        entries = self._entries_by_member.get(member_id)
        if entries:
            self._ready.add((next(iter(entries.values()))[0], member_id))
