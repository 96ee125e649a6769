"""Interface of the request queues."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol, TypeVar

from lagoonwing_admission.models import QueuedWork
from lagoonwing_core.ids import MemberId

WorkT = TypeVar("WorkT", bound=QueuedWork)


@dataclass(frozen=True, slots=True)
class StartConstraints:
    """Which kinds of work a pool can start.

    Attributes:
        long: Whether long work may start.
        backlogged: Whether members with a persistent backlog may start work.
    """

    long: bool
    backlogged: bool


UNCONSTRAINED = StartConstraints(long=True, backlogged=True)


class WorkQueue(Protocol[WorkT]):
    """Requests of one pool that are waiting for a slot."""

    def __len__(self) -> int:
        """Return the number of queued requests."""

    def push(self, work: WorkT) -> None:
        """Add a request to the queue of its member and class."""

    def head(self, constraints: StartConstraints, now: float) -> WorkT | None:
        """Return the next request to start, without removing it.

        Args:
            constraints: Which kinds of work may start.
            now: Time in seconds.
        """

    def in_order(self, now: float) -> Iterator[WorkT]:
        """Iterate over the first request of each member and class, in the order of starts."""

    def take(self, work: WorkT) -> None:
        """Remove a request that is being started and charge its member."""

    def discard(self, work: WorkT) -> None:
        """Remove a request that is not going to start."""

    def charge(self, member_id: MemberId, cost: float) -> None:
        """Adjust a member's charge; a negative cost is a refund."""

    def block(self, member_id: MemberId) -> None:
        """Skip a member until it is unblocked."""

    def unblock(self, member_id: MemberId) -> None:
        """Stop skipping a member."""

    def has_ready(self) -> bool:
        """Return whether a member that is not blocked has a queued request."""

    def oldest_of(self, member_id: MemberId) -> WorkT | None:
        """Return the request of a member that is due first."""

    def set_weight(self, member_id: MemberId, weight: float) -> None:
        """Set a member's weight."""

    def work_ahead(self, work: WorkT) -> float:
        """Return the cost of work that would start before a new request."""
