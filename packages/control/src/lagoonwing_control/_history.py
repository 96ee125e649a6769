"""Bounded history of changes, from which watches resume."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from itertools import islice

from lagoonwing_control.models import HistoryEvent
from lagoonwing_core.ids import Revision


class History:
    """Keeps the most recent changes in revision order."""

    def __init__(self, limit: int) -> None:
        self._events: deque[HistoryEvent] = deque(maxlen=limit)
        self._oldest = Revision(0)

    @property
    def oldest(self) -> Revision:
        """Revision after which every change is available."""
        return self._oldest

    def append(self, event: HistoryEvent) -> None:
        """Append a change; discard the oldest one when full."""
        if len(self._events) == self._events.maxlen:
            self._oldest = self._events[0].revision
        self._events.append(event)

    def after(self, revision: Revision) -> tuple[HistoryEvent, ...] | None:
        """Return the changes after a revision; `None` if some are no longer available."""
        if revision < self._oldest:
            return None
        start = bisect_right(self._events, revision, key=lambda event: event.revision)
        return tuple(islice(self._events, start, None))

    def events(self) -> tuple[HistoryEvent, ...]:
        """Return all available changes."""
        return tuple(self._events)

    def restore(self, events: Iterable[HistoryEvent], revision: Revision) -> None:
        """Replace the history with that of a snapshot taken at `revision`."""
        self._events.clear()
        self._events.extend(events)
        first = self._events[0].revision - 1 if self._events else revision
        self._oldest = Revision(first)
