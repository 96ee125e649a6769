"""Queue of requests with ranks: strict priority with a guaranteed share for each rank."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from typing import Generic

from lagoonwing_admission._guarantee import Credit, guaranteed_share
from lagoonwing_admission._make import make_rank_queue
from lagoonwing_admission._queue import StartConstraints, WorkQueue, WorkT
from lagoonwing_admission._rank_demand import RankDemand
from lagoonwing_admission.const import DEMAND_GUARANTEE
from lagoonwing_admission.models import FirstComeFirstServed, QueuePolicy
from lagoonwing_core.ids import MemberId

# Rank of all requests under a policy that ignores ranks, and default of `charge`.
DEFAULT_RANK = 0


class RankLane(Generic[WorkT]):
    """Queue of one rank and the credit of its guaranteed share."""

    __slots__ = ("credit", "queue", "rank")

    def __init__(self, rank: int, policy: QueuePolicy) -> None:
        self.rank = rank
        self.queue: WorkQueue[WorkT] = make_rank_queue(policy)
        self.credit = Credit()


class RankedQueue(Generic[WorkT]):
    """One fair queue per rank, lower ranks first.

    A rank with waiting work gets at least its guaranteed share of the started cost. A policy of
    first come, first served ignores ranks.
    """

    def __init__(self, policy: QueuePolicy) -> None:
        self._policy = policy
        self._ignores_ranks = isinstance(policy, FirstComeFirstServed)
        self._lane_by_rank: dict[int, RankLane[WorkT]] = {}
        # Lanes in ascending order of rank.
        self._lanes: list[RankLane[WorkT]] = []
        self._weight_by_member: dict[MemberId, float] = {}
        self._blocked: set[MemberId] = set()
        self._demand = RankDemand()
        self._largest = 0.0
        self._cost_by_rank: dict[int, float] = {}
        self._count_by_rank: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum(len(lane.queue) for lane in self._lanes)

    def offered(self, work: WorkT, now: float) -> None:
        """Count a request that arrived in the demand of its rank, even if it is then refused.

        Without these calls every rank has the smallest guaranteed share.
        """
        self._demand.offered(self._rank_of(work), work.cost, now)
        self._largest = max(self._largest, work.cost)

    def push(self, work: WorkT) -> None:
        """Add a request to the queue of its rank, member and class."""
        lane = self._lane(work.rank)
        lane.queue.push(work)
        self._largest = max(self._largest, work.cost)
        rank = work.rank
        self._count_by_rank[rank] = self._count_by_rank.get(rank, 0) + 1
        self._cost_by_rank[rank] = self._cost_by_rank.get(rank, 0.0) + work.cost

    def head(self, constraints: StartConstraints, now: float) -> WorkT | None:
        """Return the next request to start, without removing it."""
        first: WorkT | None = None
        for lane in self._lanes:
            head = lane.queue.head(constraints, now)
            if head is None:
                continue
            if first is None:
                first = head
            elif lane.credit.covers(head.cost):
                return head
        return first

    def candidates(self, now: float, limit: int) -> list[WorkT]:
        """Return up to `limit` requests in the order in which they would start.

        Each is the first of its rank, member and class, so that a small request can start where
        the first one does not fit. Members without a persistent backlog have no privilege here.
        """
        return list(itertools.islice(self._in_order(now), limit))

    def take(self, work: WorkT) -> None:
        """Remove a request that is being started and charge its member and rank."""
        lane = self._lane(work.rank)
        lane.queue.take(work)
        self._uncount(work)
        self._demand.started(work.cost)
        if len(self._lanes) == 1:
            return
        for earner in self._lanes:
            earner.credit.earn(work.cost * self._earned_share(earner), 2.0 * self._largest)
        lane.credit.spend(work.cost)

    def discard(self, work: WorkT) -> None:
        """Remove a request that is not going to start."""
        lane = self._lane(work.rank)
        lane.queue.discard(work)
        self._uncount(work)

    def charge(self, member_id: MemberId, cost: float, rank: int = DEFAULT_RANK) -> None:
        """Adjust a member's charge in one rank; a negative cost is a refund."""
        self._lane(rank).queue.charge(member_id, cost)

    def block(self, member_id: MemberId) -> None:
        """Skip a member in every rank until it is unblocked."""
        self._blocked.add(member_id)
        for lane in self._lanes:
            lane.queue.block(member_id)

    def unblock(self, member_id: MemberId) -> None:
        """Stop skipping a member."""
        self._blocked.discard(member_id)
        for lane in self._lanes:
            lane.queue.unblock(member_id)

    def oldest_of(self, member_id: MemberId) -> WorkT | None:
        """Return the request of a member that is due first."""
        found = [work for lane in self._lanes if (work := lane.queue.oldest_of(member_id))]
        return min(found, key=lambda work: work.due, default=None)

    def set_weight(self, member_id: MemberId, weight: float) -> None:
        """Set a member's weight in every rank."""
        self._weight_by_member[member_id] = weight
        for lane in self._lanes:
            lane.queue.set_weight(member_id, weight)

    def work_ahead(self, work: WorkT, remote_cost: float = 0.0) -> float:
        """Return the cost of work that would start before a new request.

        More urgent ranks go first, also those of their requests that arrive meanwhile, but no
        longer than the guaranteed share of the request's own rank allows. Less urgent ranks get
        their shares meanwhile.

        Args:
            work: The request; it is not in the queue.
            remote_cost: Cost that waits elsewhere for the same capacity and goes first.
        """
        if self._ignores_ranks:
            return self._lane(work.rank).queue.work_ahead(work) + remote_cost
        rank = work.rank
        lane = self._lane_by_rank.get(rank)
        own = lane.queue.work_ahead(work) if lane is not None else 0.0
        owed = lane.credit.owed if lane is not None else 0.0
        urgent = sum(cost for queued_rank, cost in self._cost_by_rank.items() if queued_rank < rank)
        remote = remote_cost * self._share_ahead(work, urgent + own)
        share = self._guaranteed_share(rank)
        left = max(share, 1.0 - self._demand.urgent_per_started(rank))
        ahead = min(
            (urgent + own + remote) / left, max(0.0, own + work.cost - owed) / share + remote
        )
        return ahead + self._less_urgent_ahead(rank, ahead)

    def _share_ahead(self, work: WorkT, ahead: float) -> float:
        """Return the share of the queue of this rank and more urgent ones that goes first.

        Other gateways report only the cost of each rank. Their queues consist of the same members
        as this one, so the same share of them goes before the request.
        """
        queued = sum(
            cost for queued_rank, cost in self._cost_by_rank.items() if queued_rank <= work.rank
        )
        total = queued + work.cost
        return min(1.0, (ahead + work.cost) / total) if total > 0.0 else 1.0

    def _less_urgent_ahead(self, rank: int, ahead: float) -> float:
        """Return the cost of less urgent ranks that starts meanwhile by their shares."""
        less_urgent = {
            queued_rank: cost
            for queued_rank, cost in self._cost_by_rank.items()
            if queued_rank > rank
        }
        shares = sum(self._guaranteed_share(queued_rank) for queued_rank in less_urgent)
        return min(sum(less_urgent.values()), ahead * shares)

    def has_work_before(self, rank: int) -> bool:
        """Return whether a queued request goes before a new one of this rank, by rank alone."""
        if self._ignores_ranks:
            return bool(self._count_by_rank)
        return any(queued_rank <= rank for queued_rank in self._count_by_rank)

    def cost_by_rank(self) -> dict[int, float]:
        """Return the total cost of the queued requests of each rank that has any."""
        return dict(self._cost_by_rank)

    def _in_order(self, now: float) -> Iterator[WorkT]:
        """Iterate over the candidates of all lanes; first those that a guarantee covers."""
        waiting = [lane for lane in self._lanes if lane.queue.has_ready()]
        promoted: list[RankLane[WorkT]] = []
        for lane in waiting[1:]:
            head = next(lane.queue.in_order(now), None)
            if head is not None and lane.credit.covers(head.cost):
                promoted.append(lane)
                yield head
        for lane in waiting:
            # The head of a promoted lane has been returned already.
            skipped = 1 if lane in promoted else 0
            yield from itertools.islice(lane.queue.in_order(now), skipped, None)

    def _earned_share(self, lane: RankLane[WorkT]) -> float:
        """Return the share that a rank earns now; without waiting work that of its demand."""
        if lane.queue.has_ready():
            return self._guaranteed_share(lane.rank)
        return DEMAND_GUARANTEE * self._demand.share_of(lane.rank)

    def _guaranteed_share(self, rank: int) -> float:
        """Return the share of the started cost that a rank with waiting work gets at least."""
        return guaranteed_share(self._demand.share_of(rank), len(self._lanes))

    def _rank_of(self, work: WorkT) -> int:
        """Return the rank that orders a request."""
        return DEFAULT_RANK if self._ignores_ranks else work.rank

    def _lane(self, rank: int) -> RankLane[WorkT]:
        """Return the lane of a rank; it is created if it does not exist."""
        rank = DEFAULT_RANK if self._ignores_ranks else rank
        lane = self._lane_by_rank.get(rank)
        return lane if lane is not None else self._add_lane(rank)

    def _add_lane(self, rank: int) -> RankLane[WorkT]:
        """Create a lane with the known weights and blocked members."""
        lane: RankLane[WorkT] = RankLane(rank, self._policy)
        for member_id, weight in self._weight_by_member.items():
            lane.queue.set_weight(member_id, weight)
        for member_id in self._blocked:
            lane.queue.block(member_id)
        self._lane_by_rank[rank] = lane
        self._lanes = sorted(self._lane_by_rank.values(), key=lambda known: known.rank)
        return lane

    def _uncount(self, work: WorkT) -> None:
        """Subtract a request from the totals of its rank."""
        rank = work.rank
        self._count_by_rank[rank] -= 1
        self._cost_by_rank[rank] -= work.cost
        if not self._count_by_rank[rank]:
            # Resets rounding errors of the running sum.
            del self._count_by_rank[rank]
            del self._cost_by_rank[rank]
