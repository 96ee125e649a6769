"""What a request's member is charged, from the start to the end of the request."""

from __future__ import annotations

from dataclasses import replace

from lagoonwing_policy._requests import RequestEntity
from lagoonwing_policy._tables import SchedulerTables
from lagoonwing_policy.const import OVERRUN_CHUNK_TOKENS
from lagoonwing_policy.fairness.models import BoundedLongWork
from lagoonwing_policy.models import Priority


class AccountSystem:
    """Charges estimates at the start, overruns while they happen, and settles at the end."""

    def __init__(self, tables: SchedulerTables) -> None:
        self._tables = tables

    def first_start(self, entity: RequestEntity) -> None:
        """Count a request towards its member's caps."""
        entity.counted = True
        entity.output_charged = entity.output_expected
        self._tables.limits.count_start(entity.profile.member_id, entity.tokens_reserved)

    def tokens_relayed(self, entity: RequestEntity, count: int) -> None:
        """Count generated tokens; what goes beyond the estimate is charged at once."""
        entity.tokens += count
        if entity.tokens <= entity.output_charged:
            return
        extra = entity.tokens - entity.output_charged + OVERRUN_CHUNK_TOKENS
        entity.output_charged += extra
        self._charge(entity, extra, extra)
        self._reclassify(entity)

    def finish(self, entity: RequestEntity, tokens: int) -> None:
        """Settle what was charged to what was used, and stop counting the request.

        Args:
            entity: The request, after its last attempt.
            tokens: Tokens generated in all.
        """
        if not entity.counted:
            return
        member_id = entity.profile.member_id
        unused = entity.output_charged - tokens
        self._charge(entity, -unused, -unused)
        self._tables.limits.finish(member_id)
        self._tables.cap_blocks.unblock(member_id)

    def learn(self, entity: RequestEntity, tokens: int, now: float) -> None:
        """Take a request that was answered whole into the history."""
        profile = entity.profile
        pool = self._tables.pools.get(entity.pool)
        actual = self._tables.costs.actual(profile, tokens)
        self._tables.costs.learn(profile, tokens)
        pool.classifier.observe(actual.cost)
        pool.meter.finished(actual.cost, now - entity.started)

    def _charge(self, entity: RequestEntity, cost: float, tokens: float) -> None:
        """Charge a member; negative amounts are given back."""
        member_id = entity.profile.member_id
        self._tables.limits.spend_tokens(member_id, tokens)
        self._tables.pools.get(entity.pool).queue.charge(member_id, cost)

    def _reclassify(self, entity: RequestEntity) -> None:
        """Count running work as long once it has generated far more than expected."""
        policy = self._tables.settings.long_work
        route = entity.route
        if not isinstance(policy, BoundedLongWork) or route is None:
            return
        if entity.priority is Priority.LONG:
            return
        if entity.tokens < policy.overrun_factor * entity.output_expected:
            return
        pool = self._tables.pools.get(entity.pool)
        if pool.classifier.classify(entity.tokens) is not Priority.LONG:
            return
        self._tables.slots.release(entity.profile.request_id, route)
        entity.priority = Priority.LONG
        entity.route = replace(route, priority=Priority.LONG)
        self._tables.slots.acquire(entity.profile.request_id, entity.route)
        pool.long_running += 1
