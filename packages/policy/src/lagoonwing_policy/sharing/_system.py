"""Computes this host's share of the capacity from the reports of other entry hosts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lagoonwing_core.ids import HostId, MemberId
from lagoonwing_policy.fairness.models import MemberShare
from lagoonwing_policy.sharing._division import Division, divide_pool
from lagoonwing_policy.sharing._spans import SpanTable
from lagoonwing_policy.sharing.const import MAX_REPORT_ROWS, REPORT_TTL_S
from lagoonwing_policy.sharing.models import CapacitySpan, MemberWork, Shares, WorkReport


@dataclass(frozen=True, slots=True)
class _PeerReport:
    """Work report of another entry host, with its expiry time."""

    rows: tuple[MemberWork, ...]
    expires: float


class SharingSystem:
    """Divides each pool among the entry hosts by their work reports; performs no I/O.

    A host without a report in the last `REPORT_TTL_S` gets only its part of the even division.
    """

    def __init__(self, host_id: HostId) -> None:
        self._host_id = host_id
        self._report_by_host: dict[HostId, _PeerReport] = {}
        self._spans = SpanTable()

    def make_report(self, rows: Iterable[MemberWork]) -> WorkReport:
        """Return the report for the other entry hosts; truncation keeps the largest rows."""
        chosen = sorted(rows, key=lambda row: (-row.requests, row.pool, row.member_id))
        return WorkReport(tuple(chosen[:MAX_REPORT_ROWS]))

    def receive(self, host_id: HostId, report: WorkReport, now: float) -> None:
        """Store the report of another entry host; it replaces that host's previous report."""
        if host_id == self._host_id or len(report.rows) > MAX_REPORT_ROWS:
            return
        self._report_by_host[host_id] = _PeerReport(report.rows, now + REPORT_TTL_S)

    def shares(
        self,
        own_rows: Iterable[MemberWork],
        hosts: Iterable[HostId],
        slots_by_pool: Mapping[str, float],
        now: float,
    ) -> Shares:
        """Compute the shares of this entry host.

        Args:
            own_rows: Work at this host.
            hosts: Live entry hosts; this host is always included.
            slots_by_pool: Total slots of each pool that this host knows.
            now: Time in seconds.
        """
        alive = sorted({*hosts, self._host_id})
        rows_by_host = self._rows_by_host(alive, own_rows, now)
        division_by_pool = {
            pool: divide_pool(slots_by_pool[pool], _rows_of_pool(rows_by_host, pool))
            for pool in _pools(rows_by_host)
            if slots_by_pool.get(pool, 0.0) > 0.0
        }
        position = alive.index(self._host_id)
        even = CapacitySpan(position / len(alive), (position + 1) / len(alive))
        self._spans.advance(alive, division_by_pool, now)
        spans = {pool: self._spans.span(pool, self._host_id) for pool in division_by_pool}
        expires = now + REPORT_TTL_S
        return Shares(spans, even, self._member_shares(division_by_pool.values(), expires))

    def _rows_by_host(
        self, alive: list[HostId], own_rows: Iterable[MemberWork], now: float
    ) -> dict[HostId, tuple[MemberWork, ...]]:
        """Return the work of each host; hosts with an expired report have none."""
        rows_by_host: dict[HostId, tuple[MemberWork, ...]] = {}
        for host_id in alive:
            report = self._report_by_host.get(host_id)
            is_valid = report is not None and now < report.expires
            rows_by_host[host_id] = report.rows if report is not None and is_valid else ()
        rows_by_host[self._host_id] = tuple(own_rows)
        self._report_by_host = {
            host_id: report
            for host_id, report in self._report_by_host.items()
            if now < report.expires
        }
        return rows_by_host

    def _member_shares(
        self, divisions: Iterable[Division], expires: float
    ) -> tuple[MemberShare, ...]:
        """Return the share of each member's slots at this host, over all pools."""
        slots_here: dict[MemberId, float] = {}
        slots_total: dict[MemberId, float] = {}
        for division in divisions:
            for member_id, slots in division.slots_by_member.items():
                used = division.used_by_host[self._host_id].get(member_id, 0.0)
                slots_here[member_id] = slots_here.get(member_id, 0.0) + used
                slots_total[member_id] = slots_total.get(member_id, 0.0) + slots
        return tuple(
            MemberShare(member_id, slots_here[member_id] / slots_total[member_id], expires)
            for member_id in sorted(slots_here)
            if slots_here[member_id] > 0.0
        )


def _pools(rows_by_host: Mapping[HostId, tuple[MemberWork, ...]]) -> list[str]:
    """Return the pools in which any host has work."""
    return sorted({row.pool for rows in rows_by_host.values() for row in rows})


def _rows_of_pool(
    rows_by_host: Mapping[HostId, tuple[MemberWork, ...]], pool: str
) -> dict[HostId, list[MemberWork]]:
    """Return the rows of one pool, by host."""
    return {
        host_id: [row for row in rows if row.pool == pool] for host_id, rows in rows_by_host.items()
    }
