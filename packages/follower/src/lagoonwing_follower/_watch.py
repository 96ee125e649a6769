"""Follows the replicated state by list and watch."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from expression import Result

from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import Revision
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_follower._tables import Tables
from lagoonwing_follower.const import (
    LIST_TIMEOUT_S,
    RELIST_JITTER_S,
    RETRY_INTERVAL_S,
    WATCH_TIMEOUT_S,
)
from lagoonwing_wire import Channel
from lagoonwing_wire.control_messages import (
    Changes,
    ControlMessage,
    ListPage,
    ListPageReply,
    Refused,
    Watch,
    WatchStarted,
)


class Watcher:
    """Keeps the tables current from the replica whose channel `select_channel` returns.

    Attributes:
        tables: Tables as replicated so far.
        complete: Whether the tables are complete up to their revision.
    """

    def __init__(
        self,
        select_channel: Callable[[], Channel[Any] | None],
        on_applied: Callable[[], None],
        seed: int,
    ) -> None:
        self.tables = Tables()
        self._complete_revision: Revision | None = None
        self._select_channel = select_channel
        self._on_applied = on_applied
        self._channel: Channel[Any] | None = None
        self._wake = asyncio.Event()
        self._random = random.Random(seed)

    @property
    def complete(self) -> bool:
        """Whether the tables are a consistent state at their revision."""
        return (
            self._complete_revision is not None and self.tables.revision >= self._complete_revision
        )

    async def async_run(self) -> None:
        """Run the list and watch loop."""
        while True:
            channel = self._select_channel()
            if channel is None or channel is self._channel:
                await self._async_wait()
                continue
            await self._async_watch(channel)

    @callback
    def on_push(self, channel: Channel[Any], message: ControlMessage) -> None:
        """Apply changes pushed on the watched channel."""
        match message:
            case Changes() if channel is self._channel:
                self.tables.apply(message.entities, message.revision)
                self._on_applied()
            case _:
                pass

    @callback
    def on_closed(self, channel: Channel[Any]) -> None:
        """Select another channel if the watched one has closed."""
        if channel is self._channel:
            self._channel = None
        self._wake.set()

    @callback
    def wake(self) -> None:
        """Check again which channel to watch."""
        self._wake.set()

    async def _async_wait(self) -> None:
        """Wait for a wake-up or the retry interval."""
        try:
            async with asyncio.timeout(RETRY_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def _async_watch(self, channel: Channel[Any]) -> None:
        """Start a watch on a channel, after a list if the tables are not complete."""
        former = self._channel
        self._channel = None
        if former is not None and not former.closed:
            # Closing ends the previous watch; the link reopens the channel.
            former.close()
        if self._complete_revision is None and not await self._async_list(channel):
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        self._channel = channel
        reply = await channel.async_call(Watch(self.tables.revision), WATCH_TIMEOUT_S)
        match reply:
            case Result(tag="ok", ok=WatchStarted()):
                self._on_applied()
            case Result(tag="ok", ok=Refused(code=ResultCode.COMPACTED)):
                self._channel = None
                await self._async_prepare_relist()
            case _:
                self._channel = None
                channel.close()

    async def _async_prepare_relist(self) -> None:
        """Schedule a relist, with jitter so that many followers don't list at once."""
        log_event(EventCode.REVISION_APPLIED, revision=self.tables.revision, reason="compacted")
        await asyncio.sleep(self._random.uniform(0.0, RELIST_JITTER_S))
        self._complete_revision = None

    async def _async_list(self, channel: Channel[Any]) -> bool:
        """List all pages into new tables; return whether the list completed."""
        tables = Tables()
        token = ""
        first: Revision | None = None
        while True:
            reply = await channel.async_call(ListPage(token), LIST_TIMEOUT_S)
            match reply:
                case Result(tag="ok", ok=ListPageReply() as page):
                    first = page.revision if first is None else first
                    tables.apply(page.entities, first)
                    token = page.next_token
                    if not token:
                        self.tables = tables
                        self._complete_revision = page.revision
                        return True
                case _:
                    return False
