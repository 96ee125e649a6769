"""Base of every HTTP handler: bounded bodies, bounded time, numbered refusals."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.web import RequestHandler, stream_request_body

from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import RequestId
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_entry._answers import error_body
from lagoonwing_entry.const import (
    DEFAULT_REFUSAL_STATUS,
    HEADER_OUTCOME,
    HEADER_REQUEST_ID,
    HEADER_RESULT_CODE,
    HEADER_RETRY_AFTER,
    MAX_HEADER_BYTES,
    STATUS_BY_CODE,
)
from lagoonwing_entry.models import Finished

# Bytes past the limit are dropped as they come, so that the refusal reaches clients that read
# no answer before they have sent everything; the body's timeout bounds that.
_MAX_DROPPED_BYTES = 1 << 40


class BodyBudget:
    """Bound on the bytes of all bodies together, from their arrival to their answers."""

    def __init__(self, max_bytes: int) -> None:
        self._free_bytes = max_bytes

    def take(self, count: int) -> bool:
        """Take bytes, if there are as many."""
        if count > self._free_bytes:
            return False
        self._free_bytes -= count
        return True

    def release(self, count: int) -> None:
        """Give bytes back."""
        self._free_bytes += count


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Limits of one body, and of all together."""

    max_bytes: int
    timeout_s: float
    budget: BodyBudget


@stream_request_body
class BoundedHandler(RequestHandler):
    """Reads a body of bounded size in bounded time.

    Refusals found before the body has arrived are answered after it, for a connection that is
    closed with unread data takes the refusal with it.
    """

    limits: BodyLimits
    request_id: RequestId

    def begin(self) -> Refusal | None:
        """Check what is known before the body arrives; return why the request is refused."""
        return None

    def prepare(self) -> None:
        """Check the headers and start to read."""
        self._chunks: list[bytes] = []
        self._received = 0
        self._budgeted = 0
        self._refused_early: Refusal | None = self._check_headers() or self.begin()
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        connection.set_max_body_size(_MAX_DROPPED_BYTES)
        self._body_timer = asyncio.get_running_loop().call_later(
            self.limits.timeout_s, self._on_body_timeout
        )
        if self._refused_early is None or not self._expects_continue():
            return
        self.refuse(self._refused_early)

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, or drop it once the request is refused."""
        self._received += len(chunk)
        if self._received > self.limits.max_bytes and self._refused_early is None:
            detail = f"the body passes {self.limits.max_bytes} bytes"
            self._refused_early = Refusal(ResultCode.BODY_TOO_LARGE, detail)
        if self._refused_early is None and not self.limits.budget.take(len(chunk)):
            detail = "too many bytes of bodies are being held"
            self._refused_early = Refusal(ResultCode.QUEUE_FULL, detail, 1.0)
        if self._refused_early is None:
            self._budgeted += len(chunk)
            self._chunks.append(chunk)
        else:
            self._drop_body()

    def take_body(self) -> bytes | None:
        """Return the whole body, or answer the refusal that was found and return nothing."""
        self._body_timer.cancel()
        if self._finished:
            return None
        if self._refused_early is not None:
            self.refuse(self._refused_early)
            return None
        return b"".join(self._chunks)

    def on_finish(self) -> None:
        """Release what the body held."""
        self._body_timer.cancel()
        self._drop_body()

    def on_connection_close(self) -> None:
        """Release what the body held."""
        self._body_timer.cancel()
        self._drop_body()

    def refuse(self, refusal: Refusal, outcome: Outcome = Outcome.NOT_RUN) -> None:
        """Answer that a request was not done."""
        self.answer_failure(Finished(outcome, refusal.code, refusal))

    def answer_failure(self, finished: Finished) -> None:
        """Answer a request that did not end well."""
        self.set_status(STATUS_BY_CODE.get(finished.code, DEFAULT_REFUSAL_STATUS))
        self.set_outcome(finished.outcome, finished.code)
        retry_after = finished.refusal.retry_after if finished.refusal is not None else None
        if retry_after is not None:
            self.set_header(HEADER_RETRY_AFTER, str(max(1, math.ceil(retry_after))))
        self.set_header("Content-Type", "application/json")
        self.finish(error_body(self.request_id, finished))

    def set_outcome(self, outcome: Outcome, code: ResultCode) -> None:
        """Set the headers that every answer has."""
        self.set_header(HEADER_REQUEST_ID, self.request_id)
        self.set_header(HEADER_OUTCOME, outcome.value)
        self.set_header(HEADER_RESULT_CODE, str(code.value))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer what tornado refuses, or what failed here, with a number too."""
        if status_code < 500:
            refusal = Refusal(ResultCode.MALFORMED_REQUEST, f"status {status_code}")
            outcome = Outcome.NOT_RUN
        else:
            refusal = Refusal(ResultCode.OUTCOME_UNKNOWN, "internal error")
            outcome = Outcome.UNKNOWN
        self.set_outcome(outcome, refusal.code)
        self.set_header("Content-Type", "application/json")
        self.finish(error_body(self.request_id, Finished(outcome, refusal.code, refusal)))

    def log_exception(self, kind: Any, value: Any, traceback: Any) -> None:
        """Log what failed here as an event."""
        log_event(EventCode.COMPONENT_FAILED, component="http_handler", error=repr(value))

    def _check_headers(self) -> Refusal | None:
        """Return why the headers are refused, if they are."""
        size = sum(len(name) + len(value) for name, value in self.request.headers.get_all())
        if size > MAX_HEADER_BYTES or len(self.request.uri or "") > MAX_HEADER_BYTES // 2:
            return Refusal(ResultCode.HEADER_INVALID, f"headers pass {MAX_HEADER_BYTES} bytes")
        declared = self.request.headers.get("Content-Length", "0")
        if declared.isdigit() and int(declared) > self.limits.max_bytes:
            detail = f"the body passes {self.limits.max_bytes} bytes"
            return Refusal(ResultCode.BODY_TOO_LARGE, detail)
        return None

    def _drop_body(self) -> None:
        """Drop the body and give its bytes back."""
        self._chunks.clear()
        self.limits.budget.release(self._budgeted)
        self._budgeted = 0

    def _expects_continue(self) -> bool:
        """Return whether the client waits for a word before it sends the body."""
        return str(self.request.headers.get("Expect", "")).lower() == "100-continue"

    def _on_body_timeout(self) -> None:
        """Refuse a body that is not whole in time."""
        if self._finished:
            return
        refusal = self._refused_early
        if refusal is None:
            detail = f"the body did not arrive within {self.limits.timeout_s} s"
            refusal = Refusal(ResultCode.MALFORMED_REQUEST, detail)
        self.refuse(refusal)
