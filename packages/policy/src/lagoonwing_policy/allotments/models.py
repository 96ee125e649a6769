"""Policies of caps, and what a cap lets a member do now."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NoLimits:
    """Agreements' caps are not enforced."""


@dataclass(frozen=True, slots=True)
class Allotments:
    """Caps are enforced by the grants that this entry host holds.

    Attributes:
        burst_s: Seconds of a rate that may be used at once after a pause.
        max_wait_s: Longest time that a request waits for its member's cap.
        queue_per_concurrency: Requests that may wait per granted concurrent request.
        min_queue: Requests that may wait however small the grant is.
        demand_decay_s: Time constant with which demand that ended is forgotten.
        backlog_drain_s: Time in which the rate asked for would start what is queued.
        max_preallocated_members: Number of members up to which a part of every member's cap is
            asked for in advance.
    """

    burst_s: float = 1.0
    max_wait_s: float = 1.0
    queue_per_concurrency: float = 2.0
    min_queue: int = 4
    demand_decay_s: float = 0.2
    backlog_drain_s: float = 0.5
    max_preallocated_members: int = 64


LimitPolicy = NoLimits | Allotments


@dataclass(frozen=True, slots=True)
class StartAllowed:
    """The member's caps let the request start."""


@dataclass(frozen=True, slots=True)
class StartBlocked:
    """The member's caps don't let the request start now.

    Attributes:
        until: Time in seconds at which a rate will allow it; `None` while that depends on
            the end of other requests or on a grant.
    """

    until: float | None


StartVerdict = StartAllowed | StartBlocked
