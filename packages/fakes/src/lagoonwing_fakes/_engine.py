"""Slots, pace and faults shared by every kind of stand-in."""

from __future__ import annotations

import asyncio
import heapq
import os
import random
from collections import deque

from lagoonwing_fakes._truth_log import TruthLog
from lagoonwing_fakes.const import (
    CACHE_EVENT_GAP,
    CACHE_EVENTS_KEPT,
    CRASH_EXIT_CODE,
    REPORT_LAG_S,
)
from lagoonwing_fakes.models import FakeSettings, Fault, FaultPlan
from lagoonwing_fakes.tokens import prefix_digests

_RANK_BY_PRIORITY = {"short": 0, "normal": 1, "long": 2}
# Pauses below the event loop's resolution are saved up and slept together.
MIN_SLEEP_S = 0.002


class OverloadedError(Exception):
    """The queue before the slots is full."""


class Engine:
    """Runs at most `slots` sequences at once, each at its share of the speed."""

    def __init__(self, settings: FakeSettings, log: TruthLog, plan: FaultPlan) -> None:
        self.settings = settings
        self.log = log
        self.plan = plan
        self.running = 0
        self._cache_events: deque[tuple[int, float, str]] = deque(maxlen=CACHE_EVENTS_KEPT)
        self._cached = 0
        self.last_request_id = "none"
        self._random = random.Random(settings.seed)
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._ticket = 0
        self._thawed = asyncio.Event()
        self._thawed.set()
        self.idle = asyncio.Event()
        self.idle.set()

    @property
    def queued(self) -> int:
        """Sequences that wait for a slot."""
        return len(self._waiting)

    async def async_take_slot(self, priority: str) -> None:
        """Wait for a slot.

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
        self._ticket += 1
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (rank, self._ticket, turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release_slot()
            raise

    def release_slot(self) -> None:
        """Give the slot to the next in the queue."""
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1
        if not self.running:
            self.idle.set()

    def interval(self) -> float:
        """Return the time between two tokens of one sequence, in seconds."""
        if not self.settings.tokens_per_s:
            return 0.0
        base = self.settings.slots / self.settings.tokens_per_s
        return base * (1.0 + self._random.uniform(-self.settings.jitter, self.settings.jitter))

    def take_fault(self, text: str) -> Fault:
        """Return how this request misbehaves and count it off."""
        if self.plan.crash_marker and self.plan.crash_marker in text:
            return Fault.CRASH_BEFORE if not self.plan.after_tokens else Fault.CRASH_AFTER
        if self.plan.fault is Fault.NONE or self.plan.count == 0:
            return Fault.NONE
        if self.plan.count > 0:
            self.plan.count -= 1
        return self.plan.fault

    def crash(self, request_id: str) -> None:
        """End the process at once."""
        self.log.write("crash", request_id=request_id)
        os._exit(CRASH_EXIT_CODE)

    def order(self, plan: FaultPlan) -> None:
        """Replace the fault plan; a plan without a freeze thaws what is frozen."""
        self.plan = plan
        if plan.fault is not Fault.FREEZE:
            self._thawed.set()

    async def async_freeze(self) -> None:
        """Wait until a new plan thaws the process."""
        self._thawed.clear()
        await self._thawed.wait()

    def note_cached(self, prompt: str) -> None:
        """Note that the cache holds a prompt's prefixes."""
        now = asyncio.get_running_loop().time()
        for digest in prefix_digests(prompt):
            self._cached += 1
            self._cache_events.append((self._cached, now, digest))

    def cache_events(self, after: int) -> list[tuple[int, str]]:
        """Return cache events after a number: late ones only, and some never."""
        latest = asyncio.get_running_loop().time() - REPORT_LAG_S
        return [
            (number, digest)
            for number, noted, digest in self._cache_events
            if number > after and noted <= latest and number % CACHE_EVENT_GAP
        ]

    def crossed_id(self, request_id: str) -> str:
        """Return the id of another request."""
        other = self.last_request_id
        return other if other != request_id else f"crossed-{request_id}"


class Pacer:
    """Sleeps so that tokens come at a given pace."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._due = asyncio.get_running_loop().time()

    async def async_wait(self, extra: float = 0.0) -> None:
        """Wait until the next token is due."""
        self._due += self._engine.interval() + extra
        delay = self._due - asyncio.get_running_loop().time()
        if delay > MIN_SLEEP_S:
            await asyncio.sleep(delay)
