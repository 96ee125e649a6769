"""What a request's member is charged, from the start to the end of the request."""

from __future__ import annotations

from dataclasses import replace

from lagoonwing_policy._requests import RequestEntity
from lagoonwing_policy._tables import SchedulerTables
from lagoonwing_policy.const import CHARGE_CHUNK_TOKENS
from lagoonwing_policy.fairness import WorkQueue
from lagoonwing_policy.fairness.models import BoundedLongWork
from lagoonwing_policy.models import Priority


class AccountingSystem:
    """Charges at the start and as tokens are generated, and settles at the end.

    The queue is charged for long work as it goes on; a cap reserves the whole estimate.
    """

    def __init__(self, tables: SchedulerTables) -> None:
        self._tables = tables

    def record_first_start(self, entity: RequestEntity) -> None:
        """Count a request towards its member's caps."""
        entity.counted = True
        self._tables.limits.count_start(entity.profile.member_id, entity.tokens_reserved)

    def tokens_relayed(self, entity: RequestEntity, count: int) -> None:
        """Count generated tokens, and charge what goes beyond the charges so far."""
        entity.tokens += count
        if entity.tokens > entity.output_charged:
            extra = entity.tokens - entity.output_charged + CHARGE_CHUNK_TOKENS
            entity.output_charged += extra
            self._pool_queue(entity).charge(entity.profile.member_id, extra)
            self._reclassify(entity)
        if entity.tokens > entity.output_reserved:
            extra = entity.tokens - entity.output_reserved + CHARGE_CHUNK_TOKENS
            entity.output_reserved += extra
            self._tables.limits.spend_tokens(entity.profile.member_id, extra)

    def finish(self, entity: RequestEntity, tokens: int) -> None:
        """Settle what was charged to what was used, and stop counting the request.

        Args:
            entity: The request, after its last attempt.
            tokens: Tokens generated in all.
        """
        if not entity.counted:
            return
        member_id = entity.profile.member_id
        self._pool_queue(entity).charge(member_id, tokens - entity.output_charged)
        self._tables.limits.spend_tokens(member_id, tokens - entity.output_reserved)
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

    def _pool_queue(self, entity: RequestEntity) -> WorkQueue:
        """Return the queue that a request went through."""
        return self._tables.pools.get(entity.pool).queue

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
