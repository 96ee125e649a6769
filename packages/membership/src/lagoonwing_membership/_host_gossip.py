"""Gossip of host states: merges, refutes, broadcasts and piggybacks updates."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lagoonwing_core.ids import HostId, Incarnation
from lagoonwing_membership import const
from lagoonwing_membership._freshness import MessageAges
from lagoonwing_membership._hosts import HostEntry, HostTable
from lagoonwing_membership.models import (
    HostChanged,
    HostState,
    HostUpdate,
    MembershipMessage,
    Push,
)

Outgoing = tuple[HostId, MembershipMessage]


class HostGossip:
    """Disseminates host states and refutes wrong updates about this host."""

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

    def merge(self, hosts: Iterable[HostUpdate], now: float) -> None:
        """Merge host updates and refute wrong ones about this host."""
        for update in hosts:
            host_id = update.address.host_id
            if host_id == self._hosts.own.address.host_id:
                self._refute(update)
                continue
            known = self._hosts.host_by_id.get(host_id)
            was_alive = known is not None and known.state is HostState.ALIVE
            old_incarnation = known.incarnation if known is not None else None
            if not self._hosts.merge(update, now):
                continue
            entry = self._hosts.host_by_id[host_id]
            has_rejoined = entry.incarnation != old_incarnation or not was_alive
            if entry.state is HostState.ALIVE and has_rejoined:
                self._on_joined(host_id)
            self.notify_changed(entry)

    def handle_restart(self, host_id: HostId, incarnation: Incarnation, now: float) -> None:
        """Mark a known host as alive if it sends with a new incarnation."""
        known = self._hosts.host_by_id.get(host_id)
        if known is not None and incarnation > known.incarnation:
            self.merge([HostUpdate(known.address, incarnation, 0, HostState.ALIVE)], now)

    def notify_changed(self, entry: HostEntry) -> None:
        """Emit an event for a changed host state and queue it for broadcast."""
        self._due.add(entry.address.host_id)
        self._on_event(HostChanged(entry.address.host_id, entry.incarnation, entry.state))

    def tick(self, now: float) -> list[Outgoing]:
        """Broadcast changed host states, also to the host concerned, which may refute them."""
        known = [self._hosts.own, *self._hosts.host_by_id.values()]
        updates = tuple(entry.to_update() for entry in known if entry.address.host_id in self._due)
        self._due.clear()
        if not updates:
            return []
        # Updates beyond the limit are piggybacked on later messages.
        updates = updates[: const.MAX_HOST_UPDATES_PER_MESSAGE]
        return [
            (host_id, Push(self._ages.header_for(host_id, now), hosts=updates))
            for host_id in self._hosts.host_by_id
        ]

    def updates_for(self, host_id: HostId) -> tuple[HostUpdate, ...]:
        """Return the host updates to piggyback on a message."""
        return self._hosts.updates_for(
            host_id, introduce=not self._ages.knows_own_incarnation(host_id)
        )

    def _refute(self, update: HostUpdate) -> None:
        """Queue a broadcast if an update wrongly marks this host as suspect or lost."""
        if self._hosts.refute(update):
            self._ages.incarnation = self._hosts.own.incarnation
            self._due.add(self._hosts.own.address.host_id)
