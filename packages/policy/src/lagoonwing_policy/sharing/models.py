"""Work reports and shares of entry hosts."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from lagoonwing_core.ids import MemberId
from lagoonwing_policy.fairness.models import MemberShare


class MemberWork(msgspec.Struct, frozen=True, array_like=True):
    """Work of one member in one pool at one entry host.

    Attributes:
        pool: Key of the pool.
        requests: Number of running and queued requests.
        weight: Weight of the member's agreement.
    """

    pool: str
    member_id: MemberId
    requests: float
    weight: float


class WorkReport(msgspec.Struct, frozen=True, array_like=True, tag="work_news"):
    """Push message: all work at the sending entry host."""

    rows: tuple[MemberWork, ...]


@dataclass(frozen=True, slots=True)
class CapacitySpan:
    """Part of a pool's slots that one entry host may use, as an interval within [0, 1].

    The spans of all hosts are adjacent, so that hosts with the same reports round the slots of
    each endpoint to integers with the correct sum.
    """

    start: float
    end: float

    @property
    def size(self) -> float:
        """Share of the slots."""
        return self.end - self.start


@dataclass(frozen=True, slots=True)
class Shares:
    """Shares of this entry host.

    Attributes:
        span_by_pool: Span of each pool in which any host has work.
        even_span: Span of every other pool.
        member_shares: Share of each member's slots that is at this host.
    """

    span_by_pool: dict[str, CapacitySpan]
    even_span: CapacitySpan
    member_shares: tuple[MemberShare, ...]
