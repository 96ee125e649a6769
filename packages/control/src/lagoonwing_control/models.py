"""Commands of the replicated log, their results and the entities that they change."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from lagoonwing_core.ids import (
    AgreementId,
    ChangeId,
    Fingerprint,
    HostId,
    IdempotencyKey,
    Incarnation,
    MemberId,
    RequestId,
    Revision,
    StopId,
    Term,
)
from lagoonwing_core.models import CapDimension, Entity, StopTarget
from lagoonwing_wire.control_messages import (
    ClaimGranted,
    ClaimInProgress,
    ClaimMismatch,
    ClaimReplay,
    ClearSuspect,
    Done,
    Refused,
    ReleaseClaim,
    ReportSuspects,
    StoredAnswer,
    StoreOutcome,
    TakeClaim,
)


class EntityKind(IntEnum):
    """Kind of an entity that followers see."""

    MEMBER = 1
    AGREEMENT = 2
    CONFIGURATION = 3
    STOP = 4
    QUARANTINE = 5


class PutMember(msgspec.Struct, frozen=True, tag="put_member"):
    """Create or change a member."""

    member_id: MemberId
    name: str
    key_hashes: tuple[str, ...]


class PutAgreement(msgspec.Struct, frozen=True, tag="put_agreement"):
    """Create or change an agreement."""

    agreement_id: AgreementId
    member_id: MemberId
    weight: float
    max_concurrency: int | None
    max_requests_per_s: float | None
    max_tokens_per_s: float | None


class SetConfiguration(msgspec.Struct, frozen=True, tag="set_configuration"):
    """Set one key of the configuration."""

    key: str
    value: str


class OrderStop(msgspec.Struct, frozen=True, tag="order_stop"):
    """Order a planned stop."""

    stop_id: StopId
    target: StopTarget
    target_id: str


class Retire(msgspec.Struct, frozen=True, tag="retire"):
    """Retire a member or agreement, cancel a stop, or clear a quarantine."""

    kind: EntityKind
    entity_id: str


Change = PutMember | PutAgreement | SetConfiguration | OrderStop | Retire


class OperatorChange(msgspec.Struct, frozen=True, tag="operator_change"):
    """A change asked for by an operator.

    Attributes:
        expected: Revision that the entity must have; 0 if it must not exist.
    """

    operator: str
    change_id: ChangeId
    expected: Revision
    change: Change


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """A claim asked for by an entry host."""

    host_id: HostId
    claim: TakeClaim


class Allotment(msgspec.Struct, frozen=True, array_like=True):
    """Largest amount that an entry host may believe it holds of one cap."""

    host_id: HostId
    member_id: MemberId
    dimension: CapDimension
    amount: float


class SetAllotments(msgspec.Struct, frozen=True, tag="set_allotments"):
    """Replace amounts; an amount of 0 removes the allotment."""

    term: Term
    allotments: tuple[Allotment, ...]


class RegisterEntry(msgspec.Struct, frozen=True, tag="register_entry"):
    """Note an entry host that follows this state."""

    host_id: HostId
    incarnation: Incarnation


class ForgetEntry(msgspec.Struct, frozen=True, tag="forget_entry"):
    """Drop an entry host that has been silent past every lease and request."""

    host_id: HostId
    incarnation: Incarnation


class MarkStopSafe(msgspec.Struct, frozen=True, tag="mark_stop_safe"):
    """Note that nothing runs on a stop's target any more."""

    stop_id: StopId
    ordered: Revision


class TakeFencing(msgspec.Struct, frozen=True, tag="take_fencing"):
    """Take the next fencing number of a scope."""

    scope: str


Command = (
    OperatorChange
    | Claim
    | StoreOutcome
    | ReleaseClaim
    | SetAllotments
    | RegisterEntry
    | ForgetEntry
    | MarkStopSafe
    | ReportSuspects
    | ClearSuspect
    | TakeFencing
)


class Batch(msgspec.Struct, frozen=True):
    """One entry of the replicated log.

    Attributes:
        stamp_ms: Proposer's time since the epoch.
    """

    stamp_ms: int
    commands: tuple[Command, ...]


class ChangeAccepted(msgspec.Struct, frozen=True, tag="change_accepted"):
    """Result: the change is in the durable state as `revision`.

    Attributes:
        replayed: Whether this is the kept answer of an earlier call.
    """

    revision: Revision
    entity: Entity | None = None
    replayed: bool = False


class FencingTaken(msgspec.Struct, frozen=True, tag="fencing_taken"):
    """Result: a number above all given out before in its scope."""

    number: int


CommandResult = (
    ChangeAccepted
    | FencingTaken
    | Refused
    | Done
    | ClaimGranted
    | ClaimReplay
    | ClaimInProgress
    | ClaimMismatch
)


class HistoryEvent(msgspec.Struct, frozen=True):
    """One accepted change that followers see."""

    revision: Revision
    entity: Entity


class ClaimRecord(msgspec.Struct, frozen=True):
    """A claim as it is kept.

    Attributes:
        released: Whether the holder gave it up without running the request.
        answer: Answer of the request once it is known.
        touched_ms: Accepted time of the last change.
    """

    member_id: MemberId
    key: IdempotencyKey
    fingerprint: Fingerprint
    request_id: RequestId
    host_id: HostId
    touched_ms: int
    released: bool = False
    answer: StoredAnswer | None = None


class ChangeRecord(msgspec.Struct, frozen=True):
    """First answer given to a change id."""

    operator: str
    change_id: ChangeId
    stamp_ms: int
    digest: bytes
    result: ChangeAccepted | Refused
