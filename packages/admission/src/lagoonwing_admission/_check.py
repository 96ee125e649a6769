"""Decision on arrival: whether a request may wait or is refused at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, assert_never

from lagoonwing_admission._bounds import QueueBounds
from lagoonwing_admission._queue import WorkT
from lagoonwing_admission._ranked import RankedQueue
from lagoonwing_admission.const import MIN_KNOWN_RATE
from lagoonwing_admission.models import (
    AdmissionPolicy,
    Admitted,
    BoundedQueue,
    EarlyRefusal,
    Rejected,
    RejectReason,
    Verdict,
)
from lagoonwing_core.ids import MemberId


class AdmissionCheck(Generic[WorkT]):
    """Checks a request against the bounds of the queue, its latest start and the longest wait."""

    def __init__(
        self,
        policy: AdmissionPolicy,
        bounds: QueueBounds,
        queued_of: Callable[[MemberId], tuple[int, float]],
        size_of: Callable[[WorkT], float],
    ) -> None:
        """Create a check; it changes none of its inputs.

        Args:
            policy: Which requests are refused.
            bounds: Totals of all queues that share the bounds.
            queued_of: Returns the number and the total size of a member's queued requests.
            size_of: Returns the size of a request in tokens, which counts against the bounds.
        """
        self._policy = policy
        self._bounds = bounds
        self._queued_of = queued_of
        self._size_of = size_of

    def check(
        self,
        work: WorkT,
        queue: RankedQueue[WorkT],
        rate: float | None,
        now: float,
        remote_cost_ahead: float = 0.0,
    ) -> Verdict:
        """Decide on a new request.

        Args:
            work: The request; it is not in the queue.
            queue: Queue in which it would wait.
            rate: Cost that is started per second, None or below MIN_KNOWN_RATE while unknown.
            now: Time in seconds.
            remote_cost_ahead: Cost that waits elsewhere for the same capacity and goes first.
        """
        wait = expected_wait_s(work, queue, rate, remote_cost_ahead)
        member_requests, member_size = self._queued_of(work.member_id)
        if not self._bounds.has_room(member_requests, member_size, self._size_of(work)):
            return Rejected(RejectReason.QUEUE_FULL, wait)
        match self._policy:
            case BoundedQueue():
                return Admitted(wait)
            case EarlyRefusal() as policy:
                return _check_wait(policy, work, wait, now)
            case _:
                assert_never(self._policy)


def expected_wait_s(
    work: WorkT, queue: RankedQueue[WorkT], rate: float | None, remote_cost_ahead: float
) -> float:
    """Return the estimated queueing time of a new request, 0 while the rate is unknown."""
    if rate is None or rate < MIN_KNOWN_RATE:
        return 0.0
    return queue.work_ahead(work, remote_cost_ahead) / rate


def _check_wait(policy: EarlyRefusal, work: WorkT, wait: float, now: float) -> Verdict:
    """Reject a request that would start too late."""
    if now + wait * policy.wait_margin > work.latest_start:
        return Rejected(RejectReason.DEADLINE_UNREACHABLE, wait)
    if wait > policy.max_wait_s:
        return Rejected(RejectReason.WAIT_TOO_LONG, wait)
    return Admitted(wait)
