"""Prompt parts that crash each engine that begins to answer a request with one of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from tornado.iostream import StreamClosedError

from lagoonwing_fakes.platform._endpoint import Endpoint, WorkHandler
from lagoonwing_fakes.platform.const import EVENTS, HEADER_PROMPT_PARTS
from lagoonwing_platform.const import HEADER_LAST_EVENT, HEADER_SIGNATURE

# Time that an engine reads a prompt, and time between two events of a stream.
_PREFILL_S = 0.02
_EVENT_INTERVAL_S = 0.02


@dataclass(frozen=True)
class Arrival:
    """A request with a crashing part that reached an engine."""

    part: str
    at: float
    attempt_id: str
    endpoint_id: str


@dataclass
class CrashingPrompts:
    """Behavior of engines that crash under some parts of prompts and answer all other requests.

    Attributes:
        parts: Ids of the crashing parts.
        on_crash: Called with the engine that has just crashed.
        events_before_crash: Events that an engine sends before it crashes; the response head is
            always sent.
        event_interval_s: Time between two events of a stream.
        attempts_by_id: Attempts that each engine answers at the moment.
        answered: Attempts that were answered to the end.
    """

    parts: frozenset[str]
    on_crash: Callable[[Endpoint], None]
    events_before_crash: int = 0
    event_interval_s: float = _EVENT_INTERVAL_S
    arrivals: list[Arrival] = field(default_factory=list)
    crash_times_by_part: dict[str, list[float]] = field(default_factory=dict)
    attempts_by_id: dict[str, set[str]] = field(default_factory=dict)
    answered: set[str] = field(default_factory=set)

    async def async_handle(self, handler: WorkHandler) -> None:
        """Answer a request, or crash while answering it."""
        attempts = self.attempts_by_id.setdefault(handler.endpoint.endpoint_id, set())
        attempts.add(handler.attempt_id)
        try:
            await self._async_answer(handler)
        except StreamClosedError:
            handler._finished = True
        finally:
            attempts.discard(handler.attempt_id)

    async def _async_answer(self, handler: WorkHandler) -> None:
        """Answer a request.

        Raises:
            StreamClosedError: The connection was closed meanwhile.
        """
        endpoint = handler.endpoint
        part = self._crashing_part(handler)
        if part is not None:
            now = asyncio.get_running_loop().time()
            self.arrivals.append(Arrival(part, now, handler.attempt_id, endpoint.endpoint_id))
        await asyncio.sleep(_PREFILL_S)
        handler.set_header(HEADER_SIGNATURE, f"stamp-{endpoint.endpoint_id}")
        handler.set_header("Content-Type", "text/event-stream")
        await handler.flush()
        first = int(handler.request.headers.get(HEADER_LAST_EVENT, "0")) + 1
        end = EVENTS if part is None else min(EVENTS, first - 1 + self.events_before_crash)
        for number in range(first, end + 1):
            handler.write(f"id: {number}\ndata: token {number}\n\n")
            await handler.flush()
            await asyncio.sleep(self.event_interval_s)
        if part is not None:
            self._crash(endpoint, part)
            raise StreamClosedError
        endpoint.executed_ids.append(handler.attempt_id)
        self.answered.add(handler.attempt_id)
        handler.finish()

    def _crashing_part(self, handler: WorkHandler) -> str | None:
        """Return the first crashing part of a request's prompt."""
        prompt = handler.request.headers.get(HEADER_PROMPT_PARTS, "")
        parts = [entry.split(":")[0] for entry in prompt.split(",")]
        return next((part for part in parts if part in self.parts), None)

    def _crash(self, endpoint: Endpoint, part: str) -> None:
        """Crash an engine, unless it has crashed already."""
        times = self.crash_times_by_part.setdefault(part, [])
        if endpoint.has_crashed:
            return
        times.append(asyncio.get_running_loop().time())
        endpoint.crash()
        self.on_crash(endpoint)
