"""Queued requests of one member in one pool."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from lagoonwing_core.ids import MemberId, RequestId
from lagoonwing_policy._requests import RequestEntity
from lagoonwing_policy.models import Priority

ClassQueue = OrderedDict[RequestId, RequestEntity]


def _empty_class_queues() -> dict[Priority, ClassQueue]:
    """Return an empty queue per class."""
    return {priority: OrderedDict() for priority in Priority}


def _zero_by_class() -> dict[Priority, float]:
    """Return zero per class."""
    return dict.fromkeys(Priority, 0.0)


def _never_by_class() -> dict[Priority, float]:
    """Return minus infinity per class."""
    return dict.fromkeys(Priority, -math.inf)


@dataclass(slots=True)
class MemberQueue:
    """Queues of one member, and the virtual times of the member and of its classes.

    Attributes:
        start: Virtual start time of the member's next request.
        class_start: Virtual start time within the member, by class.
        class_virtual: Virtual time within the member.
        last_taken: Time at which the last request of a class was taken, by class.
        backlogged_since: Time since which requests have been waiting without interruption.
        blocked: Whether the member is skipped.
        listed_regular: Virtual time of its entry in the ready list of short and normal work.
        listed_long: Virtual time of its entry in the ready list of long work.
    """

    member_id: MemberId
    weight: float = 1.0
    start: float = 0.0
    class_virtual: float = 0.0
    class_start: dict[Priority, float] = field(default_factory=_zero_by_class)
    waiting: dict[Priority, ClassQueue] = field(default_factory=_empty_class_queues)
    cost: dict[Priority, float] = field(default_factory=_zero_by_class)
    last_taken: dict[Priority, float] = field(default_factory=_never_by_class)
    backlogged_since: float = 0.0
    blocked: bool = False
    listed_regular: float | None = None
    listed_long: float | None = None

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self.waiting.values())

    def has_regular(self) -> bool:
        """Return whether short or normal work is queued."""
        return bool(self.waiting[Priority.SHORT] or self.waiting[Priority.NORMAL])

    def has_long(self) -> bool:
        """Return whether long work is queued."""
        return bool(self.waiting[Priority.LONG])

    def head_of(self, priority: Priority) -> RequestEntity | None:
        """Return the first request of a class."""
        queue = self.waiting[priority]
        return next(iter(queue.values())) if queue else None

    def add(self, entity: RequestEntity) -> None:
        """Append a request to the queue of its class."""
        self.waiting[entity.priority][entity.profile.request_id] = entity
        self.cost[entity.priority] += entity.cost

    def remove(self, entity: RequestEntity) -> None:
        """Remove a request."""
        queue = self.waiting[entity.priority]
        del queue[entity.profile.request_id]
        self.cost[entity.priority] -= entity.cost
        if not queue:
            # Resets rounding errors of the running sum.
            self.cost[entity.priority] = 0.0
