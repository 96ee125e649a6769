"""Settings and messages of the entry host."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import (
    Attempt,
    EndpointId,
    FailureDomainId,
    HostId,
    IdempotencyKey,
    ModelId,
    RequestId,
    ServiceId,
)
from lagoonwing_core.models import EndpointRecord, LayerRange
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_policy.models import Dispatch, Priority


@dataclass(frozen=True, slots=True)
class CallerServerSettings:
    """Settings of the callers' HTTP server.

    Attributes:
        max_body_bytes: Largest body of a request.
        max_held_bytes: Bytes of all bodies together, from their arrival to their answers.
        body_timeout_s: Time in which a body must have arrived.
        write_timeout_s: Time after which a caller that reads nothing is held to be gone.
        max_connections: Connections held open at once.
        max_open_requests: Requests accepted at once, running or waiting.
        default_deadline_s: Deadline of a request that names none.
        max_deadline_s: Longest deadline that a request may name.
    """

    address: str
    port: int
    max_body_bytes: int = 8 * 1024 * 1024
    max_held_bytes: int = 256 * 1024 * 1024
    body_timeout_s: float = 10.0
    write_timeout_s: float = 10.0
    max_connections: int = 10_000
    max_open_requests: int = 8192
    default_deadline_s: float = 300.0
    max_deadline_s: float = 3600.0


@dataclass(frozen=True, slots=True)
class AnnounceServerSettings:
    """Settings of the endpoints' announce server.

    Attributes:
        key_hashes: SHA-256 digests, in hexadecimal, of the keys that endpoints prove.
        entries: Announce addresses, `host:port`, of every entry host, told to endpoints.
    """

    address: str
    port: int
    key_hashes: frozenset[str]
    entries: tuple[str, ...] = ()
    renew_after_s: float = 0.8
    max_body_bytes: int = 64 * 1024
    max_held_bytes: int = 16 * 1024 * 1024
    body_timeout_s: float = 5.0
    max_connections: int = 10_000


@dataclass(frozen=True, slots=True)
class AdapterSettings:
    """Limits of the calls to endpoints.

    Attributes:
        idle_timeout_s: Longest silence in the middle of an answer.
        first_byte_timeout_s: Longest wait for the begin of an answer.
        max_answer_bytes: Largest answer of a service, and of one stage step.
        max_idle_connections: Idle connections kept per endpoint.
    """

    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 20.0
    first_byte_timeout_s: float = 120.0
    step_timeout_s: float = 20.0
    max_answer_bytes: int = 8 * 1024 * 1024
    max_idle_connections: int = 64
    report_timeout_s: float = 1.0


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry host.

    Attributes:
        incarnation: Start time of the process in milliseconds; part of each request id.
        tick_s: Period of the scheduler's tick.
        membership_tick_s: Period of membership's tick.
        allotment_period_s: Period in which shares of caps are asked for.
        stop_report_period_s: Period in which in-flight counts of planned stops are reported.
        report_period_s: Shortest period in which an endpoint's load and cache are asked for.
        claim_timeout_s: Longest wait for an answer on a claim.
    """

    host_id: HostId
    failure_domain: FailureDomainId
    incarnation: int
    caller: CallerServerSettings
    announce: AnnounceServerSettings
    adapter: AdapterSettings = field(default_factory=AdapterSettings)
    tick_s: float = 0.01
    membership_tick_s: float = 0.05
    allotment_period_s: float = 0.2
    stop_report_period_s: float = 0.5
    report_period_s: float = 1.0
    claim_timeout_s: float = 5.0
    control_timeout_s: float = 2.0


class CompletionKind(Enum):
    """Which of the two OpenAI calls."""

    CHAT = "chat"
    TEXT = "text"


@dataclass(frozen=True, slots=True)
class ModelCall:
    """A completion as the caller asked for it.

    Attributes:
        prompt: Text of the prompt; a chat's messages are joined.
        max_tokens: Limit named by the caller; 0 if none.
        fields: The caller's body by field, passed on to whole-model endpoints.
    """

    kind: CompletionKind
    model_id: ModelId
    prompt: str
    photos: int
    max_tokens: int
    stream: bool
    fields: dict[str, msgspec.Raw]


@dataclass(frozen=True, slots=True)
class ServiceCallBody:
    """A plain call as the caller asked for it.

    Attributes:
        path: Path below the service, with the query.
        key: Idempotency key, for calls that may run only once.
    """

    service_id: ServiceId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: IdempotencyKey | None = None


@dataclass(frozen=True, slots=True)
class Target:
    """An endpoint's process that a dispatch goes to."""

    record: EndpointRecord

    @property
    def endpoint_id(self) -> EndpointId:
        """Id of the endpoint."""
        return self.record.endpoint_id


@dataclass(frozen=True, slots=True)
class DispatchId:
    """What every answer must echo."""

    request_id: RequestId
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Token:
    """One generated token."""

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class TokenBatch:
    """Tokens that arrived together.

    Attributes:
        finish_reason: Why generation ended, in the last batch.
    """

    tokens: tuple[Token, ...]
    finish_reason: str | None = None


@dataclass(frozen=True, slots=True)
class CompletionCall:
    """Dispatch of a completion to a whole-model endpoint.

    Attributes:
        first_token: Index of the first token wanted; above 0 the answer is resumed.
        text: Text of the tokens before it.
    """

    dispatch_id: DispatchId
    priority: Priority
    call: ModelCall
    first_token: int
    text: str


@dataclass(frozen=True, slots=True)
class StageStep:
    """Dispatch of one token to one stage."""

    dispatch_id: DispatchId
    token: int
    layers: LayerRange
    state: msgspec.Raw


@dataclass(frozen=True, slots=True)
class StageReplay:
    """Order to rebuild a stage's KV cache."""

    dispatch_id: DispatchId
    layers: LayerRange
    prompt: str
    max_tokens: int
    tokens: tuple[str, ...]


class LoadReport(msgspec.Struct, frozen=True):
    """Load as an endpoint reports it."""

    running: int
    queued: int
    kv_tokens_used: int


class CacheEvent(msgspec.Struct, frozen=True):
    """Change of an endpoint's prefix cache; numbers rise by one, but some never come."""

    number: int
    prefix: str
    held: bool


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Whole answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Finished:
    """How a request ended.

    Attributes:
        refusal: Why it did not end well, if so.
        answer: Answer of a plain service.
        finish_reason: Why a model stopped to generate.
    """

    outcome: Outcome
    code: ResultCode
    refusal: Refusal | None = None
    answer: ServiceAnswer | None = None
    finish_reason: str = "stop"


@dataclass(frozen=True, slots=True)
class DispatchFailure:
    """Why a dispatch gave no whole answer.

    Attributes:
        endpoint_died: Whether the connection was refused, reset or closed in the middle.
    """

    dispatch: Dispatch
    refusal: Refusal
    endpoint_died: bool = False
    retry_after: float | None = None
