"""Refuses requests that waited too long for a slot, a cap or a route."""

from __future__ import annotations

from lagoonwing_admission import UNCONSTRAINED, jittered_retry_after
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import MemberId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy._dispatch import DispatchSystem
from lagoonwing_policy._pools import Pool
from lagoonwing_policy._tables import SchedulerTables
from lagoonwing_policy.allotments import Allotments
from lagoonwing_policy.const import MAX_REFUSALS_PER_TICK, NO_ROUTE_GRACE_S, SWEEP_INTERVAL_S
from lagoonwing_policy.models import SchedulerCommand


class QueueTimeoutSystem:
    """Refuses requests whose wait timed out, a bounded number per tick."""

    def __init__(self, tables: SchedulerTables, dispatch: DispatchSystem) -> None:
        self._tables = tables
        self._dispatch = dispatch
        self._next_sweep_at = 0.0

    def run(self, now: float) -> list[SchedulerCommand]:
        """Refuse overdue requests; periodically sweep blocked members and all pools."""
        self._tables.refusals_left = MAX_REFUSALS_PER_TICK
        self._tables.cap_blocks.unblock_due(now)
        commands = self._refuse_overdue(now)
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_S
            commands.extend(self._sweep(now))
        return commands

    def _refuse_overdue(self, now: float) -> list[SchedulerCommand]:
        """Refuse requests that can no longer complete by their deadline."""
        commands: list[SchedulerCommand] = []
        while self._tables.refusals_left > 0:
            entity = self._tables.requests.earliest_overdue(now)
            if entity is None:
                break
            refusal = Refusal(
                ResultCode.DEADLINE_UNREACHABLE,
                "no slot came free early enough",
                jittered_retry_after(self._tables.rng, now - entity.enqueued),
            )
            commands.append(self._dispatch.refuse(entity, refusal))
        return commands

    def _sweep(self, now: float) -> list[SchedulerCommand]:
        """Check every member that is blocked by a cap, and every pool."""
        commands: list[SchedulerCommand] = []
        for member_id in self._tables.cap_blocks.members():
            commands.extend(self._refuse_capped(member_id, now))
        for pool in self._tables.pools:
            commands.extend(self._refuse_unroutable(pool, now))
            # A load report may show free slots without an event that reopens the pool.
            self._tables.pools.reopen(pool)
        return commands

    def _refuse_capped(self, member_id: MemberId, now: float) -> list[SchedulerCommand]:
        """Refuse requests of a member that waited too long for its cap."""
        limits = self._tables.settings.limits
        if not isinstance(limits, Allotments):
            return []
        commands: list[SchedulerCommand] = []
        for pool in self._tables.cap_blocks.pools_of(member_id):
            while self._tables.refusals_left > 0:
                oldest = pool.queue.oldest_of(member_id)
                if oldest is None or oldest.enqueued + limits.max_wait_s > now:
                    break
                refusal = Refusal(
                    ResultCode.CAP_REACHED,
                    "the member's cap is reached",
                    jittered_retry_after(self._tables.rng, limits.max_wait_s),
                )
                commands.append(self._dispatch.refuse(oldest, refusal))
        return commands

    def _refuse_unroutable(self, pool: Pool, now: float) -> list[SchedulerCommand]:
        """Refuse requests of a pool that had no route for longer than the grace period."""
        commands: list[SchedulerCommand] = []
        while pool.no_route is not None and now > pool.no_route_since + NO_ROUTE_GRACE_S:
            entity = pool.queue.head(UNCONSTRAINED, now) or next(iter(pool.bypass.values()), None)
            if entity is None or self._tables.refusals_left <= 0:
                break
            commands.append(self._dispatch.refuse(entity, pool.no_route))
        return commands
