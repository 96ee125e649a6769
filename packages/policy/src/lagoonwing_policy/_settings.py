"""Settings of the scheduler."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_MAX_QUEUED_REQUESTS = 4096


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Settings of one entry host's scheduler.

    Attributes:
        max_queued_requests: Requests of all members together that may wait.
    """

    max_queued_requests: int = DEFAULT_MAX_QUEUED_REQUESTS
