"""Simulated engines on a virtual clock, driven through the router interface."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from lagoonwing_core.ids import EndpointId, Fingerprint, MemberId, ModelId, RequestId
from lagoonwing_core.models import EndpointRecord
from lagoonwing_policy._protocols import EndpointUse
from lagoonwing_policy.models import AttemptSucceeded, ModelWork, RequestProfile, Route
from lagoonwing_policy.routing import FlowRouter, RouterSettings

MODEL = ModelId("m")
JITTER = 0.2


def make_profile(number: int, tokens: int, now: float = 0.0) -> RequestProfile:
    """Return a request for model work."""
    return RequestProfile(
        RequestId(f"r{number}"),
        MemberId("member"),
        Fingerprint(f"f{number}"),
        ModelWork(MODEL, 0, 0, tokens),
        arrived=now,
        deadline=now + 1e6,
        idempotent=True,
    )


@dataclass(slots=True)
class _Engine:
    """Engine with batch slots; each step of a sequence occupies a slot for the interval."""

    slots: int
    interval_s: float
    busy: int = 0
    queue: deque[_Sequence] = field(default_factory=deque)


@dataclass(slots=True)
class _Sequence:
    """A running request and its position on the route."""

    profile: RequestProfile
    route: Route
    entry: int
    tokens_left: int
    position: int = 0


class RoutingSimulation:
    """Routers of several saturated entry hosts with simulated engines."""

    def __init__(
        self,
        records: Iterable[EndpointRecord],
        settings: RouterSettings,
        seed: int,
        entry_hosts: int = 1,
        tokens: tuple[int, int] = (16, 48),
    ) -> None:
        """Create engines and routers.

        Args:
            records: Endpoint records.
            settings: Settings of each entry host's router.
            seed: Seed of all random generators.
            entry_hosts: Number of entry hosts.
            tokens: Minimum and maximum tokens of a request.
        """
        self._rng = random.Random(seed)
        self._tokens = tokens
        known = list(records)
        self.engine_by_id = {
            record.endpoint_id: _Engine(record.slots, record.slots / record.tokens_per_s)
            for record in known
        }
        self.routers = [
            FlowRouter(settings, random.Random(seed * 10 + number)) for number in range(entry_hosts)
        ]
        for router in self.routers:
            router.set_entry_hosts(entry_hosts)
            router.set_endpoints(known, 0.0)
        self._uses: list[dict[EndpointId, EndpointUse]] = [{} for _ in range(entry_hosts)]
        self._events: list[tuple[float, int, _Sequence]] = []
        self._count = 0
        self._event_number = 0
        self.now = 0.0
        self.tokens_done = 0

    def run(self, warm_up_s: float, seconds: float) -> float:
        """Run and return the tokens per second after the warm-up."""
        for entry in range(len(self.routers)):
            self._fill(entry)
        self._run_until(warm_up_s)
        before = self.tokens_done
        self._run_until(warm_up_s + seconds)
        return (self.tokens_done - before) / seconds

    def _run_until(self, end: float) -> None:
        """Process events until a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, sequence = heapq.heappop(self._events)
            self._step_done(sequence)

    def _fill(self, entry: int) -> None:
        """Start requests at an entry host until no route has a free slot."""
        while True:
            profile = make_profile(self._count, self._rng.randint(*self._tokens), self.now)
            chosen = self.routers[entry].choose(
                profile, self._uses[entry], frozenset(), False, self.now
            )
            if chosen.is_error():
                return
            self._count += 1
            assert isinstance(profile.work, ModelWork)
            sequence = _Sequence(profile, chosen.ok, entry, profile.work.max_tokens)
            for stage in chosen.ok.stages:
                use = self._uses[entry].setdefault(stage.endpoint_id, EndpointUse())
                use.running += 1
            self._arrive(sequence)

    def _arrive(self, sequence: _Sequence) -> None:
        """Start a step, or queue for a slot."""
        engine = self._engine(sequence)
        if engine.busy >= engine.slots:
            engine.queue.append(sequence)
            return
        engine.busy += 1
        self._schedule(sequence, engine)

    def _schedule(self, sequence: _Sequence, engine: _Engine) -> None:
        """Schedule the end of a step."""
        self._event_number += 1
        length = engine.interval_s * self._rng.uniform(1 - JITTER, 1 + JITTER)
        heapq.heappush(self._events, (self.now + length, self._event_number, sequence))

    def _engine(self, sequence: _Sequence) -> _Engine:
        """Return the current engine of a sequence."""
        return self.engine_by_id[sequence.route.stages[sequence.position].endpoint_id]

    def _step_done(self, sequence: _Sequence) -> None:
        """Release the slot and continue the sequence on its next stage or token."""
        engine = self._engine(sequence)
        if engine.queue:
            self._schedule(engine.queue.popleft(), engine)
        else:
            engine.busy -= 1
        sequence.position += 1
        if sequence.position < len(sequence.route.stages):
            self._arrive(sequence)
            return
        sequence.position = 0
        sequence.tokens_left -= 1
        self.tokens_done += 1
        if sequence.tokens_left:
            self._arrive(sequence)
            return
        self._finish(sequence)

    def _finish(self, sequence: _Sequence) -> None:
        """Finish a request and start new ones."""
        uses = self._uses[sequence.entry]
        for stage in sequence.route.stages:
            uses[stage.endpoint_id].running -= 1
        self.routers[sequence.entry].on_attempt_ended(
            sequence.profile, sequence.route, AttemptSucceeded(1), self.now
        )
        self._fill(sequence.entry)
