"""Table of entry hosts and the precedence rules of host updates."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_core.ids import HostId, Incarnation
from lagoonwing_core.models import HostAddress
from lagoonwing_membership import const
from lagoonwing_membership.models import HostState, HostUpdate, HostView

_RANK_BY_STATE = {HostState.ALIVE: 0, HostState.SUSPECT: 1, HostState.LOST: 2}


@dataclass(slots=True)
class HostEntry:
    """State of one host; `since` is the time of the last state change."""

    address: HostAddress
    incarnation: Incarnation
    refutation: int
    state: HostState
    since: float
    transmissions_left: int = 0

    def order(self) -> tuple[int, int, int]:
        """Return the precedence key; an update with a higher key replaces this state."""
        return self.incarnation, self.refutation, _RANK_BY_STATE[self.state]

    def to_update(self) -> HostUpdate:
        """Return the state in the form sent to other hosts."""
        return HostUpdate(self.address, self.incarnation, self.refutation, self.state)


class HostTable:
    """States of this host and of the other hosts of the cell."""

    def __init__(self, own: HostAddress, incarnation: Incarnation) -> None:
        self.own = HostEntry(own, incarnation, 0, HostState.ALIVE, 0.0)
        self.host_by_id: dict[HostId, HostEntry] = {}

    def merge(self, update: HostUpdate, now: float) -> bool:
        """Merge an update about another host; return whether the state changed."""
        host_id = update.address.host_id
        known = self.host_by_id.get(host_id)
        if known is None:
            return self._add(update, now)
        order = (update.incarnation, update.refutation, _RANK_BY_STATE[update.state])
        if order <= known.order():
            return False
        known.address = update.address
        known.incarnation = update.incarnation
        known.refutation = update.refutation
        self.set_state(known, update.state, now)
        return True

    def _add(self, update: HostUpdate, now: float) -> bool:
        """Add an unknown host unless the table is full."""
        if len(self.host_by_id) >= const.MAX_HOSTS:
            return False
        entry = HostEntry(update.address, update.incarnation, update.refutation, update.state, now)
        entry.transmissions_left = const.HOST_UPDATE_TRANSMISSIONS
        self.host_by_id[update.address.host_id] = entry
        return True

    def set_state(self, entry: HostEntry, state: HostState, now: float) -> None:
        """Change a host's state and schedule its dissemination."""
        entry.state = state
        entry.since = now
        entry.transmissions_left = const.HOST_UPDATE_TRANSMISSIONS

    def refute(self, update: HostUpdate) -> bool:
        """Supersede an update that marks this host as suspect, lost or replaced.

        Returns:
            Whether this host's state must be sent again, as the last message may be lost.
        """
        own = self.own
        if update.incarnation > own.incarnation:
            # The clock that the incarnation derives from went backwards between two starts.
            own.incarnation = Incarnation(update.incarnation + 1)
            own.refutation = 0
            own.transmissions_left = const.HOST_UPDATE_TRANSMISSIONS
            return True
        if update.state is HostState.ALIVE:
            return False
        if (update.incarnation, update.refutation) >= (own.incarnation, own.refutation):
            own.refutation = update.refutation + 1
        own.transmissions_left = const.HOST_UPDATE_TRANSMISSIONS
        return True

    def reachable(self) -> list[HostEntry]:
        """Return the hosts that are not marked as lost."""
        return [entry for entry in self.host_by_id.values() if entry.state is not HostState.LOST]

    def updates_for(self, host_id: HostId, introduce: bool) -> tuple[HostUpdate, ...]:
        """Return the host updates to piggyback on a message to a host.

        Args:
            host_id: Recipient of the message.
            introduce: Whether the recipient does not know this host yet; it then receives every
                host's state.
        """
        chosen: list[HostUpdate] = []
        recipient = self.host_by_id.get(host_id)
        if introduce or self.own.transmissions_left > 0:
            self.own.transmissions_left = max(0, self.own.transmissions_left - 1)
            chosen.append(self.own.to_update())
        if recipient is not None and recipient.state is not HostState.ALIVE:
            chosen.append(recipient.to_update())
        for entry in self.host_by_id.values():
            if len(chosen) >= const.MAX_HOST_UPDATES_PER_MESSAGE:
                break
            if entry is recipient or not (introduce or entry.transmissions_left > 0):
                continue
            entry.transmissions_left = max(0, entry.transmissions_left - 1)
            chosen.append(entry.to_update())
        return tuple(chosen)

    def views(self) -> tuple[HostView, ...]:
        """Return the state of every host, this one included."""
        entries = [self.own, *self.host_by_id.values()]
        return tuple(HostView(entry.address, entry.incarnation, entry.state) for entry in entries)
