"""Queued requests of one member in one queue."""

from __future__ import annotations

import math
from typing import Generic

from lagoonwing_admission._class_queue import ClassQueue
from lagoonwing_admission._queue import WorkT
from lagoonwing_admission.models import CostClass
from lagoonwing_core.ids import MemberId


class MemberQueue(Generic[WorkT]):
    """Queues of one member, and the virtual times of the member and of its classes.

    Attributes:
        start: Virtual start time of the member's next request.
        class_virtual: Virtual time within the member.
        class_start: Virtual start time within the member, by class.
        last_taken: Time at which the last request of a class was taken, by class.
        backlogged_since: Time since which requests have been waiting without interruption.
        blocked: Whether the member is skipped.
        listed_regular: Virtual time of its entry in the ready list of short and normal work.
        listed_long: Virtual time of its entry in the ready list of long work.
    """

    def __init__(self, member_id: MemberId) -> None:
        self.member_id = member_id
        self.weight = 1.0
        self.start = 0.0
        self.class_virtual = 0.0
        self.class_start = dict.fromkeys(CostClass, 0.0)
        self.waiting: dict[CostClass, ClassQueue[WorkT]] = {
            cost_class: ClassQueue() for cost_class in CostClass
        }
        self.last_taken = dict.fromkeys(CostClass, -math.inf)
        self.backlogged_since = 0.0
        self.blocked = False
        self.listed_regular: float | None = None
        self.listed_long: float | None = None

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self.waiting.values())

    def has_regular(self) -> bool:
        """Return whether short or normal work is queued."""
        return bool(len(self.waiting[CostClass.SHORT]) or len(self.waiting[CostClass.NORMAL]))

    def has_long(self) -> bool:
        """Return whether long work is queued."""
        return bool(len(self.waiting[CostClass.LONG]))

    def head_of(self, cost_class: CostClass) -> WorkT | None:
        """Return the first request of a class."""
        return self.waiting[cost_class].head()

    def heads(self, allow_long: bool) -> list[WorkT]:
        """Return the first request of each class that has one."""
        return [
            head
            for cost_class, queue in self.waiting.items()
            if (allow_long or cost_class is not CostClass.LONG)
            and (head := queue.head()) is not None
        ]

    def cost_before(self, cost_class: CostClass, due: float) -> float:
        """Return the cost of a class that goes before a new request with this due time."""
        return self.waiting[cost_class].cost_before(due)

    def add(self, work: WorkT) -> None:
        """Add a request to the queue of its class."""
        self.waiting[work.cost_class].add(work)

    def remove(self, work: WorkT) -> None:
        """Remove a request."""
        self.waiting[work.cost_class].remove(work)
