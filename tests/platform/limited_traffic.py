"""Traffic of several members on endpoints that name a limit, over many gateways."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from gateway_fleet import SECOND_KEY, Answer, GatewayFleet
from limit_rule import STABLE_WINDOW_S, allowed_in_a_span, most_in_a_span

from lagoonwing_fakes.platform import Endpoint
from lagoonwing_fakes.platform.const import CALLER_KEY

# Time after which a caller has been held rather than refused at once.
REFUSED_AT_ONCE_S = 0.8


@dataclass
class Caller:
    """Requests of one member at a constant rate, spread over all gateways."""

    key: str
    per_s: float
    answers: list[Answer] = field(default_factory=list)
    held_s: list[float] = field(default_factory=list)

    @property
    def served(self) -> int:
        """Number of requests that were answered whole."""
        return sum(answer.is_whole for answer in self.answers)

    @property
    def served_share(self) -> float:
        """Share of the requests that were answered whole."""
        return self.served / max(1, len(self.answers))

    def codes(self) -> Counter[int]:
        """Return the number of answers by status."""
        return Counter(answer.code for answer in self.answers)

    def held_too_long(self) -> list[float]:
        """Return how long requests were held that were refused, if not refused at once."""
        return [
            held
            for answer, held in zip(self.answers, self.held_s, strict=True)
            if answer.code == 503 and held > REFUSED_AT_ONCE_S
        ]


class LimitedTraffic:
    """Streams of a busy and a light member."""

    def __init__(self, fleet: GatewayFleet, busy_per_s: float, light_per_s: float = 0.0) -> None:
        self.fleet = fleet
        self.busy = Caller(CALLER_KEY, busy_per_s)
        self.light = Caller(SECOND_KEY, light_per_s)
        self.started_at = 0.0
        self._nodes = itertools.count()

    async def async_run(self, seconds: float) -> None:
        """Send requests for some time, and wait for all answers."""
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        async with asyncio.TaskGroup() as group:
            for caller in (self.busy, self.light):
                if caller.per_s:
                    group.create_task(self._async_send_all(caller, seconds, group))

    def name_limits(self, engines: Iterable[Endpoint], rate: float | None) -> None:
        """Let engines name a limit from now on, or none."""
        for engine in engines:
            engine.request_limit = rate

    def over_the_limit(self, engines: Iterable[Endpoint], rate: float) -> list[int]:
        """Return the most requests in a span at each engine that got more than is allowed."""
        now = asyncio.get_running_loop().time()
        start = self.started_at + STABLE_WINDOW_S
        most = [most_in_a_span(engine.arrived_at, start, now) for engine in engines]
        return [count for count in most if count > allowed_in_a_span(rate)]

    def arrivals(self, engines: Iterable[Endpoint]) -> int:
        """Return the requests that reached engines after the stable window."""
        start = self.started_at + STABLE_WINDOW_S
        return sum(sum(time >= start for time in engine.arrived_at) for engine in engines)

    async def _async_send_all(
        self, caller: Caller, seconds: float, group: asyncio.TaskGroup
    ) -> None:
        """Send the requests of one member."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            group.create_task(self._async_send(caller))
            await asyncio.sleep(1.0 / caller.per_s)

    async def _async_send(self, caller: Caller) -> None:
        """Send one request to the next gateway."""
        node = self.fleet.nodes[next(self._nodes) % len(self.fleet.nodes)]
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        answer = await self.fleet.async_send(node, ["part"], key=caller.key)
        caller.answers.append(answer)
        caller.held_s.append(loop.time() - sent_at)
