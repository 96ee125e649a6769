"""Messages between the scheduler and the shell that carries its commands out."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import (
    Attempt,
    EndpointId,
    Fingerprint,
    Incarnation,
    MemberId,
    ModelId,
    RequestId,
    ServiceId,
)
from lagoonwing_core.models import CapDimension as CapDimension


class Priority(Enum):
    """Priority that an engine is asked to honour."""

    SHORT = "short"
    NORMAL = "normal"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class ModelWork:
    """Work on a language model.

    Attributes:
        prompt_tokens: Estimated tokens of the prompt.
        photos: Photos in the prompt.
        max_tokens: Largest number of tokens to generate.
        prefix_hashes: Digests of growing prefixes of the prompt, the shortest first.
    """

    model_id: ModelId
    prompt_tokens: int
    photos: int
    max_tokens: int
    prefix_hashes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceWork:
    """One call of a plain service."""

    service_id: ServiceId
    method: str
    path: str


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """What the scheduler knows of a request.

    Attributes:
        deadline: Time on the runtime's clock, in seconds, after which an answer is of no use.
        idempotent: Whether a second run does no harm.
    """

    request_id: RequestId
    member_id: MemberId
    fingerprint: Fingerprint
    work: ModelWork | ServiceWork
    arrived: float
    deadline: float
    idempotent: bool


@dataclass(frozen=True, slots=True)
class RouteStage:
    """One endpoint of a route with the incarnation that was chosen."""

    endpoint_id: EndpointId
    incarnation: Incarnation


class RouteReason(Enum):
    """Why a route was chosen, for the log."""

    POLICY = "policy"
    SUSPECT_EXCLUSIVE = "suspect_alone"
    ONLY_EJECTED_LEFT = "only_ejected_left"


@dataclass(frozen=True, slots=True)
class Route:
    """Endpoints that run a request, in the order of their layers.

    Attributes:
        exclusive: Whether nothing else may run on these endpoints meanwhile.
        candidates: Endpoints that the choice was made from.
        reason: Rule that decided.
    """

    stages: tuple[RouteStage, ...]
    priority: Priority = Priority.NORMAL
    exclusive: bool = False
    candidates: int = field(default=0, compare=False)
    reason: RouteReason = field(default=RouteReason.POLICY, compare=False)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Command: run an attempt of a request on a route."""

    request_id: RequestId
    attempt: Attempt
    route: Route


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Command: answer `not_run`, or the failure that the last attempt left."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ReportSuspects:
    """Command: make suspects known to every entry host before any of them is retried.

    The shell calls `suspects_recorded` once the durable state holds them.
    """

    fingerprints: tuple[Fingerprint, ...]
    endpoint_id: EndpointId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class ClearSuspect:
    """Command: a suspect ran alone to its end; make that known."""

    fingerprint: Fingerprint


SchedulerCommand = StartAttempt | RefuseRequest | ReportSuspects | ClearSuspect


class Dispatch(Enum):
    """How far a failed attempt came."""

    NO_BYTE_SENT = "no_byte_sent"
    REFUSED_BEFORE_START = "refused_before_start"
    MAY_HAVE_RUN = "may_have_run"


@dataclass(frozen=True, slots=True)
class AttemptSucceeded:
    """The attempt gave its whole answer.

    Attributes:
        tokens: Tokens generated.
    """

    tokens: int


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt gave no whole answer.

    Attributes:
        stage: Endpoint that failed.
        endpoint_died: Whether the endpoint's process is held to have died: its connection
            was reset, closed in the middle or refused.
        bytes_reached_caller: Whether a part of the answer has reached the caller.
        resumable_tokens: Tokens already relayed, from which a new attempt may go on.
        retry_after: Seconds that the endpoint asked to wait.
    """

    stage: RouteStage
    dispatch: Dispatch
    endpoint_died: bool
    bytes_reached_caller: bool
    resumable_tokens: int
    refusal: Refusal
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """The caller has gone, or the deadline has passed, and the attempt was ended.

    Attributes:
        tokens: Tokens generated until then.
    """

    tokens: int


AttemptResult = AttemptSucceeded | AttemptFailed | AttemptCancelled


@dataclass(frozen=True, slots=True)
class AllotmentGrant:
    """Part of a member's cap that this entry host may use until `expires`.

    Attributes:
        amount: Requests at once, requests a second or tokens a second.
        expires: Time on the entry's clock, counted from before the grant was asked for.
    """

    member_id: MemberId
    dimension: CapDimension
    amount: float
    expires: float


@dataclass(frozen=True, slots=True)
class MemberDemand:
    """What this entry host would like of a member's cap.

    Attributes:
        used: Amount in use now, which can't be given back yet.
        wanted: Amount that would serve the queue, `used` included.
    """

    member_id: MemberId
    dimension: CapDimension
    used: float
    wanted: float


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Load that an endpoint reports of itself; late, so no more than a hint."""

    endpoint_id: EndpointId
    running: int
    queued: int
    kv_tokens_used: int
    reported: float
