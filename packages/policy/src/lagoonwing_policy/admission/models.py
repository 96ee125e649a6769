"""Admission policies."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BoundedQueue:
    """Refuses requests only when the queue is full.

    Attributes:
        max_requests: Maximum number of queued requests.
    """

    max_requests: int = 4096


@dataclass(frozen=True, slots=True)
class EarlyRefusal:
    """Refuses requests immediately that can't be answered in time.

    Attributes:
        max_requests: Maximum number of queued requests.
        max_tokens: Maximum number of queued tokens, prompt and expected output.
        min_member_requests: Requests that every member may queue while the queue has room.
        free_share: Share of the remaining room in the queue that one member may take.
        max_wait_s: Longest expected wait with which a request is queued.
    """

    max_requests: int = 4096
    max_tokens: float = 8_000_000.0
    min_member_requests: int = 4
    free_share: float = 0.5
    max_wait_s: float = 60.0


AdmissionPolicy = BoundedQueue | EarlyRefusal
