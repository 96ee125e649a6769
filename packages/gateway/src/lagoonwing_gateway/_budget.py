"""Bound on second sends to each service, kept by all gateways together."""

from __future__ import annotations

from collections import defaultdict, deque

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import ServiceId
from lagoonwing_gateway.const import BUDGET_SHARE
from lagoonwing_gateway.settings import RetryBudgetSettings


class RetryBudget:
    """Counts sends of this gateway in a sliding window.

    A gateway may use the ratio on its own requests and its part of the slack, so that the sum
    over all gateways keeps the bound without any exchange.
    """

    def __init__(self, settings: RetryBudgetSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._first_by_service: dict[ServiceId, deque[float]] = defaultdict(deque)
        self._again_by_service: dict[ServiceId, deque[float]] = defaultdict(deque)

    @callback
    def first_sent(self, service_id: ServiceId) -> None:
        """Count a first send."""
        self._first_by_service[service_id].append(self._clock.now())

    @callback
    def take(self, service_id: ServiceId, gateways: int) -> bool:
        """Count a second send, if there is one left; return whether there was."""
        now = self._clock.now()
        oldest = now - self._settings.window_s
        first = self._first_by_service[service_id]
        again = self._again_by_service[service_id]
        for times in (first, again):
            while times and times[0] < oldest:
                times.popleft()
        slack = self._settings.slack / max(1, gateways)
        allowed = BUDGET_SHARE * (self._settings.ratio * len(first) + slack)
        if len(again) + 1 > allowed:
            return False
        again.append(now)
        return True
