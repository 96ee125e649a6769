"""Queue bounds, per member and in total."""

from __future__ import annotations

from typing import assert_never

from lagoonwing_admission.models import AdmissionPolicy, BoundedQueue, EarlyRefusal
from lagoonwing_core.ids import MemberId


class QueueBounds:
    """Bounds the queue and reserves room for other members.

    A member may take only a share of the remaining room, so a burst of one member never fills
    the queue for the others.
    """

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy
        self._requests = 0
        self._tokens = 0.0

    @property
    def requests(self) -> int:
        """Return the number of queued requests."""
        return self._requests

    def queued(self, tokens: float) -> None:
        """Add a queued request."""
        self._requests += 1
        self._tokens += tokens

    def dequeued(self, tokens: float) -> None:
        """Remove a queued request."""
        self._requests -= 1
        self._tokens = self._tokens - tokens if self._requests else 0.0

    def has_room(self, member_requests: int, member_tokens: float, tokens: float) -> bool:
        """Return whether a member may queue one more request.

        Args:
            member_requests: Queued requests of the member.
            member_tokens: Tokens of the member's queued requests.
            tokens: Tokens of the new request.
        """
        match self._policy:
            case BoundedQueue(max_requests=max_requests):
                return self._requests < max_requests
            case EarlyRefusal() as policy:
                return self._has_room_for_member(policy, member_requests, member_tokens, tokens)
            case _:
                assert_never(self._policy)

    def _has_room_for_member(
        self, policy: EarlyRefusal, member_requests: int, member_tokens: float, tokens: float
    ) -> bool:
        """Return whether the totals and the member's share leave room."""
        free_requests = policy.max_requests - self._requests
        free_tokens = policy.max_tokens - self._tokens
        if free_requests < 1 or free_tokens < tokens:
            return False
        if member_requests < policy.min_member_requests:
            return True
        if member_requests >= policy.free_share * free_requests:
            return False
        return member_tokens + tokens <= policy.free_share * free_tokens


class MemberTotals:
    """Number and total size of the queued requests of each member."""

    def __init__(self) -> None:
        self._totals_by_member: dict[MemberId, tuple[int, float]] = {}

    def queued(self, member_id: MemberId, size: float) -> None:
        """Add a queued request."""
        count, total = self.queued_of(member_id)
        self._totals_by_member[member_id] = (count + 1, total + size)

    def dequeued(self, member_id: MemberId, size: float) -> None:
        """Remove a queued request."""
        count, total = self._totals_by_member[member_id]
        if count == 1:
            del self._totals_by_member[member_id]
        else:
            self._totals_by_member[member_id] = (count - 1, total - size)

    def queued_of(self, member_id: MemberId) -> tuple[int, float]:
        """Return the number of queued requests of a member, and their total size."""
        return self._totals_by_member.get(member_id, (0, 0.0))
