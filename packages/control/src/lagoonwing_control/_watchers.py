"""Pushes accepted changes to watching channels."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lagoonwing_control._state_machine import ControlStateMachine
from lagoonwing_control.const import ENTITIES_PER_PAGE
from lagoonwing_control.models import HistoryEvent
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import Revision
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire import Channel
from lagoonwing_wire.control_messages import Changes, Refused, Watch, WatchStarted

HistoryListener = Callable[[], None]


class Watchers:
    """Watching channels, each with the last revision pushed to it."""

    def __init__(self, state_machine: ControlStateMachine) -> None:
        self._state_machine = state_machine
        self._pushed_by_channel: dict[Channel[Any], Revision] = {}
        self._listeners: set[HistoryListener] = set()
        self._push_scheduled = False

    @property
    def count(self) -> int:
        """Number of watching channels."""
        return len(self._pushed_by_channel)

    @callback
    def add(self, channel: Channel[Any], message: Watch) -> WatchStarted | Refused:
        """Start to push the changes after a revision to a channel."""
        if self._state_machine.history.after(message.after) is None:
            return Refused(ResultCode.COMPACTED, "the changes after this revision are dropped")
        self._pushed_by_channel[channel] = message.after
        self._push(channel)
        return WatchStarted(self._state_machine.state.revision)

    @callback
    def remove(self, channel: Channel[Any]) -> None:
        """Stop pushing to a channel."""
        self._pushed_by_channel.pop(channel, None)

    @callback
    def add_listener(self, listener: HistoryListener) -> Callable[[], None]:
        """Register a listener called after changes; return a function that removes it."""
        self._listeners.add(listener)
        return lambda: self._listeners.discard(listener)

    @callback
    def schedule_push(self) -> None:
        """Schedule one push after the current event loop iteration has applied its batches."""
        if self._push_scheduled:
            return
        self._push_scheduled = True
        asyncio.get_running_loop().call_soon(self._push_all)

    @callback
    def _push_all(self) -> None:
        """Push new changes to every channel and notify the listeners."""
        self._push_scheduled = False
        for channel in list(self._pushed_by_channel):
            self._push(channel)
        for listener in list(self._listeners):
            listener()

    @callback
    def _push(self, channel: Channel[Any]) -> None:
        """Push the changes that a channel has not received."""
        events = self._state_machine.history.after(self._pushed_by_channel[channel])
        if events is None:
            # The watcher lags behind the history; it lists the entities again when it reconnects.
            channel.close()
            self.remove(channel)
            return
        for start in range(0, len(events), ENTITIES_PER_PAGE):
            page = events[start : start + ENTITIES_PER_PAGE]
            if not channel.push(_changes(page)):
                self.remove(channel)
                return
            self._pushed_by_channel[channel] = page[-1].revision


def _changes(events: tuple[HistoryEvent, ...]) -> Changes:
    """Return the message that pushes changes."""
    return Changes(events[-1].revision, tuple(event.entity for event in events))
