"""Charges members for the work of their requests."""

from __future__ import annotations

from dataclasses import replace

from lagoonwing_admission import RankedQueue
from lagoonwing_policy._requests import RequestEntity
from lagoonwing_policy._tables import SchedulerTables
from lagoonwing_policy.const import CHARGE_CHUNK_TOKENS
from lagoonwing_policy.fairness.models import BoundedLongWork
from lagoonwing_policy.models import Priority


class AccountingSystem:
    """Charges at start and during generation, and settles the difference at the end.

    The fair queue charges long work while it generates; caps reserve the whole estimate.
    """

    def __init__(self, tables: SchedulerTables) -> None:
        self._tables = tables

    def record_first_start(self, entity: RequestEntity) -> None:
        """Count a request against its member's caps."""
        entity.counts_against_caps = True
        self._tables.limits.count_start(entity.profile.member_id, entity.tokens_reserved)

    def tokens_relayed(self, entity: RequestEntity, count: int) -> None:
        """Count generated tokens and charge those that exceed the charges so far."""
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
        """Settle the charges to actual usage and stop counting the request against caps.

        Args:
            entity: The request, after its last attempt.
            tokens: Total number of generated tokens.
        """
        if not entity.counts_against_caps:
            return
        member_id = entity.profile.member_id
        self._pool_queue(entity).charge(member_id, tokens - entity.output_charged)
        self._tables.limits.spend_tokens(member_id, tokens - entity.output_reserved)
        self._tables.limits.finish(member_id)
        self._tables.cap_blocks.unblock(member_id)

    def learn(self, entity: RequestEntity, tokens: int, now: float) -> None:
        """Update the cost history and throughput estimates from a completed request."""
        profile = entity.profile
        pool = self._tables.pools.get(entity.pool)
        actual = self._tables.costs.actual(profile, tokens)
        self._tables.costs.learn(profile, tokens)
        pool.classifier.observe(actual.cost)
        pool.meter.finished(actual.cost, now - entity.started)

    def _pool_queue(self, entity: RequestEntity) -> RankedQueue[RequestEntity]:
        """Return the queue of the request's pool."""
        return self._tables.pools.get(entity.pool).queue

    def _reclassify(self, entity: RequestEntity) -> None:
        """Reclassify a running request as long once it far exceeds its expected output."""
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
