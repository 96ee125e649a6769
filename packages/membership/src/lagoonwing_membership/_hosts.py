"""Table of entry hosts and the rules by which news replaces belief."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_core.ids import HostId, Incarnation
from lagoonwing_core.models import HostAddress
from lagoonwing_membership import const
from lagoonwing_membership.models import HostNews, HostState, HostView

_RANK_BY_STATE = {HostState.ALIVE: 0, HostState.SUSPECT: 1, HostState.LOST: 2}


@dataclass(slots=True)
class HostEntry:
    """Belief about one host; `since` is the time of its last change of state."""

    address: HostAddress
    incarnation: Incarnation
    refutation: int
    state: HostState
    since: float
    rumours_left: int = 0

    def order(self) -> tuple[int, int, int]:
        """Return the key by which later news replaces earlier news."""
        return self.incarnation, self.refutation, _RANK_BY_STATE[self.state]

    def news(self) -> HostNews:
        """Return the belief as it is told to others."""
        return HostNews(self.address, self.incarnation, self.refutation, self.state)


class HostTable:
    """Hosts of the cell other than this one."""

    def __init__(self, own: HostAddress, incarnation: Incarnation) -> None:
        self.own = HostEntry(own, incarnation, 0, HostState.ALIVE, 0.0)
        self.host_by_id: dict[HostId, HostEntry] = {}

    def merge(self, news: HostNews, now: float) -> bool:
        """Take news of another host in; return whether belief has changed."""
        host_id = news.address.host_id
        known = self.host_by_id.get(host_id)
        if known is None:
            return self._add(news, now)
        order = (news.incarnation, news.refutation, _RANK_BY_STATE[news.state])
        if order <= known.order():
            return False
        known.address = news.address
        known.incarnation = news.incarnation
        known.refutation = news.refutation
        self.set_state(known, news.state, now)
        return True

    def _add(self, news: HostNews, now: float) -> bool:
        """Add a host that was not known, within the bound of the table."""
        if len(self.host_by_id) >= const.MAX_HOSTS:
            return False
        entry = HostEntry(news.address, news.incarnation, news.refutation, news.state, now)
        entry.rumours_left = const.RUMOUR_TRANSMISSIONS
        self.host_by_id[news.address.host_id] = entry
        return True

    def set_state(self, entry: HostEntry, state: HostState, now: float) -> None:
        """Change a host's state and spread it."""
        entry.state = state
        entry.since = now
        entry.rumours_left = const.RUMOUR_TRANSMISSIONS

    def refute(self, news: HostNews) -> bool:
        """Outbid news that holds this host for suspect, lost or replaced.

        Returns:
            Whether the sender lacks this host's latest news, which may have been lost.
        """
        own = self.own
        if news.incarnation > own.incarnation:
            # The clock that gave the incarnation went back between two starts.
            own.incarnation = Incarnation(news.incarnation + 1)
            own.refutation = 0
            own.rumours_left = const.RUMOUR_TRANSMISSIONS
            return True
        if news.state is HostState.ALIVE:
            return False
        if (news.incarnation, news.refutation) >= (own.incarnation, own.refutation):
            own.refutation = news.refutation + 1
        own.rumours_left = const.RUMOUR_TRANSMISSIONS
        return True

    def reachable(self) -> list[HostEntry]:
        """Return the hosts that are not held for lost."""
        return [entry for entry in self.host_by_id.values() if entry.state is not HostState.LOST]

    def rumours_for(self, host_id: HostId, introduce: bool) -> tuple[HostNews, ...]:
        """Return the news to add to a message for a host.

        Args:
            host_id: Recipient of the message.
            introduce: Whether the host has yet to learn of this one.
        """
        chosen: list[HostNews] = []
        recipient = self.host_by_id.get(host_id)
        if introduce or self.own.rumours_left > 0:
            self.own.rumours_left = max(0, self.own.rumours_left - 1)
            chosen.append(self.own.news())
        if recipient is not None and recipient.state is not HostState.ALIVE:
            chosen.append(recipient.news())
        for entry in self.host_by_id.values():
            if len(chosen) >= const.MAX_HOST_NEWS_PER_MESSAGE:
                break
            if entry is recipient or not (introduce or entry.rumours_left > 0):
                continue
            entry.rumours_left = max(0, entry.rumours_left - 1)
            chosen.append(entry.news())
        return tuple(chosen)

    def views(self) -> tuple[HostView, ...]:
        """Return the belief about every host, this one included."""
        entries = [self.own, *self.host_by_id.values()]
        return tuple(HostView(entry.address, entry.incarnation, entry.state) for entry in entries)
