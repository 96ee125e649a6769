"""Members whose queued requests are blocked by a cap."""

from __future__ import annotations

import heapq
import math

from lagoonwing_core.ids import MemberId
from lagoonwing_policy._pools import Pool, PoolTable


class CapBlocks:
    """Skips members in the queues until their caps may allow a start."""

    def __init__(self, pools: PoolTable) -> None:
        self._pools = pools
        self._pools_by_member: dict[MemberId, dict[str, Pool]] = {}
        self._due: list[tuple[float, MemberId]] = []
        # Earliest heap entry of each member; avoids duplicate entries in the heap.
        self._due_by_member: dict[MemberId, float] = {}

    def members(self) -> list[MemberId]:
        """Return the blocked members."""
        return list(self._pools_by_member)

    def pools_of(self, member_id: MemberId) -> list[Pool]:
        """Return the pools in which a member is blocked."""
        return list(self._pools_by_member.get(member_id, {}).values())

    def is_blocked(self, member_id: MemberId) -> bool:
        """Return whether a member is blocked."""
        return member_id in self._pools_by_member

    def block(self, member_id: MemberId, pool: Pool, until: float | None) -> None:
        """Block a member in a pool, no longer than `until` if it is given."""
        pool.queue.block(member_id)
        self._pools_by_member.setdefault(member_id, {})[pool.key] = pool
        if until is not None and until < self._due_by_member.get(member_id, math.inf):
            self._due_by_member[member_id] = until
            heapq.heappush(self._due, (until, member_id))

    def unblock(self, member_id: MemberId) -> None:
        """Unblock a member in every pool."""
        for pool in self._pools_by_member.pop(member_id, {}).values():
            pool.queue.unblock(member_id)
            self._pools.mark_ready(pool)

    def unblock_due(self, now: float) -> None:
        """Unblock the members whose block has expired."""
        while self._due and self._due[0][0] <= now:
            due, member_id = heapq.heappop(self._due)
            if self._due_by_member.get(member_id) == due:
                del self._due_by_member[member_id]
            self.unblock(member_id)
