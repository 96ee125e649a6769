"""Gossip of endpoint records: pushes changes and repairs losses with digests and pulls."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TypeVar

from lagoonwing_core.ids import EndpointId, HostId
from lagoonwing_membership import const
from lagoonwing_membership._endpoints import EndpointTable
from lagoonwing_membership._entries import EndpointEntry, MergeResult
from lagoonwing_membership._hosts import HostTable
from lagoonwing_membership.models import (
    AgedRecord,
    Digest,
    Header,
    MembershipMessage,
    MembershipSettings,
    Pull,
    Push,
    Renewal,
    Summary,
)

ItemT = TypeVar("ItemT")
HeaderFor = Callable[[HostId, float], Header]
Outgoing = tuple[HostId, MembershipMessage]


class EndpointGossip:
    """Disseminates endpoint announcements to the hosts of the cell."""

    def __init__(
        self,
        endpoints: EndpointTable,
        hosts: HostTable,
        settings: MembershipSettings,
        rng: random.Random,
        header_for: HeaderFor,
    ) -> None:
        self._endpoints = endpoints
        self._hosts = hosts
        self._settings = settings
        self._rng = rng
        self._header_for = header_for
        self._changed: set[EndpointId] = set()
        self._renewed: set[EndpointId] = set()
        self._joined: set[HostId] = set()
        self._pull_turn = 0
        self._next_summary = 0.0
        self._next_renewals = 0.0
        self._digest_order: list[HostId] = []
        self._pulled_at_by_id: dict[EndpointId, float] = {}

    def queue_push(self, endpoint_id: EndpointId, result: MergeResult, own: bool) -> None:
        """Queue an endpoint for the next push, depending on the merge result.

        Args:
            endpoint_id: Endpoint that was updated.
            result: Result of merging the update.
            own: Whether the endpoint announced to this host. Renewals received from another
                host are not forwarded, as that host sends them to every peer itself.
        """
        if result in (MergeResult.CHANGED, MergeResult.CONFLICT):
            self._changed.add(endpoint_id)
        elif result is MergeResult.RENEWED and own:
            self._renewed.add(endpoint_id)

    def request_digest(self, host_id: HostId) -> None:
        """Schedule a full digest, old tombstones included, for a host that has just joined."""
        self._joined.add(host_id)

    def tick(self, now: float) -> list[Outgoing]:
        """Return the messages that are due."""
        peers = [entry.address.host_id for entry in self._hosts.reachable()]
        sends = self._push_changes(peers, now)
        sends.extend(self._pull_overdue(peers, now))
        if now >= self._next_summary:
            self._next_summary = now + self._settings.digest_period_s
            peer = self._next_peer()
            if peer is not None:
                checksum = self._endpoints.checksum(now)
                sends.append((peer, Summary(self._header_for(peer, now), checksum)))
        for host_id in sorted(self._joined):
            sends.extend(self._digest(host_id, const.TOMBSTONE_TTL_S, now))
        self._joined.clear()
        return sends

    def _next_peer(self) -> HostId | None:
        """Return the next host in a shuffled round."""
        reachable = {entry.address.host_id for entry in self._hosts.reachable()}
        while reachable:
            if not self._digest_order:
                self._digest_order = sorted(reachable)
                self._rng.shuffle(self._digest_order)
            host_id = self._digest_order.pop()
            if host_id in reachable:
                return host_id
        return None

    def _push_changes(self, peers: Sequence[HostId], now: float) -> list[Outgoing]:
        """Push changes since the last tick, and due renewals, to every peer."""
        entry_by_id = self._endpoints.endpoint_by_id
        changed = [entry_by_id[item] for item in sorted(self._changed) if item in entry_by_id]
        renewed = self._due_renewals(now)
        self._changed.clear()
        left = [entry for entry in changed if entry.record is None]
        records = [entry for entry in changed if entry.record is not None]
        sends: list[Outgoing] = []
        for host_id in peers:
            sends.extend(self._record_pushes(host_id, records, now))
            for batch in _batches([*left, *renewed], const.MAX_RENEWALS_PER_MESSAGE):
                renewals = tuple(entry.renewal(now) for entry in batch)
                sends.append((host_id, Push(self._header_for(host_id, now), renewals)))
        return sends

    def _due_renewals(self, now: float) -> list[EndpointEntry]:
        """Return the endpoints whose renewals are due."""
        if now < self._next_renewals:
            return []
        self._next_renewals = now + const.RENEWAL_BATCH_S
        entry_by_id = self._endpoints.endpoint_by_id
        due = sorted(self._renewed - self._changed)
        self._renewed.clear()
        return [entry_by_id[item] for item in due if item in entry_by_id]

    def _record_pushes(
        self, host_id: HostId, entries: Sequence[EndpointEntry], now: float
    ) -> Iterator[Outgoing]:
        """Yield pushes of full records, in messages of bounded size."""
        for batch in _batches(entries, const.MAX_RECORDS_PER_MESSAGE):
            records = tuple(
                AgedRecord(record, entry.renewal(now).age_ms)
                for entry in batch
                if (record := entry.latest_record()) is not None
            )
            yield host_id, Push(self._header_for(host_id, now), (), records)

    def _digest(self, host_id: HostId, max_age_s: float, now: float) -> Iterator[Outgoing]:
        """Yield a digest of endpoints announced within an age, tombstones included."""
        renewals = [
            entry.renewal(now)
            for entry in self._endpoints.endpoint_by_id.values()
            if now - entry.announced_at < max_age_s
        ]
        batches = list(_batches(renewals, const.MAX_RENEWALS_PER_MESSAGE)) or [[]]
        for number, batch in enumerate(batches, start=1):
            header = self._header_for(host_id, now)
            yield host_id, Digest(header, tuple(batch), last=number == len(batches))

    def _pull_overdue(self, peers: Sequence[HostId], now: float) -> Iterator[Outgoing]:
        """Pull endpoints whose renewals are overdue from a peer.

        The link from the host that they announce to may be down for this host alone.
        """
        if not peers:
            return
        overdue = [
            entry.endpoint_id
            for entry in self._endpoints.live(now)
            if now - entry.announced_at >= const.PULL_AFTER_S
            and self._may_pull(entry.endpoint_id, now)
        ]
        if not overdue:
            return
        # Round-robin, so that an unreachable peer is not asked twice in a row.
        self._pull_turn += 1
        yield from self.pull(peers[self._pull_turn % len(peers)], overdue, now)

    def _may_pull(self, endpoint_id: EndpointId, now: float) -> bool:
        """Return whether the pull interval of an endpoint has passed."""
        pulled_at = self._pulled_at_by_id.get(endpoint_id)
        return pulled_at is None or now - pulled_at >= const.PULL_INTERVAL_S

    def pull(
        self, host_id: HostId, endpoint_ids: Sequence[EndpointId], now: float
    ) -> Iterator[Outgoing]:
        """Yield pulls of endpoint records."""
        for endpoint_id in endpoint_ids:
            self._pulled_at_by_id[endpoint_id] = now
        for batch in _batches(endpoint_ids, const.MAX_PULLS_PER_MESSAGE):
            yield host_id, Pull(self._header_for(host_id, now), tuple(batch))

    def answer_summary(self, host_id: HostId, summary: Summary, now: float) -> list[Outgoing]:
        """Reply with a digest if the sender's endpoint table differs."""
        if summary.checksum == self._endpoints.checksum(now):
            return []
        return list(self._digest(host_id, const.DIGEST_MAX_AGE_S, now))

    def answer_pull(self, host_id: HostId, pull: Pull, now: float) -> list[Outgoing]:
        """Reply with the records of live endpoints and the tombstones of those that left."""
        entry_by_id = self._endpoints.endpoint_by_id
        known = [entry_by_id[item] for item in pull.endpoint_ids if item in entry_by_id]
        live = [entry for entry in known if self._endpoints.is_live(entry, now)]
        left = [entry for entry in known if entry.left]
        sends = list(self._record_pushes(host_id, live, now))
        for batch in _batches(left, const.MAX_RENEWALS_PER_MESSAGE):
            renewals = tuple(entry.renewal(now) for entry in batch)
            sends.append((host_id, Push(self._header_for(host_id, now), renewals)))
        return sends

    def receive_renewals(
        self, host_id: HostId, renewals: Iterable[Renewal], transit: float, now: float
    ) -> list[Outgoing]:
        """Merge renewals and pull the missing records."""
        wanted: list[EndpointId] = []
        for renewal in renewals:
            announced_at = now - transit - renewal.age_ms / 1000
            result = self._endpoints.merge_renewal(renewal, announced_at, now)
            if result is MergeResult.RECORD_MISSING:
                wanted.append(renewal.endpoint_id)
            self.queue_push(renewal.endpoint_id, result, own=False)
        return list(self.pull(host_id, wanted, now))

    def receive_records(self, records: Iterable[AgedRecord], transit: float, now: float) -> None:
        """Merge full records."""
        for aged in records:
            announced_at = now - transit - aged.age_ms / 1000
            result = self._endpoints.merge_record(aged.record, announced_at, now)
            self.queue_push(aged.record.endpoint_id, result, own=False)

    def prune_pulls(self) -> None:
        """Drop the pull times of unknown endpoints."""
        for endpoint_id in list(self._pulled_at_by_id):
            if endpoint_id not in self._endpoints.endpoint_by_id:
                del self._pulled_at_by_id[endpoint_id]


def _batches(items: Sequence[ItemT], size: int) -> Iterator[Sequence[ItemT]]:
    """Yield the items in batches of bounded size."""
    for start in range(0, len(items), size):
        yield items[start : start + size]
