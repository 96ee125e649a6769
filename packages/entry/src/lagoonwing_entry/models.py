"""Settings, request models and dispatch models of the entry host."""

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
    """Settings of the HTTP server for callers.

    Attributes:
        max_body_bytes: Maximum size of a request body.
        max_buffered_bytes: Maximum total size of the request bodies that are buffered at once.
        body_timeout_s: Time within which a request body must arrive.
        write_timeout_s: Time after which a caller that reads nothing is considered disconnected.
        max_connections: Maximum number of open connections.
        max_open_requests: Maximum number of requests that are queued or running.
        default_deadline_s: Deadline of a request that does not specify one.
        max_deadline_s: Longest deadline that a request may specify.
    """

    address: str
    port: int
    max_body_bytes: int = 8 * 1024 * 1024
    max_buffered_bytes: int = 256 * 1024 * 1024
    body_timeout_s: float = 10.0
    write_timeout_s: float = 10.0
    max_connections: int = 10_000
    max_open_requests: int = 8192
    default_deadline_s: float = 300.0
    max_deadline_s: float = 3600.0


@dataclass(frozen=True, slots=True)
class AnnounceServerSettings:
    """Settings of the HTTP server that receives endpoint announcements.

    Attributes:
        key_hashes: SHA-256 digests, in hexadecimal, of the accepted endpoint keys.
        entries: Announce addresses (`host:port`) of all entry hosts, returned to endpoints.
    """

    address: str
    port: int
    key_hashes: frozenset[str]
    entries: tuple[str, ...] = ()
    renew_after_s: float = 0.8
    max_body_bytes: int = 64 * 1024
    max_buffered_bytes: int = 16 * 1024 * 1024
    body_timeout_s: float = 5.0
    max_connections: int = 10_000


@dataclass(frozen=True, slots=True)
class AdapterSettings:
    """Limits of requests to endpoints.

    Attributes:
        idle_timeout_s: Maximum time between two chunks of a response.
        first_byte_timeout_s: Maximum wait for the response headers.
        max_response_bytes: Maximum size of a service response, of one stage step response and of
            the text of a completion.
        max_held_response_bytes: Maximum total size of the responses that are held at once.
        max_idle_connections: Maximum number of idle connections kept per endpoint.
    """

    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 20.0
    first_byte_timeout_s: float = 120.0
    step_timeout_s: float = 20.0
    max_response_bytes: int = 8 * 1024 * 1024
    max_held_response_bytes: int = 64 * 1024 * 1024
    max_idle_connections: int = 64
    report_timeout_s: float = 1.0


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry host.

    Attributes:
        incarnation: Start time of the process in milliseconds; part of every request id.
        tick_s: Interval between scheduler ticks.
        membership_tick_s: Interval between membership ticks.
        allotment_period_s: Interval between requests for allotments of the members' limits.
        stop_report_period_s: Interval between reports of in-flight counts for planned stops.
        report_period_s: Minimum interval between two polls of an endpoint's load and cache events.
        claim_timeout_s: Maximum wait for the decision on a claim.
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
    """OpenAI completion API that was called."""

    CHAT = "chat"
    TEXT = "text"


@dataclass(frozen=True, slots=True)
class ModelCall:
    """Completion as requested by the caller.

    Attributes:
        prompt: Text of the prompt; chat messages are joined with newlines.
        max_tokens: Token limit requested by the caller; 0 if none.
        fields: Fields of the caller's body, forwarded to whole-model endpoints.
    """

    kind: CompletionKind
    model_id: ModelId
    prompt: str
    images: int
    max_tokens: int
    stream: bool
    fields: dict[str, msgspec.Raw]


@dataclass(frozen=True, slots=True)
class ServiceCallRequest:
    """Service call as requested by the caller.

    Attributes:
        path: Path relative to the service, including the query string.
        key: Idempotency key of a non-idempotent call.
    """

    service_id: ServiceId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: IdempotencyKey | None = None


@dataclass(frozen=True, slots=True)
class DispatchTarget:
    """Endpoint process that receives a dispatch."""

    record: EndpointRecord

    @property
    def endpoint_id(self) -> EndpointId:
        """Id of the target endpoint."""
        return self.record.endpoint_id


@dataclass(frozen=True, slots=True)
class DispatchId:
    """Ids that every response must echo."""

    request_id: RequestId
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Token:
    """One generated token."""

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class TokenBatch:
    """Tokens that were received together.

    Attributes:
        finish_reason: Why generation ended; set in the last batch only.
    """

    tokens: tuple[Token, ...]
    finish_reason: str | None = None


@dataclass(frozen=True, slots=True)
class CompletionDispatch:
    """Dispatch of a completion to a whole-model endpoint.

    Attributes:
        first_token: Index of the first token to generate; above 0 the completion is resumed.
        preceding_text: Text of the tokens before `first_token`.
    """

    dispatch_id: DispatchId
    priority: Priority
    call: ModelCall
    first_token: int
    preceding_text: str


@dataclass(frozen=True, slots=True)
class StageStep:
    """Dispatch of one token to one stage."""

    dispatch_id: DispatchId
    token: int
    layers: LayerRange
    state: msgspec.Raw


@dataclass(frozen=True, slots=True)
class StageReplay:
    """Request to rebuild a stage's KV cache."""

    dispatch_id: DispatchId
    layers: LayerRange
    prompt: str
    max_tokens: int
    tokens: tuple[str, ...]


class LoadReport(msgspec.Struct, frozen=True):
    """Load reported by an endpoint."""

    running: int
    queued: int
    kv_tokens_used: int


class CacheEvent(msgspec.Struct, frozen=True):
    """Change of an endpoint's prefix cache; numbers increase by one, but events may be lost."""

    number: int
    prefix: str
    held: bool


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """Complete response of a service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Final result of a request.

    Attributes:
        refusal: Why the request failed, if it did.
        response: Response of a service call.
        finish_reason: Why the model stopped generating.
    """

    outcome: Outcome
    code: ResultCode
    refusal: Refusal | None = None
    response: ServiceResponse | None = None
    finish_reason: str = "stop"


@dataclass(frozen=True, slots=True)
class DispatchFailure:
    """Why a dispatch did not produce a complete response.

    Attributes:
        endpoint_crashed: Whether the connection was refused, reset or closed mid-response.
    """

    dispatch: Dispatch
    refusal: Refusal
    endpoint_crashed: bool = False
    retry_after: float | None = None
