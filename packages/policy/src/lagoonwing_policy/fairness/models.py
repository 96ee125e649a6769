"""Queue policies, long-work policies, and a member's share of work at this host."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_core.ids import MemberId


@dataclass(frozen=True, slots=True)
class FirstComeFirstServed:
    """Requests start in order of arrival."""


@dataclass(frozen=True, slots=True)
class WeightedFair:
    """Members share capacity by weight, measured in tokens; classes share within a member.

    Attributes:
        short_weight: Weight of short work within its member.
        normal_weight: Weight of work between short and long.
        long_weight: Weight of long work.
        ageing_s: Waiting time after which the head of a class precedes the member's other
            classes, at most once per class in this time.
        headroom_share: Share of the slots that members with a persistent backlog can't use.
        persistent_backlog_s: Time after which a member's backlog counts as persistent.
    """

    short_weight: float = 8.0
    normal_weight: float = 4.0
    long_weight: float = 1.0
    ageing_s: float = 5.0
    headroom_share: float = 0.05
    persistent_backlog_s: float = 0.5


QueuePolicy = FirstComeFirstServed | WeightedFair


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
