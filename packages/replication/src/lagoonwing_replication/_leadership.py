"""Reports changes of leadership."""

from __future__ import annotations

from collections.abc import Callable

from lagoonwing_consensus import ReplicaCore
from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import HostId, ReplicaId, Term


class Leadership:
    """Last reported state of the leadership.

    Attributes:
        term: Term in which this replica leads and has applied every earlier entry.
    """

    def __init__(self, on_change: Callable[[Term | None], None]) -> None:
        self.term: Term | None = None
        self._on_change = on_change
        self._leader_id: ReplicaId | None = None

    @callback
    def update(self, core: ReplicaCore | None, leader_host: HostId | None) -> None:
        """Report changes since the last update."""
        term = core.term if core is not None and core.is_term_ready else None
        if term != self.term:
            self.term = term
            self._on_change(term)
        leader_id = None if core is None else core.leader_id
        if leader_id != self._leader_id:
            self._leader_id = leader_id
            _log_leader(core, leader_id, leader_host)


def _log_leader(
    core: ReplicaCore | None, leader_id: ReplicaId | None, leader_host: HostId | None
) -> None:
    """Log a change of the leader."""
    term = 0 if core is None else core.term
    if leader_id is None:
        log_event(EventCode.LEADER_LOST, term=term)
        return
    log_event(EventCode.LEADER_ELECTED, term=term, leader=leader_host, replica=leader_id)
