"""Turns of connections that always have bytes to read; sources share them evenly."""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Hashable

from lagoonwing_core.callback import callback
from lagoonwing_http.const import MIN_TURN_BYTES


class ReadTurns:
    """Lets one connection read in each iteration of the event loop.

    Sources take turns. If each connection read once in an iteration, a service with many endless
    responses would leave a large response of another one only a small part of the time.
    """

    def __init__(self) -> None:
        self._waiting_by_source: OrderedDict[Hashable, deque[asyncio.Future[None]]] = OrderedDict()
        self._is_scheduled = False

    @callback
    def request(self, source: Hashable, count: int) -> asyncio.Future[None] | None:
        """Return a future that is done when a connection may read again; None if at once.

        Args:
            source: What its bytes count for.
            count: Number of bytes of its last read.
        """
        if count < MIN_TURN_BYTES:
            return None
        turn = asyncio.get_running_loop().create_future()
        self._waiting_by_source.setdefault(source, deque()).append(turn)
        self._schedule()
        return turn

    @callback
    def _release(self) -> None:
        """Let the next connection read."""
        self._is_scheduled = False
        while self._waiting_by_source:
            source, turns = self._waiting_by_source.popitem(last=False)
            turn = turns.popleft()
            if turns:
                self._waiting_by_source[source] = turns
            # The reader of a cancelled turn has ended.
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting_by_source:
            self._schedule()

    def _schedule(self) -> None:
        """Release a turn in the next iteration of the event loop."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._release)
