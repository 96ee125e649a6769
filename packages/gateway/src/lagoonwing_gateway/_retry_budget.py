"""Retry budget per service, shared by all gateways."""

from __future__ import annotations

from collections import defaultdict, deque

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import ServiceId
from lagoonwing_gateway.const import RETRY_BUDGET_SHARE
from lagoonwing_gateway.settings import RetryBudgetSettings


class RetryBudget:
    """Counts first sends and retries of this gateway in a sliding window.

    Each gateway applies the ratio to its own requests and uses an equal part of the slack. The sum
    over all gateways then stays within the budget without coordination.
    """

    def __init__(self, settings: RetryBudgetSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._first_sends_by_service: dict[ServiceId, deque[float]] = defaultdict(deque)
        self._resends_by_service: dict[ServiceId, deque[float]] = defaultdict(deque)

    @callback
    def record_first_send(self, service_id: ServiceId) -> None:
        """Record the first send of a request."""
        self._first_sends_by_service[service_id].append(self._clock.now())

    @callback
    def try_acquire(self, service_id: ServiceId, gateways: int) -> bool:
        """Consume one retry if the budget allows it; return whether it did."""
        now = self._clock.now()
        window_start = now - self._settings.window_s
        first_sends = self._first_sends_by_service[service_id]
        resends = self._resends_by_service[service_id]
        for times in (first_sends, resends):
            while times and times[0] < window_start:
                times.popleft()
        slack_share = self._settings.slack / max(1, gateways)
        allowed = RETRY_BUDGET_SHARE * (self._settings.ratio * len(first_sends) + slack_share)
        if len(resends) + 1 > allowed:
            return False
        resends.append(now)
        return True
