"""When endpoints answered last, and since when requests have been waiting for an answer."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import ServiceId


class AnswerTimes:
    """Answers of the endpoints of each service to requests of this gateway."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._numbers = itertools.count()
        self._answered_at_by_service: dict[ServiceId, float] = {}
        self._newly_answered_at_by_service: dict[ServiceId, float] = {}
        self._sent_at_by_service: defaultdict[ServiceId, dict[int, float]] = defaultdict(dict)

    @contextmanager
    def waiting(self, service_id: ServiceId, sent_at: float) -> Iterator[None]:
        """Count a request as one that waits for the head of its response."""
        number = next(self._numbers)
        self._sent_at_by_service[service_id][number] = sent_at
        try:
            yield
        finally:
            del self._sent_at_by_service[service_id][number]

    @callback
    def record_answer(self, service_id: ServiceId, *, is_reused: bool = False) -> None:
        """Record that an endpoint has just answered, whatever it said.

        Args:
            service_id: Service of the endpoint.
            is_reused: Whether it answered on a connection that had been used before.
        """
        now = self._clock.now()
        self._answered_at_by_service[service_id] = now
        if not is_reused:
            self._newly_answered_at_by_service[service_id] = now

    def has_answered_since(self, service_id: ServiceId, since: float) -> bool:
        """Return whether any endpoint of a service answered after a point in time."""
        return self._answered_at_by_service.get(service_id, -math.inf) > since

    def has_newly_answered_since(self, service_id: ServiceId, since: float) -> bool:
        """Return whether one answered on a new connection; kept ones may outlive the way there."""
        return self._newly_answered_at_by_service.get(service_id, -math.inf) > since

    def silent_services(self, silence_s: float) -> tuple[ServiceId, ...]:
        """Return the services that owe an answer and have given none for so long."""
        before = self._clock.now() - silence_s
        return tuple(
            service_id
            for service_id, sent_at_by_number in self._sent_at_by_service.items()
            if sent_at_by_number
            and min(sent_at_by_number.values()) < before
            and not self.has_answered_since(service_id, before)
        )
