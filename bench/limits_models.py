"""Models of the `bench.limits_bench` simulation."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from lagoonwing_core.ids import (
    AgreementId,
    EndpointId,
    FailureDomainId,
    Incarnation,
    MemberId,
    ModelId,
    Revision,
)
from lagoonwing_core.models import (
    Agreement,
    EndpointKind,
    EndpointRecord,
    EndpointState,
    EntityState,
    Member,
)
from lagoonwing_policy.models import (
    Priority,
    StartAttempt,
)

MODEL = ModelId("m")
TICK_S = 0.01
LOAD_REPORT_S = 0.2
ALLOTMENT_S = 0.1
LEASE_S = 1.0
PROGRESS_S = 0.1
PREFILL_TOKENS_PER_S = 5000.0
SPEEDS_TOKENS_PER_S = (400.0, 800.0, 1600.0)
SLOTS = 8


@dataclass(slots=True)
class Job:
    """One request and its progress; times in seconds, `None` if not reached."""

    name: str
    member: str
    arrived: float
    prompt: int
    output: int
    max_tokens: int
    entry: int
    deadline_s: float
    is_long: bool
    started: float | None = None
    first_token: float | None = None
    finished: float | None = None
    refused: int | None = None


@dataclass(slots=True)
class Running:
    """A started job."""

    job: Job
    start: StartAttempt
    relayed: int = 0


@dataclass(slots=True)
class Engine:
    """Endpoint with slots, a speed per slot and a priority queue."""

    record: EndpointRecord
    running: int = 0
    queue: dict[Priority, deque[Running]] = field(
        default_factory=lambda: {priority: deque() for priority in Priority}
    )
    busy_s: float = 0.0

    @property
    def slot_speed(self) -> float:
        """Return the tokens per second of one slot."""
        return self.record.tokens_per_s / self.record.slots

    def queued(self) -> int:
        """Return the number of jobs queued in the engine."""
        return sum(len(queue) for queue in self.queue.values())


@dataclass(frozen=True, slots=True)
class MemberPlan:
    """A member of the workload; `concurrency` is its cap."""

    name: str
    weight: float
    concurrency: int | None = None


def make_endpoints(count: int, slots: int = SLOTS) -> list[EndpointRecord]:
    """Return endpoints of three speeds in three failure domains."""
    return [
        EndpointRecord(
            endpoint_id=EndpointId(f"e{number:03}"),
            incarnation=Incarnation(1),
            sequence=1,
            state=EndpointState.SERVING,
            kind=EndpointKind.WHOLE_MODEL,
            address="127.0.0.1",
            port=number + 1,
            failure_domain=FailureDomainId(f"d{number % 3}"),
            models=(MODEL,),
            slots=slots,
            tokens_per_s=SPEEDS_TOKENS_PER_S[number // 3 % 3],
            honours_priority=True,
        )
        for number in range(count)
    ]


def make_agreements(members: Iterable[MemberPlan]) -> tuple[list[Agreement], list[Member]]:
    """Return the agreements and members of a workload."""
    agreements, known = [], []
    for plan in members:
        agreements.append(
            Agreement(
                agreement_id=AgreementId(plan.name),
                member_id=MemberId(plan.name),
                weight=plan.weight,
                max_concurrency=plan.concurrency,
                max_requests_per_s=None,
                max_tokens_per_s=None,
                state=EntityState.ACTIVE,
                revision=Revision(1),
            )
        )
        known.append(
            Member(
                member_id=MemberId(plan.name),
                name=plan.name,
                key_hashes=(),
                state=EntityState.ACTIVE,
                revision=Revision(1),
            )
        )
    return agreements, known
