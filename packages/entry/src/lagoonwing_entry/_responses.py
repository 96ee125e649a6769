"""Response bodies for callers: streamed and complete completions, and errors."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Protocol

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError

from lagoonwing_core.ids import RequestId
from lagoonwing_core.result_codes import Outcome
from lagoonwing_entry.errors import CallerGoneError
from lagoonwing_entry.models import CompletionKind, ModelCall, RequestResult, TokenBatch

_ENCODER = msgspec.json.Encoder()
_EVENT_END = b"\n\n"
_DONE_EVENT = b"data: [DONE]\n\n"
_VERSION_WITH_CHUNKS = "HTTP/1.1"
_OBJECT_BY_KIND = {CompletionKind.CHAT: "chat.completion", CompletionKind.TEXT: "text_completion"}
_CHUNK_OBJECT_BY_KIND = {
    CompletionKind.CHAT: "chat.completion.chunk",
    CompletionKind.TEXT: "text_completion",
}


class Usage(msgspec.Struct):
    """Token usage of a completion."""

    completion_tokens: int


class ErrorBody(msgspec.Struct):
    """Details of an error."""

    message: str
    code: int
    outcome: str
    request_id: str


class ErrorEnvelope(msgspec.Struct):
    """Body of an error response, and last event of a failed stream."""

    error: ErrorBody


class FinalEvent(msgspec.Struct, omit_defaults=True):
    """Event before `[DONE]` with the outcome of a complete stream."""

    id: str
    object: str
    model: str
    outcome: str
    code: int
    request_id: str
    usage: Usage
    choices: tuple[()] = ()


class Message(msgspec.Struct):
    """Message of a complete chat response."""

    role: str
    content: str


class ChatChoice(msgspec.Struct):
    """Choice of a complete chat response."""

    index: int
    message: Message
    finish_reason: str


class TextChoice(msgspec.Struct):
    """Choice of a complete text response."""

    index: int
    text: str
    finish_reason: str


class CompletionResponse(msgspec.Struct):
    """Complete response of a completion."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[ChatChoice | TextChoice, ...]
    usage: Usage


def error_body(request_id: RequestId, finished: RequestResult) -> bytes:
    """Return the JSON error body of a failed request."""
    detail = finished.refusal.detail if finished.refusal is not None else finished.code.name
    body = ErrorBody(detail, finished.code.value, finished.outcome.value, request_id)
    return _ENCODER.encode(ErrorEnvelope(body))


class StreamWriter(Protocol):
    """Part of the HTTP handler that a streamed response needs."""

    request: HTTPServerRequest

    def start_stream(self) -> None:
        """Set the response headers."""

    def write(self, chunk: bytes) -> None:
        """Buffer a chunk for the next flush."""

    def flush(self) -> asyncio.Future[None]:
        """Send the buffered chunks."""

    def finish(self) -> asyncio.Future[None]:
        """End the response."""


class BufferedSink:
    """Collects tokens until the completion is complete."""

    started = False

    def __init__(self, request_id: RequestId, call: ModelCall) -> None:
        self._request_id = request_id
        self._call = call
        self._texts: list[str] = []

    async def async_write(self, batch: TokenBatch) -> None:
        """Buffer tokens."""
        self._texts.extend(token.text for token in batch.tokens)

    def body(self, finish_reason: str) -> bytes:
        """Return the response body."""
        text = "".join(self._texts)
        choice: ChatChoice | TextChoice
        match self._call.kind:
            case CompletionKind.CHAT:
                choice = ChatChoice(0, Message("assistant", text), finish_reason)
            case CompletionKind.TEXT:
                choice = TextChoice(0, text, finish_reason)
        response = CompletionResponse(
            self._request_id,
            _OBJECT_BY_KIND[self._call.kind],
            int(time.time()),
            self._call.model_id,
            (choice,),
            Usage(len(self._texts)),
        )
        return _ENCODER.encode(response)


class StreamSink:
    """Writes each token as a server-sent event."""

    def __init__(
        self, handler: StreamWriter, request_id: RequestId, call: ModelCall, timeout_s: float
    ) -> None:
        self._handler = handler
        self._request_id = request_id
        self._call = call
        self._timeout_s = timeout_s
        self._tokens = 0
        self.started = False
        self._prefix, self._suffix = _event_frame(request_id, call)

    async def async_write(self, batch: TokenBatch) -> None:
        """Write tokens, waiting if the caller reads slowly.

        Raises:
            CallerGoneError: The caller closed the connection or the write timed out.
        """
        if not self.started:
            self._handler.start_stream()
            self.started = True
        parts: list[bytes] = []
        for token in batch.tokens:
            parts += (self._prefix, _ENCODER.encode(token.text), self._suffix)
        self._tokens += len(batch.tokens)
        self._handler.write(b"".join(parts))
        await self.async_flush()

    async def async_flush(self) -> None:
        """Wait until the operating system has accepted the written data.

        Raises:
            CallerGoneError: The caller closed the connection or the write timed out.
        """
        try:
            flushed = self._handler.flush()
            if flushed.done():
                flushed.result()
                return
            async with asyncio.timeout(self._timeout_s):
                await flushed
        except (StreamClosedError, TimeoutError) as error:
            raise CallerGoneError from error

    async def async_end(self, finished: RequestResult) -> None:
        """End the stream with its outcome, or with an error event and a closed connection."""
        if finished.outcome is Outcome.DONE:
            self._handler.write(self._last_events(finished))
            await self._async_finish()
            return
        self._handler.write(
            b"event: error\ndata: " + error_body(self._request_id, finished) + _EVENT_END
        )
        with contextlib.suppress(CallerGoneError):
            await self.async_flush()
        # Without the final chunk of the framing, clients detect that the response is incomplete.
        self._connection().close()

    async def _async_finish(self) -> None:
        """End the response; without chunks the end of the connection completes it."""
        stream = self._connection().stream
        await self._handler.finish()
        # The connection would be kept for a caller of HTTP/1.0 that asks for keep-alive.
        if self._handler.request.version != _VERSION_WITH_CHUNKS:
            stream.close()

    def _connection(self) -> HTTP1Connection:
        """Return the connection of the caller."""
        connection = self._handler.request.connection
        assert isinstance(connection, HTTP1Connection)
        return connection

    def _last_events(self, finished: RequestResult) -> bytes:
        """Return the finish reason, outcome and `[DONE]` events."""
        finish = _finish_event(self._request_id, self._call, finished.finish_reason)
        last = FinalEvent(
            self._request_id,
            _CHUNK_OBJECT_BY_KIND[self._call.kind],
            self._call.model_id,
            finished.outcome.value,
            finished.code.value,
            self._request_id,
            Usage(self._tokens),
        )
        return finish + b"data: " + _ENCODER.encode(last) + _EVENT_END + _DONE_EVENT


def _event_frame(request_id: RequestId, call: ModelCall) -> tuple[bytes, bytes]:
    """Return the bytes before and after the token text in each event."""
    head = _event_head(request_id, call)
    match call.kind:
        case CompletionKind.CHAT:
            return (
                head + b'"choices":[{"index":0,"delta":{"content":',
                b'},"finish_reason":null}]}' + _EVENT_END,
            )
        case CompletionKind.TEXT:
            return (
                head + b'"choices":[{"index":0,"text":',
                b',"finish_reason":null}]}' + _EVENT_END,
            )


def _finish_event(request_id: RequestId, call: ModelCall, reason: str) -> bytes:
    """Return the event with the finish reason."""
    content = b'"delta":{}' if call.kind is CompletionKind.CHAT else b'"text":""'
    head = _event_head(request_id, call) + b'"choices":[{"index":0,' + content
    return head + b',"finish_reason":' + _ENCODER.encode(reason) + b"}]}" + _EVENT_END


def _event_head(request_id: RequestId, call: ModelCall) -> bytes:
    """Return the start of an event with the fields common to all events."""
    fields = {
        "id": request_id,
        "object": _CHUNK_OBJECT_BY_KIND[call.kind],
        "created": int(time.time()),
        "model": call.model_id,
    }
    return b"data: " + _ENCODER.encode(fields)[:-1] + b","
