"""Relays known endpoint crashes between gateways and replicas, and keeps them for new ones."""

from __future__ import annotations

import asyncio
from typing import Any

from lagoonwing_catalog import CrashLedger
from lagoonwing_catalog.messages import CrashExtract
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_registry._peers import Peers
from lagoonwing_registry._subscribers import Subscribers
from lagoonwing_registry.const import CRASH_PUSH_INTERVAL_S, CRASH_REFRESH_INTERVAL_S
from lagoonwing_wire import Channel


class CrashRelay:
    """Merges the crash ledgers of all gateways."""

    def __init__(self, subscribers: Subscribers, peers: Peers, clock: Clock) -> None:
        self._subscribers = subscribers
        self._peers = peers
        self._clock = clock
        self._ledger = CrashLedger()
        self._sent_version = 0
        self._sent_at = clock.now()

    @callback
    def merge(self, extract: CrashExtract) -> None:
        """Merge what a gateway or another replica knows."""
        self._ledger.merge(extract.entries, self._clock.now())

    @callback
    def push_all_to(self, channel: Channel[Any]) -> None:
        """Push what is known to a new gateway."""
        if len(self._ledger):
            channel.push(CrashExtract(self._ledger.extract(self._clock.now())))

    async def async_run(self) -> None:
        """Push changes, and from time to time everything, until cancelled."""
        while True:
            await asyncio.sleep(CRASH_PUSH_INTERVAL_S)
            self.push_if_due()

    @callback
    def push_if_due(self) -> None:
        """Push an extract if it changed or was last sent long ago."""
        now = self._clock.now()
        self._ledger.expire(now)
        is_changed = self._ledger.version != self._sent_version
        is_due = now >= self._sent_at + CRASH_REFRESH_INTERVAL_S and len(self._ledger) > 0
        if not is_changed and not is_due:
            return
        self._sent_version = self._ledger.version
        self._sent_at = now
        extract = CrashExtract(self._ledger.extract(now))
        self._subscribers.push_crashes(extract)
        self._peers.push_all(extract)
