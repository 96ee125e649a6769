"""Base handler, and the fault control, load and cache event handlers of fake endpoints."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.web import HTTPError, RequestHandler

from lagoonwing_fakes._engine import Engine
from lagoonwing_fakes.const import (
    HEADER_ATTEMPT,
    HEADER_INCARNATION,
    HEADER_OUTCOME,
    HEADER_REQUEST_ID,
    OUTCOME_NOT_RUN,
)
from lagoonwing_fakes.models import FaultPlan

BodyT = TypeVar("BodyT")


class FakeHandler(RequestHandler):
    """Decodes typed bodies and echoes the request id and attempt."""

    def initialize(self, *, engine: Engine, incarnation: int, **kwargs: Any) -> None:
        """Store the state shared by the application."""
        self.engine = engine
        self.incarnation = incarnation
        self.disconnected = False

    @property
    def request_id(self) -> str:
        """Request id assigned by the entry host."""
        return str(self.request.headers.get(HEADER_REQUEST_ID, ""))

    @property
    def attempt(self) -> int:
        """Attempt number."""
        return int(self.request.headers.get(HEADER_ATTEMPT, "1"))

    def on_connection_close(self) -> None:
        """Record that the client has disconnected."""
        self.disconnected = True

    def decode_body(self, body_type: type[BodyT]) -> BodyT:
        """Decode the request body."""
        try:
            return msgspec.json.decode(self.request.body, type=body_type)
        except msgspec.MsgspecError as error:
            raise HTTPError(400, reason=type(error).__name__) from error

    def set_identity_headers(self, request_id: str, attempt: int) -> None:
        """Set the headers that identify the request and the endpoint."""
        self.set_header(HEADER_REQUEST_ID, request_id)
        self.set_header(HEADER_ATTEMPT, str(attempt))
        self.set_header(HEADER_INCARNATION, str(self.incarnation))

    def refuse(self, status: int, reason: str) -> None:
        """Refuse a request that was not started."""
        self.set_status(status)
        self.set_identity_headers(self.request_id, self.attempt)
        self.set_header(HEADER_OUTCOME, OUTCOME_NOT_RUN)
        self.finish_json({"error": reason})

    def finish_json(self, body: Any) -> None:
        """Finish the response with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def abort_connection(self) -> None:
        """Close the connection without completing the response."""
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        connection.close()

    def write_raw(self, data: bytes) -> None:
        """Write raw bytes to the connection, bypassing HTTP framing."""
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        connection.stream.write(data)


class ControlHandler(FakeHandler):
    """`POST /fake/control` replaces the fault plan."""

    def post(self) -> None:
        """Replace the fault plan."""
        self.engine.set_fault_plan(self.decode_body(FaultPlan))
        self.finish_json(self.engine.plan)


class LoadHandler(FakeHandler):
    """`GET /load` returns the numbers of running and queued sequences."""

    def get(self) -> None:
        """Return the current load."""
        engine = self.engine
        self.finish_json({"running": engine.running, "queued": engine.queued, "kv_tokens_used": 0})


class CacheEventsHandler(FakeHandler):
    """`GET /cache-events?after=N` returns cached prefixes, delayed and with gaps."""

    def get(self) -> None:
        """Return the events after a number."""
        after = int(self.get_query_argument("after", "0"))
        events = [
            {"number": number, "prefix": prefix, "held": True}
            for number, prefix in self.engine.cache_events(after)
        ]
        self.finish_json({"events": events})
