"""Relays a ledger between gateways and replicas, and keeps it for new gateways."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from lagoonwing_catalog.messages import CatalogMessage
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_registry._peers import Peers
from lagoonwing_registry._subscribers import Subscribers
from lagoonwing_wire import Channel


class Ledger(Protocol):
    """State that replicas merge and send on.

    Attributes:
        version: Increases when others must be told.
    """

    version: int

    def __len__(self) -> int:
        """Return the number of entries."""

    def expire(self, now: float) -> None:
        """Discard entries that are too old."""


@dataclass(frozen=True, slots=True)
class RelayIntervals:
    """How often a relay sends.

    Attributes:
        push_s: Minimum interval between two pushes.
        refresh_s: Interval at which an unchanged ledger is sent again.
    """

    push_s: float
    refresh_s: float


class LedgerRelay:
    """Pushes a ledger to gateways and replicas when it changes, and from time to time."""

    def __init__(
        self,
        ledger: Ledger,
        make_extract: Callable[[float], CatalogMessage],
        intervals: RelayIntervals,
        subscribers: Subscribers,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Create a relay.

        Args:
            ledger: What is relayed.
            make_extract: Returns the message to send at a time in seconds.
            intervals: How often it is sent.
            subscribers: Gateways that follow this replica.
            peers: The other replicas.
            clock: Time source.
        """
        self._subscribers = subscribers
        self._peers = peers
        self._clock = clock
        self._tracked = ledger
        self._make_extract = make_extract
        self._intervals = intervals
        self._sent_version = 0
        self._sent_at = clock.now()

    @callback
    def push_all_to(self, channel: Channel[Any]) -> None:
        """Push what is known to a new gateway."""
        if len(self._tracked):
            channel.push(self._make_extract(self._clock.now()))

    async def async_run(self) -> None:
        """Push changes, and from time to time everything, until cancelled."""
        while True:
            await asyncio.sleep(self._intervals.push_s)
            self.push_if_due()

    @callback
    def push_if_due(self) -> None:
        """Push an extract if it changed or was last sent long ago."""
        now = self._clock.now()
        self._tracked.expire(now)
        is_changed = self._tracked.version != self._sent_version
        is_due = now >= self._sent_at + self._intervals.refresh_s and len(self._tracked) > 0
        if not is_changed and not is_due:
            return
        self._sent_version = self._tracked.version
        self._sent_at = now
        extract = self._make_extract(now)
        self._subscribers.push_to_gateways(extract)
        self._peers.push_all(extract)
