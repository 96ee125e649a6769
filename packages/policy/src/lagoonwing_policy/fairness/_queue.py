"""What the dispatcher needs of a queue, whatever its order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lagoonwing_core.ids import MemberId
from lagoonwing_policy._requests import RequestEntity


@dataclass(frozen=True, slots=True)
class StartConstraints:
    """What a pool has room for.

    Attributes:
        long: Whether long work may start.
        backlogged: Whether members with a lasting backlog may start work.
    """

    long: bool
    backlogged: bool


UNCONSTRAINED = StartConstraints(long=True, backlogged=True)


class WorkQueue(Protocol):
    """Requests of one pool that wait for a slot."""

    def __len__(self) -> int:
        """Return the number of requests that wait."""

    def push(self, entity: RequestEntity) -> None:
        """Add a request behind the others of its member and class."""

    def head(self, constraints: StartConstraints, now: float) -> RequestEntity | None:
        """Return the next request to start, without removing it.

        Args:
            constraints: What may start now.
            now: Time in seconds.
        """

    def take(self, entity: RequestEntity) -> None:
        """Remove a request that starts and charge its member its cost."""

    def discard(self, entity: RequestEntity) -> None:
        """Remove a request that does not start."""

    def charge(self, member_id: MemberId, cost: float) -> None:
        """Correct what a member was charged; negative gives back."""

    def block(self, member_id: MemberId) -> None:
        """Pass a member over until it is unblocked."""

    def unblock(self, member_id: MemberId) -> None:
        """Consider a member again."""

    def oldest_of(self, member_id: MemberId) -> RequestEntity | None:
        """Return the request of a member that has waited longest."""

    def set_weight(self, member_id: MemberId, weight: float) -> None:
        """Set a member's weight."""

    def work_ahead(self, entity: RequestEntity) -> float:
        """Return the cost that starts before a request that is about to be pushed."""
