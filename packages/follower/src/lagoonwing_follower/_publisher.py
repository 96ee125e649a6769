"""Publication of consecutive views of the replicated state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import Revision
from lagoonwing_follower._lease import ConfigurationLease
from lagoonwing_follower._revision_store import RevisionStore
from lagoonwing_follower._watch import Watcher
from lagoonwing_follower.models import ControlView

ViewListener = Callable[[], None]


class ViewPublisher:
    """Publishes complete views with non-decreasing revisions.

    Attributes:
        view: Last published view.
        min_revision: Highest revision ever published, restarts included.
    """

    def __init__(self, store: RevisionStore, lease: ConfigurationLease) -> None:
        self.view = ControlView()
        self.min_revision = Revision(0)
        self._store = store
        self._lease = lease
        self._listeners: list[ViewListener] = []
        self._changed = asyncio.Event()

    def load(self) -> None:
        """Load the minimum revision stored before a restart."""
        self.min_revision = self._store.load()

    @callback
    def add_listener(self, listener: ViewListener) -> Callable[[], None]:
        """Register a listener for each published view; return a function that removes it."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    @callback
    def notify_tables_changed(self) -> None:
        """Schedule the publication of a new view."""
        self._changed.set()

    async def async_run(self, watcher: Watcher) -> None:
        """Publish each complete view once its revision is stored."""
        loop = asyncio.get_running_loop()
        while True:
            await self._changed.wait()
            self._changed.clear()
            if not watcher.complete:
                continue
            view = watcher.tables.view()
            is_initial_empty = view.revision == 0 and self.min_revision == 0
            if view.revision < self.min_revision or view.revision < self.view.revision:
                continue
            if view.revision > self.min_revision:
                await loop.run_in_executor(None, self._store.store, view.revision)
                self.min_revision = view.revision
            if view.revision > self.view.revision or is_initial_empty:
                self._publish(view)

    @callback
    def _publish(self, view: ControlView) -> None:
        """Publish a view and notify the listeners."""
        self.view = view
        self._lease.record_applied(view.revision)
        log_event(EventCode.REVISION_APPLIED, revision=view.revision)
        for listener in list(self._listeners):
            listener()
