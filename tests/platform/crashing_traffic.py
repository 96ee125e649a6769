"""Requests whose prompts crash engines, and sound requests that share their other parts."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from gateway_fleet import SECOND_KEY, Answer, GatewayFleet, GatewayNode

from lagoonwing_fakes.platform import Arrival
from lagoonwing_fakes.platform.const import CALLER_KEY

STABLE_WINDOW_S = 3.0
# Crashes after which few further requests may reach engines, and the number of those.
CRASH_LIMIT = 5
MAX_LATE_ARRIVALS = 3
# Time in which a crashing part reaches the limit unless it is quarantined earlier.
CRASH_PHASE_S = 4.0
POLL_INTERVAL_S = 0.01

SHARED_PARTS = ("5a01", "5a02", "5a03", "5a04")


class PartPosition(Enum):
    """Position of the crashing part in a prompt."""

    FIRST = "first"
    MIDDLE = "middle"
    LAST_BUT_ONE = "last_but_one"
    BETWEEN_SAME_PARTS = "between_same_parts"


@dataclass
class CrashingTraffic:
    """Sends crashing and sound requests to random gateways until stopped.

    Attributes:
        crash_interval_s: Time between two crashing requests.
        sound_interval_s: Time between two sound requests.
        via: Gateways that get the crashing requests; all of them if empty.
        sound_answers: Answers to the sound requests, by the order in which they came.
    """

    fleet: GatewayFleet
    position: PartPosition
    crash_interval_s: float = 0.1
    sound_interval_s: float = 0.05
    via: Sequence[GatewayNode] = ()
    sound_answers: list[Answer] = field(default_factory=list)
    is_crashing: bool = False
    is_sound: bool = False
    pending: int = 0

    def start_crashing(self) -> None:
        """Start to send requests with each crashing part in turn."""
        self.is_crashing = True
        self.fleet.spawn(self._async_send_crashing())

    def start_sound(self) -> None:
        """Start to send sound requests."""
        self.is_sound = True
        self.fleet.spawn(self._async_send_sound())

    async def async_stop(self) -> None:
        """Stop sending, and wait for the answers that are due."""
        self.is_crashing = self.is_sound = False
        await self.fleet.async_wait_until(lambda: self.pending == 0)

    async def async_wait_for_crashes(self) -> None:
        """Wait until each crashing part has reached the limit, or is quarantined before that."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + CRASH_PHASE_S
        while loop.time() < give_up_at and not self._has_reached_limit():  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
        prompts = self.fleet.prompts
        assert prompts.crash_times_by_part.keys() == prompts.parts

    def late_arrivals(self, part: str) -> list[Arrival]:
        """Return the arrivals later than the stable window after the fifth crash."""
        prompts = self.fleet.prompts
        crash_times = prompts.crash_times_by_part.get(part, [])
        if len(crash_times) < CRASH_LIMIT:
            return []
        limit = crash_times[CRASH_LIMIT - 1] + STABLE_WINDOW_S
        return [
            arrival for arrival in prompts.arrivals if arrival.part == part and arrival.at > limit
        ]

    def settled_at(self) -> float:
        """Return the time from which sound requests must be served beside crashing ones."""
        limits = [
            times[:CRASH_LIMIT][-1] for times in self.fleet.prompts.crash_times_by_part.values()
        ]
        return max(limits) + 2 * STABLE_WINDOW_S

    def _has_reached_limit(self) -> bool:
        """Return whether each crashing part has crashed enough engines."""
        prompts = self.fleet.prompts
        return all(
            len(prompts.crash_times_by_part.get(part, ())) >= CRASH_LIMIT for part in prompts.parts
        )

    async def _async_send_crashing(self) -> None:
        """Send crashing requests of which no two are alike."""
        rng = self.fleet.rng
        for part in itertools.cycle(sorted(self.fleet.prompts.parts)):
            if not self.is_crashing:
                return
            node = rng.choice(self.via or self.fleet.nodes)
            self.fleet.spawn(self._async_send_one_crashing(node, self._crashing_prompt(part)))
            await asyncio.sleep(self.crash_interval_s)

    async def _async_send_one_crashing(self, node: GatewayNode, prompt: list[str]) -> None:
        """Send one crashing request."""
        rng = self.fleet.rng
        await self.fleet.async_send(
            node,
            prompt,
            key=rng.choice((CALLER_KEY, SECOND_KEY)),
            target=f"/stream/{rng.getrandbits(32):x}?n={rng.getrandbits(16)}",
            body=rng.randbytes(rng.randint(8, 200)),
        )

    async def _async_send_sound(self) -> None:
        """Send sound requests."""
        while self.is_sound:
            node = self.fleet.rng.choice(self.fleet.nodes)
            self.fleet.spawn(self._async_send_one_sound(node, self._sound_prompt()))
            await asyncio.sleep(self.sound_interval_s)

    async def _async_send_one_sound(self, node: GatewayNode, prompt: list[str]) -> None:
        """Send one sound request and keep the answer."""
        self.pending += 1
        try:
            self.sound_answers.append(await self.fleet.async_send(node, prompt))
        finally:
            self.pending -= 1

    def _crashing_prompt(self, part: str) -> list[str]:
        """Return the parts of a crashing prompt."""
        shared = self.fleet.rng.sample(SHARED_PARTS, 2)
        match self.position:
            case PartPosition.FIRST:
                return [part, *shared, self._own_part()]
            case PartPosition.MIDDLE:
                return [shared[0], part, shared[1], self._own_part()]
            case PartPosition.LAST_BUT_ONE:
                return [*shared, part, self._own_part()]
            case PartPosition.BETWEEN_SAME_PARTS:
                return [SHARED_PARTS[0], part, SHARED_PARTS[1], self._own_part()]

    def _sound_prompt(self) -> list[str]:
        """Return the parts of a sound prompt."""
        match self.position:
            case PartPosition.BETWEEN_SAME_PARTS:
                return [*SHARED_PARTS[:2], self._own_part()]
            case _:
                return [*self.fleet.rng.sample(SHARED_PARTS, 2), self._own_part()]

    def _own_part(self) -> str:
        """Return a part that no other request has."""
        return f"{self.fleet.rng.getrandbits(32):08x}"
