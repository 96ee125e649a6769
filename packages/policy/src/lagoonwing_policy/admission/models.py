"""Policies of admission to the queue."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BoundedQueue:
    """A request is refused only when the queue is full.

    Attributes:
        max_requests: Requests that may wait.
    """

    max_requests: int = 4096


@dataclass(frozen=True, slots=True)
class EarlyRefusal:
    """A request is refused at once when it can't be answered in time.

    Attributes:
        max_requests: Requests that may wait.
        max_tokens: Tokens, prompt and expected output, that may wait.
        min_member_requests: Requests of one member that may wait while the queue has room.
        free_share: Share of what is left of the queue that one member may take.
        max_wait_s: Longest expected wait with which a request is queued.
    """

    max_requests: int = 4096
    max_tokens: float = 8_000_000.0
    min_member_requests: int = 4
    free_share: float = 0.5
    max_wait_s: float = 60.0


AdmissionPolicy = BoundedQueue | EarlyRefusal
