"""Requests of one service that wait for capacity at one gateway."""

from __future__ import annotations

import random
from typing import Generic

from lagoonwing_admission._bounds import MemberTotals, QueueBounds
from lagoonwing_admission._check import AdmissionCheck, expected_wait_s
from lagoonwing_admission._ordered_set import OrderedSet
from lagoonwing_admission._overtaking import OvertakingLimit
from lagoonwing_admission._queue import WorkT
from lagoonwing_admission._ranked import RankedQueue
from lagoonwing_admission._return_schedule import ReturnSchedule
from lagoonwing_admission._start_rate import StartRate
from lagoonwing_admission.models import Admitted, Verdict, WaitingRoomSettings, WorkId
from lagoonwing_core.ids import MemberId


def _cost_of(work: WorkT) -> float:
    """Return the size of a request for the bounds of the queue."""
    return work.cost


class WaitingRoom(Generic[WorkT]):
    """Admits requests, orders them, expires them and promises refused callers a return time."""

    def __init__(self, settings: WaitingRoomSettings, rng: random.Random) -> None:
        """Create an empty waiting room.

        Args:
            settings: Order and bounds of the queue.
            rng: Source of the jitter of return times.
        """
        self._queue: RankedQueue[WorkT] = RankedQueue(settings.queue)
        self._bounds = QueueBounds(settings.admission)
        self._totals = MemberTotals()
        self._check: AdmissionCheck[WorkT] = AdmissionCheck(
            settings.admission, self._bounds, self._totals.queued_of, _cost_of
        )
        self._returns = ReturnSchedule(rng)
        self._start_rate = StartRate()
        self._overtaking: OvertakingLimit[WorkT] = OvertakingLimit()
        self._work_by_id: dict[WorkId, WorkT] = {}
        # Latest start and id of each waiting request.
        self._expiries: OrderedSet[tuple[float, WorkId]] = OrderedSet()
        self._rate: float | None = None
        # Last known cost at other gateways that goes before work of a rank.
        self._remote_ahead_by_rank: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._work_by_id)

    def submit(self, work: WorkT, now: float, remote_ahead: float, rate: float | None) -> Verdict:
        """Let a request wait, or reject it at once.

        Args:
            work: The request.
            now: Time in seconds.
            remote_ahead: Cost that waits at other gateways and goes first.
            rate: Cost that all gateways start per second for this service, None while unknown.
        """
        self._rate = rate
        self._remote_ahead_by_rank[work.rank] = remote_ahead
        self._queue.offered(work, now)
        verdict = self._check.check(work, self._queue, rate, now, remote_ahead)
        if isinstance(verdict, Admitted):
            self._add(work)
        return verdict

    def candidates(self, now: float, limit: int) -> list[WorkT]:
        """Return up to `limit` waiting requests in the order in which they would start.

        There are fewer while capacity is reserved for a request that others have overtaken.
        """
        return self._overtaking.limit(self._queue.candidates(now, limit), self._rate, now)

    def started(self, work: WorkT, now: float) -> None:
        """Record the start of a request, which may have started without waiting."""
        if work.work_id not in self._work_by_id:
            self._queue.offered(work, now)
            self._add(work)
        self._overtaking.started(work)
        self._forget(work)
        self._queue.take(work)
        self._start_rate.started(work.cost, now)

    def withdraw(self, work: WorkT) -> None:
        """Remove a request whose caller is gone; one that does not wait is ignored."""
        if work.work_id in self._work_by_id:
            self._overtaking.forget(work)
            self._forget(work)
            self._queue.discard(work)

    def expired(self, now: float) -> list[WorkT]:
        """Remove the requests whose latest start has passed and return them, earliest first."""
        expired: list[WorkT] = []
        while (first := self._expiries.first()) is not None and first[0] <= now:
            work = self._work_by_id[first[1]]
            self.withdraw(work)
            expired.append(work)
        return expired

    def next_expiry(self) -> float | None:
        """Return the earliest latest start of the waiting requests, None without any."""
        first = self._expiries.first()
        return None if first is None else first[0]

    def retry_after_s(self, work: WorkT, max_s: float, now: float, gateways: int = 1) -> float:
        """Return when the caller of a refused request should return, in seconds from now.

        Args:
            work: The refused request; it does not wait any more.
            max_s: Longest time that the caller honours.
            now: Time in seconds.
            gateways: Gateways that promise returns from the same capacity, each an even part.
        """
        remote_ahead = self._remote_ahead_by_rank.get(work.rank, 0.0)
        wait = expected_wait_s(work, self._queue, self._rate, remote_ahead)
        rate = None if self._rate is None else self._rate / gateways
        return self._returns.promise(work.rank, work.cost, rate, wait, max_s, now)

    def set_weight(self, member_id: MemberId, weight: float) -> None:
        """Set a member's weight, 1 by default."""
        self._queue.set_weight(member_id, weight)

    def has_work_before(self, rank: int) -> bool:
        """Return whether a waiting request goes before a new one of this rank."""
        return self._queue.has_work_before(rank)

    def waiting_cost_by_rank(self) -> dict[int, float]:
        """Return the cost of the waiting requests of each rank that has any."""
        return self._queue.cost_by_rank()

    def started_cost_per_s(self, now: float) -> float:
        """Return the cost that this gateway starts per second."""
        return self._start_rate.per_s(now)

    def _add(self, work: WorkT) -> None:
        """Add a request to the queue and to the totals."""
        self._queue.push(work)
        self._work_by_id[work.work_id] = work
        self._expiries.add((work.latest_start, work.work_id))
        self._bounds.queued(work.cost)
        self._totals.queued(work.member_id, work.cost)

    def _forget(self, work: WorkT) -> None:
        """Remove a request from the totals."""
        del self._work_by_id[work.work_id]
        self._expiries.remove((work.latest_start, work.work_id))
        self._bounds.dequeued(work.cost)
        self._totals.dequeued(work.member_id, work.cost)
