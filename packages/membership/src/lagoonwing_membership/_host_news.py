"""News of hosts: merged, refuted, told at once and piggybacked."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lagoonwing_core.ids import HostId, Incarnation
from lagoonwing_membership import const
from lagoonwing_membership._freshness import MessageAges
from lagoonwing_membership._hosts import HostEntry, HostTable
from lagoonwing_membership.models import (
    HostChanged,
    HostNews,
    HostState,
    MembershipMessage,
    Push,
)

Outgoing = tuple[HostId, MembershipMessage]


class HostNewsSystem:
    """Spreads beliefs about hosts and refutes what is wrong of this one."""

    def __init__(
        self,
        hosts: HostTable,
        ages: MessageAges,
        on_event: Callable[[HostChanged], None],
        on_joined: Callable[[HostId], None],
    ) -> None:
        self._hosts = hosts
        self._ages = ages
        self._on_event = on_event
        self._on_joined = on_joined
        self._due: set[HostId] = set()

    def merge(self, hosts: Iterable[HostNews], now: float) -> None:
        """Take news of hosts in and refute what is wrong of this one."""
        for news in hosts:
            host_id = news.address.host_id
            if host_id == self._hosts.own.address.host_id:
                self._refute(news)
                continue
            known = self._hosts.host_by_id.get(host_id)
            was_alive = known is not None and known.state is HostState.ALIVE
            old_incarnation = known.incarnation if known is not None else None
            if not self._hosts.merge(news, now):
                continue
            entry = self._hosts.host_by_id[host_id]
            has_rejoined = entry.incarnation != old_incarnation or not was_alive
            if entry.state is HostState.ALIVE and has_rejoined:
                self._on_joined(host_id)
            self.changed(entry)

    def note_restart(self, host_id: HostId, incarnation: Incarnation, now: float) -> None:
        """Hold a known host for alive that is heard with a new incarnation."""
        known = self._hosts.host_by_id.get(host_id)
        if known is not None and incarnation > known.incarnation:
            self.merge([HostNews(known.address, incarnation, 0, HostState.ALIVE)], now)

    def changed(self, entry: HostEntry) -> None:
        """Note a change of belief for the log and for the other hosts."""
        self._due.add(entry.address.host_id)
        self._on_event(HostChanged(entry.address.host_id, entry.incarnation, entry.state))

    def tick(self, now: float) -> list[Outgoing]:
        """Tell every host of changed beliefs, the host concerned included, which may refute."""
        known = [self._hosts.own, *self._hosts.host_by_id.values()]
        news = tuple(entry.news() for entry in known if entry.address.host_id in self._due)
        self._due.clear()
        if not news:
            return []
        # What doesn't fit goes out piggybacked.
        news = news[: const.MAX_HOST_NEWS_PER_MESSAGE]
        return [
            (host_id, Push(self._ages.header_for(host_id, now), hosts=news))
            for host_id in self._hosts.host_by_id
        ]

    def rumours(self, host_id: HostId) -> tuple[HostNews, ...]:
        """Return the host news to add to a message."""
        return self._hosts.rumours_for(host_id, introduce=not self._ages.knows_us(host_id))

    def _refute(self, news: HostNews) -> None:
        """Tell everyone at once where this host is wrongly held for suspect or lost."""
        if self._hosts.refute(news):
            self._ages.incarnation = self._hosts.own.incarnation
            self._due.add(self._hosts.own.address.host_id)
