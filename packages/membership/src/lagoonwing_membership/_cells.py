"""Exchange of capacity summaries between cells, so that no host holds every endpoint."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_core.models import HostAddress
from lagoonwing_membership import const
from lagoonwing_membership._capacity import differs_significantly
from lagoonwing_membership._hosts import HostEntry, HostTable
from lagoonwing_membership.models import (
    CapacityRow,
    CellDigest,
    CellId,
    CellSettings,
    CellSummaries,
    CellSummary,
    CellVersion,
    Header,
    MembershipMessage,
    Representative,
)

HeaderFor = Callable[[HostId, float], Header]
Outgoing = tuple[HostId, MembershipMessage]


@dataclass(slots=True)
class _CellEntry:
    """Latest summary of a cell.

    Attributes:
        created_at: Lower bound, on this host's clock, of the time the summary was created.
    """

    summary: CellSummary
    created_at: float


class CellGossip:
    """Creates this cell's summary and gossips summaries with other cells.

    The two hosts with the lowest ids, lost ones excluded, represent their cell. Each periodically
    sends the summary versions it holds to a random representative of another cell, and both send
    the summaries that the other lacks. The first representative also creates the cell's own
    summary and sends the cell's other hosts the cells with the most free slots. Traffic per host
    thus grows with the number of cells and not with the number of endpoints.
    """

    def __init__(
        self, settings: CellSettings, hosts: HostTable, rng: random.Random, header_for: HeaderFor
    ) -> None:
        self._settings = settings
        self._hosts = hosts
        self._rng = rng
        self._header_for = header_for
        self._entry_by_cell: dict[CellId, _CellEntry] = {}
        self._excerpt_by_cell: dict[CellId, _CellEntry] = {}
        self._address_by_host: dict[HostId, HostAddress] = {}
        self._remote_hosts: dict[CellId, list[HostId]] = {}
        self._next_gossip = 0.0
        self._next_summary = 0.0
        self._next_excerpt = 0.0
        for remote in settings.remotes:
            self._remote_hosts[remote.cell_id] = [host.host_id for host in remote.hosts]
            self._address_by_host.update({host.host_id: host for host in remote.hosts})

    def address_of(self, host_id: HostId) -> HostAddress | None:
        """Return the address of a host of another cell."""
        return self._address_by_host.get(host_id)

    def summaries(self, now: float) -> list[CellSummary]:
        """Return summaries of other cells: all rows at representatives, else the excerpt."""
        table = self._entry_by_cell if self._rank() is not None else self._excerpt_by_cell
        return [
            _with_age(entry, now)
            for cell_id, entry in table.items()
            if cell_id != self._settings.cell_id
            and now - entry.created_at < const.CELL_SUMMARY_TTL_S
        ]

    def tick(self, rows: Callable[[], tuple[CapacityRow, ...]], now: float) -> list[Outgoing]:
        """Return the messages that are due.

        Args:
            rows: Returns the capacity rows of this cell.
            now: Time on this host's clock.
        """
        self._expire(now)
        rank = self._rank()
        if rank is None:
            return []
        if rank == 0 and now >= self._next_summary:
            self._next_summary = now + const.CELL_SUMMARY_PERIOD_S
            self._make_summary(rows(), now)
        sends: list[Outgoing] = []
        if now >= self._next_gossip:
            self._next_gossip = now + const.CELL_GOSSIP_PERIOD_S
            sends.extend(self._gossip(now))
        if rank == 0 and now >= self._next_excerpt:
            self._next_excerpt = now + const.CELL_EXCERPT_PERIOD_S
            sends.extend(self._push_excerpt(now))
        return sends

    def receive_digest(self, from_host: HostId, digest: CellDigest, now: float) -> list[Outgoing]:
        """Send the summaries that the peer lacks and request those that this host lacks."""
        self._learn_sender(digest)
        number_by_cell = {version.cell_id: version.number for version in digest.versions}
        later = [
            entry
            for cell_id, entry in self._entry_by_cell.items()
            if entry.summary.number > number_by_cell.get(cell_id, 0)
        ]
        sends = list(self._send(from_host, later, now))
        is_behind = any(number > self._number(cell) for cell, number in number_by_cell.items())
        if is_behind and not digest.is_answer:
            sends.append((from_host, self._digest(from_host, True, now)))
        return sends

    def receive_summaries(self, message: CellSummaries, transit: float, now: float) -> None:
        """Merge summaries that have not expired; an unbounded age counts as expired."""
        if message.is_excerpt:
            self._excerpt_by_cell = {}
        table = self._excerpt_by_cell if message.is_excerpt else self._entry_by_cell
        for summary in message.summaries:
            created_at = now - transit - summary.age_ms / 1000
            if now - created_at >= const.CELL_SUMMARY_TTL_S:
                continue
            known = table.get(summary.cell_id)
            if known is not None and summary.number <= known.summary.number:
                continue
            if known is None and len(table) >= const.MAX_CELLS:
                continue
            table[summary.cell_id] = _CellEntry(summary, created_at)
            self._learn_hosts(summary)

    def _rank(self) -> int | None:
        """Return this host's rank among its cell's representatives, if it is one."""
        own_id = self._hosts.own.address.host_id
        alive = sorted([own_id, *(entry.address.host_id for entry in self._hosts.reachable())])
        rank = alive.index(own_id)
        return rank if rank < const.REPRESENTATIVES else None

    def _make_summary(self, rows: tuple[CapacityRow, ...], now: float) -> None:
        """Create a new summary if the rows changed significantly or a refresh is due."""
        known = self._entry_by_cell.get(self._settings.cell_id)
        is_fresh = known is not None and now - known.created_at < const.CELL_REFRESH_S
        if known is not None and is_fresh and not differs_significantly(known.summary.rows, rows):
            return
        number = self._number(self._settings.cell_id) + 1
        summary = CellSummary(
            self._settings.cell_id, number, tuple(self._representatives()), rows, 0
        )
        self._entry_by_cell[self._settings.cell_id] = _CellEntry(summary, now)

    def _representatives(self) -> Iterator[Representative]:
        """Yield the representatives of this cell."""
        entries: list[HostEntry] = [self._hosts.own, *self._hosts.reachable()]
        entries.sort(key=lambda entry: entry.address.host_id)
        for entry in entries[: const.REPRESENTATIVES]:
            address = entry.address
            yield Representative(address.host_id, address.address, address.port)

    def _number(self, cell_id: CellId) -> int:
        """Return the version of the summary held of a cell, or 0."""
        entry = self._entry_by_cell.get(cell_id)
        return entry.summary.number if entry is not None else 0

    def _gossip(self, now: float) -> list[Outgoing]:
        """Send a digest to a representative of a random cell."""
        cells = [cell for cell in self._remote_hosts if cell != self._settings.cell_id]
        if not cells:
            return []
        host_id = self._rng.choice(self._remote_hosts[self._rng.choice(cells)])
        return [(host_id, self._digest(host_id, False, now))]

    def _digest(self, host_id: HostId, is_answer: bool, now: float) -> CellDigest:
        """Return a digest of the summary versions that this host holds."""
        versions = tuple(
            CellVersion(cell_id, entry.summary.number)
            for cell_id, entry in self._entry_by_cell.items()
        )
        own = self._hosts.own.address
        sender = Representative(own.host_id, own.address, own.port)
        header = self._header_for(host_id, now)
        return CellDigest(header, self._settings.cell_id, sender, versions, is_answer)

    def _send(self, host_id: HostId, entries: list[_CellEntry], now: float) -> Iterator[Outgoing]:
        """Yield summaries in messages of bounded size."""
        for start in range(0, len(entries), const.MAX_SUMMARIES_PER_MESSAGE):
            part = entries[start : start + const.MAX_SUMMARIES_PER_MESSAGE]
            summaries = tuple(_with_age(entry, now) for entry in part)
            yield host_id, CellSummaries(self._header_for(host_id, now), summaries)

    def _push_excerpt(self, now: float) -> Iterator[Outgoing]:
        """Send the cell's other hosts the cells with the most free slots per capacity row."""
        excerpt = self._best_rows(now)
        if not excerpt:
            return
        for entry in self._hosts.reachable():
            host_id = entry.address.host_id
            yield host_id, CellSummaries(self._header_for(host_id, now), excerpt, True)

    def _best_rows(self, now: float) -> tuple[CellSummary, ...]:
        """Return summaries reduced to the cells with the most free slots per capacity row."""
        ranked: dict[tuple[str, int, int], list[tuple[int, CellId, CapacityRow]]]
        ranked = defaultdict(list)
        for summary in self.summaries(now):
            for row in summary.rows:
                ranked[row.key, row.first, row.end].append((row.free_slots, summary.cell_id, row))
        rows_by_cell: dict[CellId, list[CapacityRow]] = defaultdict(list)
        for candidates in ranked.values():
            best = heapq.nlargest(
                const.EXCERPT_CELLS_PER_ROW, candidates, key=lambda item: item[:2]
            )
            for _, cell_id, row in best:
                rows_by_cell[cell_id].append(row)
        return tuple(
            _with_rows(self._entry_by_cell[cell_id], tuple(rows), now)
            for cell_id, rows in rows_by_cell.items()
        )

    def _learn_hosts(self, summary: CellSummary) -> None:
        """Record the representatives of a cell and their addresses."""
        if summary.cell_id == self._settings.cell_id or not summary.representatives:
            return
        self._remote_hosts[summary.cell_id] = [item.host_id for item in summary.representatives]
        for item in summary.representatives:
            self._address_by_host[item.host_id] = _host_address(item)

    def _learn_sender(self, digest: CellDigest) -> None:
        """Record the sender's address, as its cell's summary may not be known yet."""
        if digest.cell_id == self._settings.cell_id:
            return
        if digest.cell_id not in self._remote_hosts and len(self._remote_hosts) >= const.MAX_CELLS:
            return
        hosts = self._remote_hosts.setdefault(digest.cell_id, [])
        if digest.sender.host_id not in hosts:
            hosts.append(digest.sender.host_id)
            del hosts[: -const.REPRESENTATIVES]
        self._address_by_host[digest.sender.host_id] = _host_address(digest.sender)

    def _expire(self, now: float) -> None:
        """Drop expired summaries and addresses of hosts that are no longer referenced."""
        for table in (self._entry_by_cell, self._excerpt_by_cell):
            expired = [
                cell
                for cell, entry in table.items()
                if now - entry.created_at >= _summary_ttl_s(cell, self)
            ]
            for cell_id in expired:
                del table[cell_id]
        referenced = {host_id for hosts in self._remote_hosts.values() for host_id in hosts}
        for host_id in [item for item in self._address_by_host if item not in referenced]:
            del self._address_by_host[host_id]

    @property
    def cell_id(self) -> CellId:
        """Return this host's cell."""
        return self._settings.cell_id


def _summary_ttl_s(cell_id: CellId, system: CellGossip) -> float:
    """Return the TTL of a summary.

    This cell's own summary never expires, so that a new first representative continues from its
    version.
    """
    return float("inf") if cell_id == system.cell_id else const.CELL_SUMMARY_TTL_S


def _host_address(representative: Representative) -> HostAddress:
    """Return the listening address of a host of another cell."""
    return HostAddress(
        host_id=representative.host_id,
        address=representative.address,
        port=representative.port,
        failure_domain=FailureDomainId(""),
    )


def _with_age(entry: _CellEntry, now: float) -> CellSummary:
    """Return a summary with its current age."""
    return _with_rows(entry, entry.summary.rows, now)


def _with_rows(entry: _CellEntry, rows: Iterable[CapacityRow], now: float) -> CellSummary:
    """Return a summary reduced to some rows, with its current age."""
    summary = entry.summary
    age_ms = max(0, int((now - entry.created_at) * 1000) + 1)
    return CellSummary(
        summary.cell_id, summary.number, summary.representatives, tuple(rows), age_ms
    )
