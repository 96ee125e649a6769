"""Long-work policies, and a member's share of work at this host."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_core.ids import MemberId


@dataclass(frozen=True, slots=True)
class UnboundedLongWork:
    """Long work may use all slots."""


@dataclass(frozen=True, slots=True)
class BoundedLongWork:
    """Long work may use only a share of the slots of each endpoint and pool.

    Attributes:
        slot_share: Maximum share of slots for long work.
        overrun_factor: Running work is classified again once it has generated this multiple
            of its expected output.
    """

    slot_share: float = 0.7
    overrun_factor: float = 2.0


LongWorkPolicy = UnboundedLongWork | BoundedLongWork


@dataclass(frozen=True, slots=True)
class MemberShare:
    """Share of a member's work in the cluster that is at this entry host.

    Attributes:
        share: From 0 to 1; the member's weight is multiplied by it.
        expires: Time on this host's clock after which the share counts as 1.
    """

    member_id: MemberId
    share: float
    expires: float
