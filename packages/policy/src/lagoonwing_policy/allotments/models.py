"""Limit policies, and the result of a check against a member's caps."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NoLimits:
    """The caps of agreements are not enforced."""


@dataclass(frozen=True, slots=True)
class Allotments:
    """Caps are enforced by the grants that this entry host holds.

    Attributes:
        burst_s: Burst size of a rate, in seconds of that rate.
        max_wait_s: Maximum time that a request waits for its member's cap.
        queue_per_concurrency: Requests that may be queued per granted concurrent request.
        min_queue: Requests that may be queued regardless of the size of the grant.
        demand_decay_s: Time constant of the decay of past demand.
        backlog_drain_s: Time in which the requested rate would drain the queue.
        max_preallocated_members: Number of members up to which a part of every member's cap is
            requested in advance.
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
    """The member's caps allow the request to start."""


@dataclass(frozen=True, slots=True)
class StartBlocked:
    """The member's caps don't allow the request to start now.

    Attributes:
        until: Time in seconds at which the rates allow a start; None if that depends on the
            end of other requests or on a grant.
    """

    until: float | None


StartVerdict = StartAllowed | StartBlocked
