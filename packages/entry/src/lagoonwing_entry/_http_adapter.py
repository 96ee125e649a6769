"""Endpoint adapter for HTTP/1.1."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncGenerator
from typing import Any, TypeVar

import msgspec
from tornado.httputil import HTTPHeaders

from lagoonwing_core.clock import Clock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import Attempt, RequestId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_entry._connection_pool import ConnectionPool
from lagoonwing_entry._dispatch import OpenDispatch, OutgoingRequest
from lagoonwing_entry._endpoint_messages import (
    CacheEventsResponse,
    ExportRequest,
    ExportResponse,
    ImportRequest,
    ReplayRequest,
    ResumeFrom,
    StepRequest,
    StepResponse,
)
from lagoonwing_entry._periodic_task import PeriodicTask
from lagoonwing_entry._token_stream import TokenStreamReader
from lagoonwing_entry.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_PRIORITY,
    HEADER_RESUMED_FROM,
    IDLE_CONNECTION_LIFETIME_S,
    STAGE_EXPORT_TIMEOUT_S,
)
from lagoonwing_entry.errors import DispatchError
from lagoonwing_entry.models import (
    AdapterSettings,
    CacheEvent,
    CompletionDispatch,
    CompletionKind,
    DispatchFailure,
    DispatchId,
    DispatchTarget,
    LoadReport,
    ServiceCallRequest,
    ServiceResponse,
    StageReplay,
    StageStep,
    TokenBatch,
)
from lagoonwing_http import ResponseBudget
from lagoonwing_policy.models import Dispatch

AnswerT = TypeVar("AnswerT")

_FRAMING_END_TIMEOUT_S = 1.0

_ENCODER = msgspec.json.Encoder()
_TRUE = msgspec.Raw(b"true")
_REPORT_DISPATCH_ID = DispatchId(RequestId("report"), Attempt(0))
_EMPTY_STATE = msgspec.Raw(b"{}")
_PATH_BY_KIND = {
    CompletionKind.CHAT: "/v1/chat/completions",
    CompletionKind.TEXT: "/v1/completions",
}
# Hop-by-hop headers, and headers that this host sets itself.
_EXCLUDED_RESPONSE_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "transfer-encoding",
        "x-attempt",
        "x-incarnation",
        "x-outcome",
        "x-request-id",
        "x-result-code",
    }
)


class HttpEndpointAdapter:
    """Sends requests to endpoints over HTTP/1.1; completions are always streamed."""

    name = "endpoint_adapter"

    def __init__(
        self, settings: AdapterSettings, clock: Clock, budget: ResponseBudget | None = None
    ) -> None:
        """Create an adapter.

        Args:
            settings: Limits of requests.
            clock: Clock of the event loop.
            budget: Bounds the bytes of all responses; by default, those of this adapter.
        """
        self._settings = settings
        self._budget = budget or ResponseBudget(settings.max_held_response_bytes)
        self._pool = ConnectionPool(settings, clock)
        self._prune_task = PeriodicTask(
            self.name, self._async_prune, IDLE_CONNECTION_LIFETIME_S / 2
        )

    async def async_setup(self) -> None:
        """Start closing idle connections periodically."""
        self._prune_task.start()

    async def async_unload(self) -> None:
        """Close every connection."""
        self._prune_task.stop()
        self._pool.close()

    async def tokens(
        self, target: DispatchTarget, completion: CompletionDispatch
    ) -> AsyncGenerator[TokenBatch, None]:
        """Stream a completion from a whole-model endpoint; the last batch has a finish reason."""
        fields = dict(completion.call.fields)
        fields["stream"] = _TRUE
        if completion.first_token:
            resume = ResumeFrom(completion.first_token, completion.preceding_text)
            fields["resume_from"] = msgspec.Raw(_ENCODER.encode(resume))
        headers = HTTPHeaders({HEADER_PRIORITY: completion.priority.value})
        path = _PATH_BY_KIND[completion.call.kind]
        request = self._json_request(path, fields, completion.dispatch_id, headers)
        async with OpenDispatch(self._pool, self._budget, target.record, request) as dispatch:
            head = await dispatch.async_head(self._settings.first_byte_timeout_s)
            self._check_status(target, head.status)
            if completion.first_token:
                _check_resumed(dispatch, head.headers, completion.first_token)
            reader = TokenStreamReader(
                completion.dispatch_id, completion.first_token, self._settings.max_response_bytes
            )
            while not reader.complete:
                chunk = await dispatch.async_chunk(self._settings.idle_timeout_s)
                if chunk is None:
                    raise dispatch.invalid_response("the stream ended without its last event")
                try:
                    batch = reader.feed(chunk)
                except ValueError as error:
                    log_event(
                        EventCode.ANSWER_DISCARDED,
                        request=completion.dispatch_id.request_id,
                        attempt=completion.dispatch_id.attempt,
                        endpoint=target.endpoint_id,
                        reason=error,
                    )
                    raise dispatch.invalid_response(str(error)) from error
                dispatch.set_held_bytes(reader.held_bytes)
                if batch is not None:
                    yield batch
            # Read the end of the chunked framing so that the connection can be reused.
            with contextlib.suppress(DispatchError):
                await dispatch.async_chunk(_FRAMING_END_TIMEOUT_S)

    async def async_step(self, target: DispatchTarget, step: StageStep) -> msgspec.Raw:
        """Run a stage's layers for one token and return the resulting state."""
        expected_ids = (step.dispatch_id.request_id, step.dispatch_id.attempt, step.token)
        layers = (step.layers.first, step.layers.end)
        body = StepRequest(*expected_ids, *layers, step.state)
        response, dispatch = await self._async_exchange(
            target,
            "/stage/step",
            body,
            step.dispatch_id,
            StepResponse,
            self._settings.step_timeout_s,
        )
        received_ids = (
            response.request_id,
            response.attempt,
            response.token,
            response.first,
            response.end,
        )
        if received_ids != (*expected_ids, *layers):
            log_event(
                EventCode.ANSWER_DISCARDED,
                request=step.dispatch_id.request_id,
                attempt=step.dispatch_id.attempt,
                endpoint=target.endpoint_id,
                reason="response does not match the step",
            )
            raise dispatch.invalid_response("the answer is not of this step")
        return response.state

    async def async_replay(self, target: DispatchTarget, replay: StageReplay) -> None:
        """Rebuild a stage's KV cache."""
        body = ReplayRequest(
            replay.dispatch_id.request_id,
            replay.dispatch_id.attempt,
            replay.prompt,
            replay.max_tokens,
            replay.tokens,
            replay.layers.first,
            replay.layers.end,
        )
        timeout = self._settings.step_timeout_s
        await self._async_exchange(
            target, "/stage/replay", body, replay.dispatch_id, msgspec.Raw, timeout
        )

    async def async_export(
        self, target: DispatchTarget, dispatch_id: DispatchId, token: int
    ) -> msgspec.Raw:
        """Export a stage's KV cache up to a token and fence lower attempts on that stage."""
        body = ExportRequest(dispatch_id.request_id, dispatch_id.attempt, token)
        response, _ = await self._async_exchange(
            target, "/stage/export", body, dispatch_id, ExportResponse, STAGE_EXPORT_TIMEOUT_S
        )
        return response.kv

    async def async_import(
        self, target: DispatchTarget, replay: StageReplay, cache: msgspec.Raw
    ) -> None:
        """Import a KV cache exported from another stage."""
        dispatch_id = replay.dispatch_id
        body = ImportRequest(
            dispatch_id.request_id,
            dispatch_id.attempt,
            cache,
            replay.layers.first,
            replay.layers.end,
        )
        timeout = self._settings.step_timeout_s
        await self._async_exchange(target, "/stage/import", body, dispatch_id, msgspec.Raw, timeout)

    async def async_close_stage(
        self, target: DispatchTarget, dispatch_id: DispatchId, token: int
    ) -> None:
        """Release a stage's KV cache of a request that has ended."""
        layers = target.record.layers
        assert layers is not None
        ids = (dispatch_id.request_id, dispatch_id.attempt, token, layers.first, layers.end)
        body = StepRequest(*ids, _EMPTY_STATE, close=True)
        timeout = self._settings.step_timeout_s
        await self._async_exchange(target, "/stage/step", body, dispatch_id, msgspec.Raw, timeout)

    async def async_load(self, target: DispatchTarget) -> LoadReport:
        """Return an endpoint's load report."""
        return await self._async_fetch_report(target, "/load", LoadReport)

    async def async_cache_events(
        self, target: DispatchTarget, after: int
    ) -> tuple[CacheEvent, ...]:
        """Return an endpoint's prefix cache events after the given number."""
        path = f"/cache-events?after={after}"
        return (await self._async_fetch_report(target, path, CacheEventsResponse)).events

    async def _async_fetch_report(
        self, target: DispatchTarget, path: str, response_type: type[AnswerT]
    ) -> AnswerT:
        """Request and decode a report."""
        # Reports name no request: on a used connection, an earlier one may come first.
        headers = HTTPHeaders({"Connection": "close"})
        request = OutgoingRequest(
            "GET", path, headers, b"", _REPORT_DISPATCH_ID, fresh=True, require_echo=False
        )
        timeout = self._settings.report_timeout_s
        async with OpenDispatch(self._pool, self._budget, target.record, request) as dispatch:
            head = await dispatch.async_head(timeout)
            self._check_status(target, head.status)
            data = await dispatch.async_body(
                timeout, self._settings.max_response_bytes, total_timeout=timeout
            )
        return _decode_response(dispatch, data, response_type)

    async def async_call_service(
        self, target: DispatchTarget, dispatch_id: DispatchId, call: ServiceCallRequest, fresh: bool
    ) -> ServiceResponse:
        """Run one service call; `fresh` requires a connection that has not been used before."""
        headers = HTTPHeaders()
        for name, value in call.headers:
            headers.add(name, value)
        if call.key is not None:
            headers[HEADER_IDEMPOTENCY_KEY] = call.key
        if fresh:
            headers["Connection"] = "close"
        request = OutgoingRequest(
            call.method, call.path, headers, call.body, dispatch_id, fresh=fresh
        )
        async with OpenDispatch(self._pool, self._budget, target.record, request) as dispatch:
            head = await dispatch.async_head(self._settings.first_byte_timeout_s)
            if not head.is_framed:
                raise dispatch.invalid_response("the end of the answer can't be told")
            body = await dispatch.async_body(
                self._settings.idle_timeout_s, self._settings.max_response_bytes
            )
        forwarded_headers = tuple(
            (name, value)
            for name, value in head.headers.get_all()
            if name.lower() not in _EXCLUDED_RESPONSE_HEADERS
        )
        return ServiceResponse(head.status, forwarded_headers, body)

    async def _async_exchange(
        self,
        target: DispatchTarget,
        path: str,
        body: msgspec.Struct,
        dispatch_id: DispatchId,
        response_type: type[AnswerT],
        timeout: float,
    ) -> tuple[AnswerT, OpenDispatch]:
        """Send a JSON body and decode the complete response."""
        request = self._json_request(path, body, dispatch_id, HTTPHeaders())
        async with OpenDispatch(self._pool, self._budget, target.record, request) as dispatch:
            head = await dispatch.async_head(timeout)
            self._check_status(target, head.status)
            data = await dispatch.async_body(
                timeout, self._settings.max_response_bytes, total_timeout=timeout
            )
        return _decode_response(dispatch, data, response_type), dispatch

    def _json_request(
        self, path: str, body: Any, dispatch_id: DispatchId, headers: HTTPHeaders
    ) -> OutgoingRequest:
        """Return a POST request with a JSON body."""
        headers["Content-Type"] = "application/json"
        return OutgoingRequest("POST", path, headers, _ENCODER.encode(body), dispatch_id)

    def _check_status(self, target: DispatchTarget, status: int) -> None:
        """Raise unless the status is 200."""
        if status == 200:
            return
        refusal = Refusal(ResultCode.ENDPOINT_REFUSED, f"{target.endpoint_id}: status {status}")
        raise DispatchError(DispatchFailure(Dispatch.MAY_HAVE_RUN, refusal))

    async def _async_prune(self) -> None:
        """Close connections that exceed the idle time limit."""
        self._pool.prune()


def _decode_response(dispatch: OpenDispatch, data: bytes, response_type: type[AnswerT]) -> AnswerT:
    """Return a decoded response.

    Raises:
        DispatchError: The response is malformed.
    """
    try:
        return msgspec.json.decode(data, type=response_type)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise dispatch.invalid_response(f"malformed answer: {error}") from error


def _check_resumed(dispatch: OpenDispatch, headers: HTTPHeaders, first_token: int) -> None:
    """Raise unless the endpoint resumed from the requested token."""
    if headers.get(HEADER_RESUMED_FROM) != str(first_token):
        raise dispatch.invalid_response("the endpoint did not resume the answer")
