"""Inputs and commands of the scheduler."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from lagoonwing_admission.models import CostClass
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

# Priority that is passed to the engine.
Priority = CostClass


@dataclass(frozen=True, slots=True)
class ModelWork:
    """Inference request to a language model.

    Attributes:
        prompt_tokens: Estimated number of prompt tokens.
        images: Number of images in the prompt.
        max_tokens: Maximum number of tokens to generate.
        prefix_hashes: Digests of prefixes of the prompt of increasing length.
    """

    model_id: ModelId
    prompt_tokens: int
    images: int
    max_tokens: int
    prefix_hashes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceWork:
    """One call of an HTTP service that is not a model."""

    service_id: ServiceId
    method: str
    path: str


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """Properties of a request that the scheduler uses.

    Attributes:
        deadline: Time on the runtime's clock, in seconds, after which the answer is useless.
        idempotent: Whether the request may be executed more than once.
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
    """One endpoint of a route, with its incarnation at the time of the choice."""

    endpoint_id: EndpointId
    incarnation: Incarnation


class RouteReason(Enum):
    """Why a route was chosen, for the log."""

    POLICY = "policy"
    SUSPECT_EXCLUSIVE = "suspect_alone"
    ONLY_EJECTED_LEFT = "only_ejected_left"


@dataclass(frozen=True, slots=True)
class Route:
    """Endpoints that run a request, in layer order.

    Attributes:
        exclusive: Whether no other attempt may run on these endpoints at the same time.
        candidates: Number of endpoints of the pool.
        reason: Rule that determined the route.
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
    """Command: answer with outcome `not_run`, or with the failure of the last attempt."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ReportSuspects:
    """Command: record suspects in the replicated state before any of them is retried.

    The caller invokes `suspects_recorded` once they are stored.
    """

    fingerprints: tuple[Fingerprint, ...]
    endpoint_id: EndpointId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class ClearSuspect:
    """Command: record that a suspect completed alone and is no longer a suspect."""

    fingerprint: Fingerprint


SchedulerCommand = StartAttempt | RefuseRequest | ReportSuspects | ClearSuspect


class Dispatch(Enum):
    """How far a failed attempt got."""

    NO_BYTE_SENT = "no_byte_sent"
    REFUSED_BEFORE_START = "refused_before_start"
    MAY_HAVE_RUN = "may_have_run"


@dataclass(frozen=True, slots=True)
class AttemptSucceeded:
    """The attempt completed.

    Attributes:
        tokens: Number of generated tokens.
    """

    tokens: int


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt ended without a complete answer.

    Attributes:
        stage: Endpoint that failed.
        endpoint_crashed: Whether the endpoint is assumed to have crashed: its connection was
            refused, reset or closed in the middle of the answer.
        bytes_reached_caller: Whether part of the answer has reached the caller.
        resumable_tokens: Number of relayed tokens from which a new attempt can continue.
        retry_after: Delay in seconds that the endpoint asked for.
    """

    stage: RouteStage
    dispatch: Dispatch
    endpoint_crashed: bool
    bytes_reached_caller: bool
    resumable_tokens: int
    refusal: Refusal
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """The attempt was cancelled: the caller disconnected or the deadline passed.

    Attributes:
        tokens: Number of tokens generated until then.
    """

    tokens: int


AttemptResult = AttemptSucceeded | AttemptFailed | AttemptCancelled


@dataclass(frozen=True, slots=True)
class AllotmentGrant:
    """Part of a member's cap that this entry host may use until `expires`.

    Attributes:
        amount: Concurrent requests, requests per second or tokens per second.
        expires: Time on this host's clock; the lease is counted from before the request for
            the grant was sent.
    """

    member_id: MemberId
    dimension: CapDimension
    amount: float
    expires: float


@dataclass(frozen=True, slots=True)
class MemberDemand:
    """Demand of this entry host for part of a member's cap.

    Attributes:
        used: Amount in use, which can't be released yet.
        wanted: Amount that would serve all current demand, including `used`.
    """

    member_id: MemberId
    dimension: CapDimension
    used: float
    wanted: float


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Load reported by an endpoint; delayed, so used only as a hint."""

    endpoint_id: EndpointId
    running: int
    queued: int
    kv_tokens_used: int
    reported: float
