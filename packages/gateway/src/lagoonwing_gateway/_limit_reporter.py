"""Tells the registry the limits that were seen here, and the permits that are wanted."""

from __future__ import annotations

import asyncio
from typing import Any

from lagoonwing_catalog.messages import CatalogMessage, LimitExtract, PermitGrant
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._endpoint_limiter import EndpointLimiter
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_gateway._limit_tracker import LimitTracker
from lagoonwing_gateway.const import DEMAND_PUSH_INTERVAL_S, DEMAND_REFRESH_INTERVAL_S
from lagoonwing_wire import Channel


class LimitReporter:
    """Exchanges limits and permits with the followed replica."""

    def __init__(
        self, follower: CatalogFollower, limits: LimitTracker, limiter: EndpointLimiter
    ) -> None:
        self._follower = follower
        self._limits = limits
        self._limiter = limiter
        self._receiver: Channel[Any] | None = None
        limits.on_change = self._on_change
        follower.set_limit_handler(self._on_message)
        follower.add_listener(limits.discard_gone)

    async def async_run(self) -> None:
        """Send what changed until cancelled; nothing is sent as long as there are no limits."""
        while True:
            timeout_s = DEMAND_REFRESH_INTERVAL_S if self._limiter.is_active else None
            try:
                async with asyncio.timeout(timeout_s):
                    await self._limiter.demand_changed.wait()
            except TimeoutError:
                pass
            self._send()
            await asyncio.sleep(DEMAND_PUSH_INTERVAL_S)

    @callback
    def _on_message(self, message: CatalogMessage) -> None:
        """Handle what the replica says of limits."""
        match message:
            case LimitExtract():
                self._limits.merge(message)
            case PermitGrant():
                self._limiter.record_grant(message)

    @callback
    def _on_change(self, endpoint_id: EndpointId) -> None:
        """Handle a limit that has changed."""
        self._limiter.discard_permits(endpoint_id)
        self._limiter.demand_changed.set()

    def _send(self) -> None:
        """Send changed limits and demand."""
        source = self._follower.source
        if source is None:
            self._limiter.demand_changed.clear()
            return
        extract = self._limits.take_extract(is_new_receiver=source is not self._receiver)
        if extract is not None:
            source.push(extract)
        self._receiver = source
        demand = self._limiter.take_demand()
        if demand is not None:
            source.push(demand)
