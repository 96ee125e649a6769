"""Requests in progress on this host."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import Attempt
from lagoonwing_core.models import EndpointRecord
from lagoonwing_entry.models import (
    ModelCall,
    RequestResult,
    ServiceCallRequest,
    ServiceResponse,
    TokenBatch,
)
from lagoonwing_policy.models import RequestProfile


class TokenSink(Protocol):
    """Destination of generated tokens."""

    @property
    def started(self) -> bool:
        """Whether any byte of the response may have reached the caller."""

    async def async_write(self, batch: TokenBatch) -> None:
        """Write tokens.

        Raises:
            CallerGoneError: The caller disconnected or stopped reading.
        """


class NullSink:
    """Sink of requests that produce no tokens."""

    started = False

    async def async_write(self, batch: TokenBatch) -> None:
        """Discard the tokens."""


@dataclass(slots=True)
class ActiveRequest:
    """State of a request from submission to completion.

    Attributes:
        token_texts: Texts of the tokens relayed so far.
        may_have_run: Whether any byte of a dispatch may have reached an endpoint.
        records: Endpoints of the running attempt.
    """

    profile: RequestProfile
    work: ModelCall | ServiceCallRequest
    sink: TokenSink
    finished: asyncio.Future[RequestResult]
    token_texts: list[str] = field(default_factory=list)
    finish_reason: str = "stop"
    may_have_run: bool = False
    attempt: Attempt = Attempt(0)
    records: tuple[EndpointRecord, ...] = ()
    task: asyncio.Task[None] | None = None
    response: ServiceResponse | None = None
    last_refusal: Refusal | None = None
    replacements_after_crash: int = 0
