"""Bounds of the queue, per member and in total."""

from __future__ import annotations

from typing import assert_never

from lagoonwing_policy.admission.models import AdmissionPolicy, BoundedQueue, EarlyRefusal


class QueueBounds:
    """Keeps the queue within bounds and leaves room in it for other members.

    A member may take a share of the room that is left, so that however many requests one
    member sends, the queue never fills up for the others.
    """

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy
        self._requests = 0
        self._tokens = 0.0

    @property
    def requests(self) -> int:
        """Return the number of requests that wait."""
        return self._requests

    def queued(self, tokens: float) -> None:
        """Count a request that waits."""
        self._requests += 1
        self._tokens += tokens

    def dequeued(self, tokens: float) -> None:
        """Stop counting a request that waited."""
        self._requests -= 1
        self._tokens = self._tokens - tokens if self._requests else 0.0

    def has_room(self, member_requests: int, member_tokens: float, tokens: float) -> bool:
        """Return whether a member may queue one more request.

        Args:
            member_requests: Requests of the member that wait.
            member_tokens: Their tokens.
            tokens: Tokens of the request.
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
        """Return whether the totals and the member's own bounds leave room."""
        free_requests = policy.max_requests - self._requests
        free_tokens = policy.max_tokens - self._tokens
        if free_requests < 1 or free_tokens < tokens:
            return False
        if member_requests < policy.min_member_requests:
            return True
        if member_requests >= policy.free_share * free_requests:
            return False
        return member_tokens + tokens <= policy.free_share * free_tokens
