"""Table of requests that this host works on."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import Attempt
from lagoonwing_core.models import EndpointRecord
from lagoonwing_entry.models import Finished, ModelCall, ServiceAnswer, ServiceCallBody, TokenBatch
from lagoonwing_policy.models import RequestProfile


class TokenSink(Protocol):
    """Where the tokens of an answer go."""

    @property
    def started(self) -> bool:
        """Whether a byte of the answer may have reached the caller."""

    async def async_take(self, batch: TokenBatch) -> None:
        """Pass tokens on.

        Raises:
            CallerGoneError: Nobody takes them any more.
        """


class NoSink:
    """Sink of requests without tokens."""

    started = False

    async def async_take(self, batch: TokenBatch) -> None:
        """Drop the tokens."""


@dataclass(slots=True)
class ActiveRequest:
    """A request from its submission to its end.

    Attributes:
        texts: Tokens passed on so far.
        may_have_run: Whether a byte of any dispatch may have reached an endpoint.
        records: Endpoints of the attempt that runs.
    """

    profile: RequestProfile
    work: ModelCall | ServiceCallBody
    sink: TokenSink
    finished: asyncio.Future[Finished]
    texts: list[str] = field(default_factory=list)
    finish_reason: str = "stop"
    may_have_run: bool = False
    attempt: Attempt = Attempt(0)
    records: tuple[EndpointRecord, ...] = ()
    task: asyncio.Task[None] | None = None
    answer: ServiceAnswer | None = None
    last_refusal: Refusal | None = None
    replacements_after_death: int = 0
