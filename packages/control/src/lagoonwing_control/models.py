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
    StoredResponse,
    StoreOutcome,
    TakeClaim,
)


class EntityKind(IntEnum):
    """Kind of a replicated entity."""

    MEMBER = 1
    AGREEMENT = 2
    CONFIGURATION = 3
    STOP = 4
    QUARANTINE = 5


class PutMember(msgspec.Struct, frozen=True, tag="put_member"):
    """Creates or updates a member."""

    member_id: MemberId
    name: str
    key_hashes: tuple[str, ...]


class PutAgreement(msgspec.Struct, frozen=True, tag="put_agreement"):
    """Creates or updates an agreement."""

    agreement_id: AgreementId
    member_id: MemberId
    weight: float
    max_concurrency: int | None
    max_requests_per_s: float | None
    max_tokens_per_s: float | None


class SetConfiguration(msgspec.Struct, frozen=True, tag="set_configuration"):
    """Sets one configuration key."""

    key: str
    value: str


class OrderStop(msgspec.Struct, frozen=True, tag="order_stop"):
    """Orders a planned stop."""

    stop_id: StopId
    target: StopTarget
    target_id: str


class Retire(msgspec.Struct, frozen=True, tag="retire"):
    """Retires a member or agreement, cancels a stop, or clears a quarantine."""

    kind: EntityKind
    entity_id: str


Change = PutMember | PutAgreement | SetConfiguration | OrderStop | Retire


class OperatorChange(msgspec.Struct, frozen=True, tag="operator_change"):
    """A change requested by an operator.

    Attributes:
        expected: Required current revision of the entity; 0 if it must not exist.
    """

    operator: str
    change_id: ChangeId
    expected: Revision
    change: Change


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """A claim requested by an entry host."""

    host_id: HostId
    claim: TakeClaim


class Allotment(msgspec.Struct, frozen=True, array_like=True):
    """Upper bound on the share of one cap that an entry host may be using."""

    host_id: HostId
    member_id: MemberId
    dimension: CapDimension
    amount: float


class SetAllotments(msgspec.Struct, frozen=True, tag="set_allotments"):
    """Sets allotments; an amount of 0 removes the allotment."""

    term: Term
    allotments: tuple[Allotment, ...]


class RegisterEntry(msgspec.Struct, frozen=True, tag="register_entry"):
    """Registers an entry host that follows the control state."""

    host_id: HostId
    incarnation: Incarnation


class ForgetEntry(msgspec.Struct, frozen=True, tag="forget_entry"):
    """Removes an entry host whose leases have expired and whose requests have ended."""

    host_id: HostId
    incarnation: Incarnation


class MarkStopSafe(msgspec.Struct, frozen=True, tag="mark_stop_safe"):
    """Records that the target of a planned stop has drained."""

    stop_id: StopId
    ordered: Revision


class TakeFencing(msgspec.Struct, frozen=True, tag="take_fencing"):
    """Allocates the next fencing number of a scope."""

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
        stamp_ms: Time of the proposer in milliseconds since the epoch.
    """

    stamp_ms: int
    commands: tuple[Command, ...]


class ChangeAccepted(msgspec.Struct, frozen=True, tag="change_accepted"):
    """Result: the change was applied at `revision`.

    Attributes:
        replayed: Whether this is the recorded result of an earlier call.
    """

    revision: Revision
    entity: Entity | None = None
    replayed: bool = False


class FencingTaken(msgspec.Struct, frozen=True, tag="fencing_taken"):
    """Result: a number greater than all previously allocated in its scope."""

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
    """One accepted change of a replicated entity."""

    revision: Revision
    entity: Entity


class ClaimRecord(msgspec.Struct, frozen=True):
    """Stored state of an idempotency claim.

    Attributes:
        released: Whether the holder released it without running the request.
        answer: Answer to the request once it is known.
        touched_ms: Replicated clock at the last update.
    """

    member_id: MemberId
    key: IdempotencyKey
    fingerprint: Fingerprint
    request_id: RequestId
    host_id: HostId
    touched_ms: int
    released: bool = False
    answer: StoredResponse | None = None


class ChangeRecord(msgspec.Struct, frozen=True):
    """First result returned for a change id."""

    operator: str
    change_id: ChangeId
    stamp_ms: int
    digest: bytes
    result: ChangeAccepted | Refused
