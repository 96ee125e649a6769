"""Base HTTP handler with body size limits, body timeouts and refusals that carry a result code."""

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
from lagoonwing_entry._responses import error_body
from lagoonwing_entry.const import (
    DEFAULT_REFUSAL_STATUS,
    HEADER_OUTCOME,
    HEADER_REQUEST_ID,
    HEADER_RESULT_CODE,
    HEADER_RETRY_AFTER,
    MAX_HEADER_BYTES,
    STATUS_BY_CODE,
)
from lagoonwing_entry.models import RequestResult
from lagoonwing_http import BodyBudget

# Bytes over the limit are read and discarded, so that clients which read no response before they
# have sent the full body still receive the refusal. The body timeout bounds how long this takes.
_MAX_DISCARDED_BYTES = 1 << 40


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Limits of one request body and of all bodies in total."""

    max_bytes: int
    timeout_s: float
    budget: BodyBudget


@stream_request_body
class BoundedHandler(RequestHandler):
    """Reads a request body with limits on its size and arrival time.

    A refusal found before the body has arrived is sent after it: closing a connection with
    unread data would discard the refusal.
    """

    limits: BodyLimits
    request_id: RequestId

    def check_request(self) -> Refusal | None:
        """Check the request before its body arrives; return why it is refused, if so."""
        return None

    def prepare(self) -> None:
        """Check the headers and start the body timeout."""
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._reserved_bytes = 0
        self._early_refusal: Refusal | None = self._check_headers() or self.check_request()
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        connection.set_max_body_size(_MAX_DISCARDED_BYTES)
        self._body_timer = asyncio.get_running_loop().call_later(
            self.limits.timeout_s, self._on_body_timeout
        )
        if self._early_refusal is None or not self._expects_continue():
            return
        self.refuse(self._early_refusal)

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body, or discard it if the request is refused."""
        self._received_bytes += len(chunk)
        if self._received_bytes > self.limits.max_bytes and self._early_refusal is None:
            detail = f"the body passes {self.limits.max_bytes} bytes"
            self._early_refusal = Refusal(ResultCode.BODY_TOO_LARGE, detail)
        if self._early_refusal is None and not self.limits.budget.try_reserve(len(chunk)):
            detail = "too many bytes of bodies are being held"
            self._early_refusal = Refusal(ResultCode.QUEUE_FULL, detail, 1.0)
        if self._early_refusal is None:
            self._reserved_bytes += len(chunk)
            self._chunks.append(chunk)
        else:
            self._discard_body()

    def read_body(self) -> bytes | None:
        """Return the complete body, or send an earlier refusal and return None."""
        self._body_timer.cancel()
        if self._finished:
            return None
        if self._early_refusal is not None:
            self.refuse(self._early_refusal)
            return None
        return b"".join(self._chunks)

    def on_finish(self) -> None:
        """Release the body buffer."""
        self._body_timer.cancel()
        self._discard_body()

    def on_connection_close(self) -> None:
        """Release the body buffer."""
        self._body_timer.cancel()
        self._discard_body()

    def refuse(self, refusal: Refusal, outcome: Outcome = Outcome.NOT_RUN) -> None:
        """Send a refusal."""
        self.send_failure(RequestResult(outcome, refusal.code, refusal))

    def send_failure(self, finished: RequestResult) -> None:
        """Send the error response of a failed request."""
        self.set_status(STATUS_BY_CODE.get(finished.code, DEFAULT_REFUSAL_STATUS))
        self.set_result_headers(finished.outcome, finished.code)
        retry_after = finished.refusal.retry_after if finished.refusal is not None else None
        if retry_after is not None:
            self.set_header(HEADER_RETRY_AFTER, str(max(1, math.ceil(retry_after))))
        self.set_header("Content-Type", "application/json")
        self.finish(error_body(self.request_id, finished))

    def set_result_headers(self, outcome: Outcome, code: ResultCode) -> None:
        """Set the result headers that every response has."""
        self.set_header(HEADER_REQUEST_ID, self.request_id)
        self.set_header(HEADER_OUTCOME, outcome.value)
        self.set_header(HEADER_RESULT_CODE, str(code.value))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Add a result code to errors from tornado and unhandled exceptions."""
        if status_code < 500:
            refusal = Refusal(ResultCode.MALFORMED_REQUEST, f"status {status_code}")
            outcome = Outcome.NOT_RUN
        else:
            refusal = Refusal(ResultCode.OUTCOME_UNKNOWN, "internal error")
            outcome = Outcome.UNKNOWN
        self.set_result_headers(outcome, refusal.code)
        self.set_header("Content-Type", "application/json")
        self.finish(error_body(self.request_id, RequestResult(outcome, refusal.code, refusal)))

    def log_exception(self, kind: Any, value: Any, traceback: Any) -> None:
        """Log an unhandled exception as an event."""
        log_event(EventCode.COMPONENT_FAILED, component="http_handler", error=repr(value))

    def _check_headers(self) -> Refusal | None:
        """Return why the headers are refused, if so."""
        size = sum(len(name) + len(value) for name, value in self.request.headers.get_all())
        if size > MAX_HEADER_BYTES or len(self.request.uri or "") > MAX_HEADER_BYTES // 2:
            return Refusal(ResultCode.HEADER_INVALID, f"headers pass {MAX_HEADER_BYTES} bytes")
        declared = self.request.headers.get("Content-Length", "0")
        if declared.isdigit() and int(declared) > self.limits.max_bytes:
            detail = f"the body passes {self.limits.max_bytes} bytes"
            return Refusal(ResultCode.BODY_TOO_LARGE, detail)
        return None

    def _discard_body(self) -> None:
        """Discard the body and release its bytes."""
        self._chunks.clear()
        self.limits.budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _expects_continue(self) -> bool:
        """Return whether the client waits for an interim response before sending the body."""
        return str(self.request.headers.get("Expect", "")).lower() == "100-continue"

    def _on_body_timeout(self) -> None:
        """Refuse a body that did not arrive in time."""
        if self._finished:
            return
        refusal = self._early_refusal
        if refusal is None:
            detail = f"the body did not arrive within {self.limits.timeout_s} s"
            refusal = Refusal(ResultCode.MALFORMED_REQUEST, detail)
        self.refuse(refusal)
