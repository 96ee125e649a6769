"""Slots, pacing and faults shared by all kinds of fake endpoints."""

from __future__ import annotations

import asyncio
import heapq
import os
import random
from collections import deque

from lagoonwing_fakes._execution_log import ExecutionLog
from lagoonwing_fakes.const import (
    CACHE_EVENT_DELAY_S,
    CACHE_EVENT_DROP_INTERVAL,
    CRASH_EXIT_CODE,
    MAX_CACHE_EVENTS,
)
from lagoonwing_fakes.models import FakeSettings, Fault, FaultPlan
from lagoonwing_fakes.tokens import prefix_digests

_RANK_BY_PRIORITY = {"short": 0, "normal": 1, "long": 2}
# Shorter delays are below the event loop's resolution; they accumulate into one sleep.
MIN_SLEEP_S = 0.002


class OverloadedError(Exception):
    """The queue for slots is full."""


class Engine:
    """Runs at most `slots` concurrent sequences, which share the token rate evenly."""

    def __init__(self, settings: FakeSettings, log: ExecutionLog, plan: FaultPlan) -> None:
        self.settings = settings
        self.log = log
        self.plan = plan
        self.running = 0
        self._cache_events: deque[tuple[int, float, str]] = deque(maxlen=MAX_CACHE_EVENTS)
        self._cache_event_count = 0
        self.last_request_id = "none"
        self._random = random.Random(settings.seed)
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrival_number = 0
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()
        self.idle = asyncio.Event()
        self.idle.set()

    @property
    def queued(self) -> int:
        """Number of sequences waiting for a slot."""
        return len(self._waiting)

    async def async_acquire_slot(self, priority: str) -> None:
        """Acquire a slot, waiting in priority order.

        Raises:
            OverloadedError: The queue is full.
        """
        if self.running < self.settings.slots:
            self.running += 1
            self.idle.clear()
            return
        if len(self._waiting) >= self.settings.max_queue:
            raise OverloadedError
        rank = _RANK_BY_PRIORITY.get(priority, 1) if self.settings.honours_priority else 1
        self._arrival_number += 1
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (rank, self._arrival_number, granted))
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.release_slot()
            raise

    def release_slot(self) -> None:
        """Release a slot, passing it to the next waiting sequence."""
        while self._waiting:
            _, _, granted = heapq.heappop(self._waiting)
            if not granted.done():
                granted.set_result(None)
                return
        self.running -= 1
        if not self.running:
            self.idle.set()

    def token_interval_s(self) -> float:
        """Return the time between tokens of one sequence, in seconds, with jitter."""
        if not self.settings.tokens_per_s:
            return 0.0
        base = self.settings.slots / self.settings.tokens_per_s
        return base * (1.0 + self._random.uniform(-self.settings.jitter, self.settings.jitter))

    def consume_fault(self, text: str) -> Fault:
        """Return the fault for this request and decrement the remaining count."""
        if self.plan.crash_marker and self.plan.crash_marker in text:
            return Fault.CRASH_BEFORE if not self.plan.after_tokens else Fault.CRASH_AFTER
        if self.plan.fault is Fault.NONE or self.plan.count == 0:
            return Fault.NONE
        if self.plan.count > 0:
            self.plan.count -= 1
        return self.plan.fault

    def crash(self, request_id: str) -> None:
        """Terminate the process immediately."""
        self.log.write("crash", request_id=request_id)
        os._exit(CRASH_EXIT_CODE)

    def set_fault_plan(self, plan: FaultPlan) -> None:
        """Replace the fault plan; unless it is a freeze, resume frozen requests."""
        self.plan = plan
        if plan.fault is not Fault.FREEZE:
            self._unfrozen.set()

    async def async_freeze(self) -> None:
        """Wait until a new fault plan ends the freeze."""
        self._unfrozen.clear()
        await self._unfrozen.wait()

    def record_cached_prompt(self, prompt: str) -> None:
        """Record that the cache holds the prefixes of a prompt."""
        now = asyncio.get_running_loop().time()
        for digest in prefix_digests(prompt):
            self._cache_event_count += 1
            self._cache_events.append((self._cache_event_count, now, digest))

    def cache_events(self, after: int) -> list[tuple[int, str]]:
        """Return cache events after a number, with a reporting delay and some events dropped."""
        latest = asyncio.get_running_loop().time() - CACHE_EVENT_DELAY_S
        return [
            (number, digest)
            for number, recorded_at, digest in self._cache_events
            if number > after and recorded_at <= latest and number % CACHE_EVENT_DROP_INTERVAL
        ]

    def mismatched_id(self, request_id: str) -> str:
        """Return the id of another request, for a response with the wrong id."""
        other = self.last_request_id
        return other if other != request_id else f"crossed-{request_id}"


class Pacer:
    """Paces tokens at the interval set by the engine."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._next_token_at = asyncio.get_running_loop().time()

    async def async_wait(self, extra_s: float = 0.0) -> None:
        """Wait until the next token is due, plus an extra delay."""
        self._next_token_at += self._engine.token_interval_s() + extra_s
        delay = self._next_token_at - asyncio.get_running_loop().time()
        if delay > MIN_SLEEP_S:
            await asyncio.sleep(delay)
