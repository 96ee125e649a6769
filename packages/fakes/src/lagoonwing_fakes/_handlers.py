"""Base handler, control and load of the stand-ins."""

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
    """Reads typed bodies and echoes request id and attempt."""

    def initialize(self, *, engine: Engine, incarnation: int, **kwargs: Any) -> None:
        """Take what the application holds."""
        self.engine = engine
        self.incarnation = incarnation
        self.closed = False

    @property
    def request_id(self) -> str:
        """Id of the request as the entry host gave it."""
        return str(self.request.headers.get(HEADER_REQUEST_ID, ""))

    @property
    def attempt(self) -> int:
        """Number of the attempt."""
        return int(self.request.headers.get(HEADER_ATTEMPT, "1"))

    def on_connection_close(self) -> None:
        """Remember that nobody listens any more."""
        self.closed = True

    def read(self, kind: type[BodyT]) -> BodyT:
        """Return the typed body."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except msgspec.MsgspecError as error:
            raise HTTPError(400, reason=type(error).__name__) from error

    def echo(self, request_id: str, attempt: int) -> None:
        """Say whose answer this is."""
        self.set_header(HEADER_REQUEST_ID, request_id)
        self.set_header(HEADER_ATTEMPT, str(attempt))
        self.set_header(HEADER_INCARNATION, str(self.incarnation))

    def refuse(self, status: int, reason: str) -> None:
        """Refuse before anything was started."""
        self.set_status(status)
        self.echo(self.request_id, self.attempt)
        self.set_header(HEADER_OUTCOME, OUTCOME_NOT_RUN)
        self.finish_json({"error": reason})

    def finish_json(self, body: Any) -> None:
        """End the answer with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def cut(self) -> None:
        """Close the connection without a proper end."""
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        connection.close()

    def write_raw(self, data: bytes) -> None:
        """Write bytes past the end of the answer."""
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        connection.stream.write(data)


class ControlHandler(FakeHandler):
    """`POST /fake/control` replaces the fault plan."""

    def post(self) -> None:
        """Take a new plan."""
        self.engine.order(self.read(FaultPlan))
        self.finish_json(self.engine.plan)


class LoadHandler(FakeHandler):
    """`GET /load` tells running and waiting sequences."""

    def get(self) -> None:
        """Answer the load of now."""
        engine = self.engine
        self.finish_json({"running": engine.running, "queued": engine.queued, "kv_tokens_used": 0})


class CacheEventsHandler(FakeHandler):
    """`GET /cache-events?after=N` tells cached prefixes, late and with gaps."""

    def get(self) -> None:
        """Answer the events after a number."""
        after = int(self.get_query_argument("after", "0"))
        events = [
            {"number": number, "prefix": prefix, "held": True}
            for number, prefix in self.engine.cache_events(after)
        ]
        self.finish_json({"events": events})
