"""Messages and results of the division of capacity among entry hosts."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from lagoonwing_core.ids import MemberId
from lagoonwing_policy.fairness.models import MemberShare


class MemberWork(msgspec.Struct, frozen=True, array_like=True):
    """Work of one member in one pool at one entry host.

    Attributes:
        pool: Key of the endpoints that serve the work.
        requests: Requests that run or wait.
        weight: Weight of the member's agreement.
    """

    pool: str
    member_id: MemberId
    requests: float
    weight: float


class WorkNews(msgspec.Struct, frozen=True, array_like=True, tag="work_news"):
    """Push: all work at the sending entry host."""

    rows: tuple[MemberWork, ...]


@dataclass(frozen=True, slots=True)
class CapacitySpan:
    """Part of a pool's slots that one entry host may use, as a span from 0 to 1.

    Spans of the hosts join without a gap, so that hosts with the same news round the slots of
    each endpoint to whole ones whose sum is right.
    """

    start: float
    end: float

    @property
    def size(self) -> float:
        """Share of the slots."""
        return self.end - self.start


@dataclass(frozen=True, slots=True)
class Shares:
    """What this entry host may use now.

    Attributes:
        span_by_pool: Part of each pool in which anybody has work.
        even_span: Part of every other pool.
        member_shares: Part of each member's allotted capacity that is used here.
    """

    span_by_pool: dict[str, CapacitySpan]
    even_span: CapacitySpan
    member_shares: tuple[MemberShare, ...]
