"""What the gateway needs from the dialects on both of its sides."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tornado.httputil import HTTPHeaders

from lagoonwing_gateway.models import (
    AnswerNotes,
    CallerRequest,
    GatewayRefusal,
    Outgoing,
    StreamEvent,
)
from lagoonwing_http import AnswerHead


class Responder(Protocol):
    """Answer to one caller."""

    @property
    def is_gone(self) -> bool:
        """Whether the caller has closed its connection."""

    def set_on_gone(self, on_gone: Callable[[], object]) -> None:
        """Set what is called once the caller closes its connection."""

    def send_whole(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a whole answer."""

    def refuse(self, request: CallerRequest, refusal: GatewayRefusal) -> None:
        """Send an answer of the gateway's own."""

    def begin(self, status: int, headers: HTTPHeaders, content: bytes) -> None:
        """Send the head of a stream and its first bytes."""

    def write(self, content: bytes) -> bool:
        """Send bytes of a stream; return whether the caller still reads."""

    def finish(self) -> None:
        """End a stream properly."""

    def abort(self) -> None:
        """End a stream so that it can't look complete."""


class EventSplitter(Protocol):
    """Cuts the bytes of a stream into whole events."""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that are whole now."""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole."""


class Dialect(Protocol):
    """How requests and answers are written on the wire towards endpoints."""

    def outgoing_headers(self, outgoing: Outgoing) -> HTTPHeaders:
        """Return the headers of a request to an endpoint."""

    def accepts(self, request: CallerRequest) -> Callable[[HTTPHeaders], bool]:
        """Return a check whether an answer belongs to a request."""

    def notes(self, head: AnswerHead) -> AnswerNotes:
        """Return what an answer's headers say."""

    def caller_headers(self, head: AnswerHead) -> HTTPHeaders:
        """Return the headers of an answer to pass on to the caller."""

    def splitter(self) -> EventSplitter:
        """Return a new splitter for one answer."""
