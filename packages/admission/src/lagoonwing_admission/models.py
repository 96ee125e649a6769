"""Work that waits, policies of queues and admission, and the verdicts of the admission check."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType, Protocol

from lagoonwing_core.ids import MemberId

# Identifies one attempt of a caller while it waits; a request id or an attempt id.
WorkId = NewType("WorkId", str)


class CostClass(Enum):
    """Cost of a request relative to the other requests of its service."""

    SHORT = "short"
    NORMAL = "normal"
    LONG = "long"


class QueuedWork(Protocol):
    """A request as the queues see it; none of its properties may change while it waits."""

    @property
    def work_id(self) -> WorkId:
        """Return the id, unique in its queue."""

    @property
    def member_id(self) -> MemberId:
        """Return the member that is charged."""

    @property
    def rank(self) -> int:
        """Return the rank; lower ranks start first."""

    @property
    def cost_class(self) -> CostClass:
        """Return the cost class, which has a weight within the member."""

    @property
    def cost(self) -> float:
        """Return the expected cost, in tokens."""

    @property
    def start_charge(self) -> float:
        """Return the part of the cost that is charged to the member at the start."""

    @property
    def enqueued(self) -> float:
        """Return the time of arrival in the queue."""

    @property
    def due(self) -> float:
        """Return the time by which work of one class is ordered.

        At the gateway this is the time of the caller's first attempt plus its objective, at the
        entry host the time of arrival.
        """

    @property
    def latest_start(self) -> float:
        """Return the time after which a start is of no use to the caller."""


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
class BoundedQueue:
    """Refuses requests only when the queue is full.

    Attributes:
        max_requests: Maximum number of queued requests.
    """

    max_requests: int = 4096


@dataclass(frozen=True, slots=True)
class EarlyRefusal:
    """Refuses requests immediately that can't be answered in time.

    Attributes:
        max_requests: Maximum number of queued requests.
        max_tokens: Maximum number of queued tokens, prompt and expected output.
        min_member_requests: Requests that every member may queue while the queue has room.
        free_share: Share of the remaining room in the queue that one member may take.
        max_wait_s: Longest expected wait with which a request is queued.
        wait_margin: Factor of the expected wait in the comparison with the latest start.
    """

    max_requests: int = 4096
    max_tokens: float = 8_000_000.0
    min_member_requests: int = 4
    free_share: float = 0.5
    max_wait_s: float = 60.0
    wait_margin: float = 1.0


AdmissionPolicy = BoundedQueue | EarlyRefusal


@dataclass(frozen=True, slots=True)
class WaitingRoomSettings:
    """Policies of one service's waiting room.

    Attributes:
        queue: Order in which waiting requests start.
        admission: Which requests are refused instead of queued. Returned callers, which may
            take half of the capacity, go before a new request, hence the margin of 2: without it
            45 in 100 requests of a rank at its limit waited until their latest start in vain.
    """

    queue: QueuePolicy = field(
        default_factory=lambda: WeightedFair(
            short_weight=4.0, normal_weight=2.0, long_weight=1.0, ageing_s=1.0
        )
    )
    admission: AdmissionPolicy = field(default_factory=lambda: EarlyRefusal(wait_margin=2.0))


class RejectReason(Enum):
    """Why a request is refused on arrival."""

    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    WAIT_TOO_LONG = "wait_too_long"


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may wait.

    Attributes:
        expected_wait_s: Estimated queueing time; 0 while the rate is unknown.
    """

    expected_wait_s: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request is to be refused now.

    Attributes:
        expected_wait_s: Estimated queueing time; 0 while the rate is unknown.
    """

    reason: RejectReason
    expected_wait_s: float


Verdict = Admitted | Rejected
