"""Requests, answers and outcomes as the gateway sees them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from tornado.httputil import HTTPHeaders

from lagoonwing_catalog.models import EndpointRecord, MemberKeys, Route
from lagoonwing_core.ids import AttemptId, EndpointId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_placement import Path, Work


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller, read whole.

    Attributes:
        target: Path and query as they came.
        headers: Headers to pass on, without those that the gateway sets itself.
        key: Key of the caller's member, if it gave one.
        budget_s: Seconds for which the caller waits, if it says so.
        work: Size of a generation, if the request is one.
        last_event: Last event of a stream that the caller has, if it resumes one.
        received_at: When the request had been read.
    """

    attempt_id: AttemptId | None
    method: str
    host: str
    path: str
    target: str
    headers: HTTPHeaders
    body: bytes
    key: str | None
    budget_s: float | None
    work: Work | None
    last_event: str | None
    received_at: float


@dataclass(frozen=True, slots=True)
class Outgoing:
    """What is sent to an endpoint.

    Attributes:
        budget_s: Seconds that the endpoint may work.
        path: Endpoints that run the request's layers, if it is one over layers.
        last_event: Last event that the caller already has, if any.
    """

    request: CallerRequest
    endpoint: EndpointRecord
    member: MemberKeys | None
    budget_s: float
    priority: int
    path: Path | None = None
    last_event: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerNotes:
    """What an endpoint's headers say.

    Attributes:
        not_executed: Whether the endpoint states that it didn't run the request.
        is_signed: Whether the answer bears the endpoint's signature.
        is_encoded: Whether the body is not as the endpoint made it.
        at_fault: Address and port of the endpoint on the path that is to blame, if named.
    """

    status: int
    not_executed: bool
    is_signed: bool
    is_encoded: bool
    at_fault: str | None

    @property
    def is_success(self) -> bool:
        """Whether the status is one of success."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer that has arrived whole."""

    notes: AnswerNotes
    headers: HTTPHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event of a stream.

    Attributes:
        event_id: Its number, if it has one.
        content: Its bytes with the empty line that ends it.
    """

    event_id: str | None
    content: bytes


class Promise(Enum):
    """What a refusal says of the request.

    NOT_RUN: it has not run and never will. UNKNOWN: it may have run.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class GatewayRefusal:
    """An answer of the gateway's own.

    Attributes:
        retry_after_s: When a new try makes sense, if the request has not run.
    """

    code: ResultCode
    detail: str
    promise: Promise = Promise.NOT_RUN
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Completed:
    """The answer has arrived whole."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The attempt did not run.

    Attributes:
        blamed: Endpoints that must not be used again for the request.
    """

    reason: str
    blamed: tuple[EndpointId, ...]


@dataclass(frozen=True, slots=True)
class Failed:
    """The attempt may have run and gave no whole answer.

    Attributes:
        answer: The endpoint's own failure, if it gave one.
    """

    reason: str
    blamed: tuple[EndpointId, ...]
    answer: WholeAnswer | None = None


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has closed its connection."""


AttemptOutcome = Completed | NotRun | Failed | CallerGone


@dataclass(frozen=True, slots=True)
class RequestContext:
    """A request that may be served.

    Attributes:
        deadline: When the caller must have a final answer, on the runtime's clock.
    """

    request: CallerRequest
    route: Route
    member: MemberKeys | None
    deadline: float
