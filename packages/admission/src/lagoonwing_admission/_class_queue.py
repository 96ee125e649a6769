"""Queued requests of one member and cost class, ordered by the time at which they are due."""

from __future__ import annotations

from typing import Generic

from lagoonwing_admission._ordered_set import OrderedSet
from lagoonwing_admission._queue import WorkT
from lagoonwing_admission.models import WorkId


class ClassQueue(Generic[WorkT]):
    """Requests in order of `due`, and in order of arrival among equal ones.

    Attributes:
        cost: Total cost of the queued requests.
    """

    __slots__ = ("_entry_by_id", "_number", "_order", "cost")

    def __init__(self) -> None:
        self.cost = 0.0
        self._number = 0
        self._order: OrderedSet[tuple[float, int, WorkId]] = OrderedSet()
        self._entry_by_id: dict[WorkId, tuple[float, int, WorkT]] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._entry_by_id)

    def head(self) -> WorkT | None:
        """Return the request that is due first."""
        first = self._order.first()
        return None if first is None else self._entry_by_id[first[2]][2]

    def cost_before(self, due: float) -> float:
        """Return the cost of the requests that go before a new one.

        It is estimated from their number and the mean cost, so that it takes O(log n).
        """
        if not self._entry_by_id:
            return 0.0
        # Requests that are due at the same time go before a later one.
        before = self._order.count_below((due, self._number + 1, WorkId("")))
        return self.cost * before / len(self._entry_by_id)

    def add(self, work: WorkT) -> None:
        """Add a request."""
        self._number += 1
        self._order.add((work.due, self._number, work.work_id))
        self._entry_by_id[work.work_id] = (work.due, self._number, work)
        self.cost += work.cost

    def remove(self, work: WorkT) -> None:
        """Remove a request."""
        due, number, _ = self._entry_by_id.pop(work.work_id)
        self._order.remove((due, number, work.work_id))
        # An empty queue resets rounding errors of the running sum.
        self.cost = self.cost - work.cost if self._entry_by_id else 0.0
