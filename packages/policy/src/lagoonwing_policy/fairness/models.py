"""Policies of order and of long work, and the cluster's view of a member's work."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_core.ids import MemberId


@dataclass(frozen=True, slots=True)
class FirstComeFirstServed:
    """Requests start in the order of their arrival."""


@dataclass(frozen=True, slots=True)
class WeightedFair:
    """Members share capacity by weight, in tokens of work; classes share within a member.

    Attributes:
        short_weight: Weight of short work within its member.
        normal_weight: Weight of the work between short and long.
        long_weight: Weight of long work.
        ageing_s: Wait after which the head of a class goes before the member's other classes,
            once in as long a time.
        headroom_share: Share of the slots that is kept free of members with a lasting backlog.
        persistent_backlog_s: Time after which a member's backlog counts as lasting.
    """

    short_weight: float = 8.0
    normal_weight: float = 4.0
    long_weight: float = 1.0
    ageing_s: float = 5.0
    headroom_share: float = 0.05
    persistent_backlog_s: float = 0.5


QueuePolicy = FirstComeFirstServed | WeightedFair


@dataclass(frozen=True, slots=True)
class MixedWork:
    """Long work may take every slot."""


@dataclass(frozen=True, slots=True)
class BoundedLongWork:
    """Long work takes no more than a share of the slots of each endpoint and pool.

    Attributes:
        slot_share: Largest share of slots for long work.
        overrun_factor: Running work that generated this many times what was expected of it
            is judged again by what it has cost.
    """

    slot_share: float = 0.7
    overrun_factor: float = 2.0


LongWorkPolicy = MixedWork | BoundedLongWork


@dataclass(frozen=True, slots=True)
class MemberShare:
    """Part of a member's work in the whole cell that sits at this entry host.

    Attributes:
        share: From 0 to 1; the member's weight is multiplied by it.
        expires: Time on the entry's clock after which the share counts as 1 again.
    """

    member_id: MemberId
    share: float
    expires: float
