"""Pushes accepted changes to those who watch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lagoonwing_control._state_machine import ControlStateMachine
from lagoonwing_control.const import PAGE_ENTITIES
from lagoonwing_control.models import HistoryEvent
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import Revision
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire import Channel
from lagoonwing_wire.control_messages import Changes, Refused, Watch, WatchStarted

HistoryListener = Callable[[], None]


class Watchers:
    """Channels that watch, each with the last revision pushed to it."""

    def __init__(self, state_machine: ControlStateMachine) -> None:
        self._state_machine = state_machine
        self._pushed_by_channel: dict[Channel[Any], Revision] = {}
        self._listeners: set[HistoryListener] = set()
        self._scheduled = False

    @property
    def count(self) -> int:
        """Number of channels that watch."""
        return len(self._pushed_by_channel)

    @callback
    def add(self, channel: Channel[Any], message: Watch) -> WatchStarted | Refused:
        """Watch on a channel from a revision."""
        if self._state_machine.history.after(message.after) is None:
            return Refused(ResultCode.COMPACTED, "the changes after this revision are dropped")
        self._pushed_by_channel[channel] = message.after
        self._push(channel)
        return WatchStarted(self._state_machine.state.revision)

    @callback
    def remove(self, channel: Channel[Any]) -> None:
        """Forget a channel."""
        self._pushed_by_channel.pop(channel, None)

    @callback
    def add_listener(self, listener: HistoryListener) -> Callable[[], None]:
        """Call a function after changes; return what removes it."""
        self._listeners.add(listener)
        return lambda: self._listeners.discard(listener)

    @callback
    def schedule(self) -> None:
        """Push once the current turn of the loop has applied all that it has to."""
        if self._scheduled:
            return
        self._scheduled = True
        asyncio.get_running_loop().call_soon(self._push_all)

    @callback
    def _push_all(self) -> None:
        """Push what is new to everyone."""
        self._scheduled = False
        for channel in list(self._pushed_by_channel):
            self._push(channel)
        for listener in list(self._listeners):
            listener()

    @callback
    def _push(self, channel: Channel[Any]) -> None:
        """Push what one channel has not got yet."""
        events = self._state_machine.history.after(self._pushed_by_channel[channel])
        if events is None:
            # The watcher lags behind the window; its reconnect will list anew.
            channel.close()
            self.remove(channel)
            return
        for start in range(0, len(events), PAGE_ENTITIES):
            page = events[start : start + PAGE_ENTITIES]
            if not channel.push(_changes(page)):
                self.remove(channel)
                return
            self._pushed_by_channel[channel] = page[-1].revision


def _changes(events: tuple[HistoryEvent, ...]) -> Changes:
    """Return the push of some changes."""
    return Changes(events[-1].revision, tuple(event.entity for event in events))
