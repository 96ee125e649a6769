"""Sends one request and measures its response token by token."""

from __future__ import annotations

import asyncio

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders, HTTPInputError
from tornado.iostream import UnsatisfiableReadError

from lagoonctl.load.const import CONNECT_TIMEOUT_S, MAX_LINE_BYTES, MAX_TOKEN_CHARACTERS
from lagoonctl.load.models import LoadPlan, PlannedRequest, RequestResult
from lagoonwing_core.callback import callback
from lagoonwing_core.result_codes import Outcome, ResultCode

_DATA_PREFIX = b"data: "
_DONE_MARKER = b"[DONE]"


class _Delta(msgspec.Struct):
    """Text of one streamed token."""

    content: str | None = None


class _Choice(msgspec.Struct):
    """Choice of a chunk."""

    delta: _Delta = msgspec.field(default_factory=_Delta)


class _Chunk(msgspec.Struct):
    """Event of a stream; events without choices carry the outcome."""

    choices: list[_Choice] = []
    outcome: str | None = None
    result_code: int | None = None


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


class _ResponseReader:
    """Parses server-sent events as they arrive; keeps no more than the request allows."""

    def __init__(self, result: RequestResult, run_start: float, sent_at: float) -> None:
        self._result = result
        self._run_start = run_start
        self._sent_at = sent_at
        self._last_token_at: float | None = None
        self._partial_line = b""
        self.has_started = False
        self.has_ended = False
        self._is_given_up = False

    @callback
    def on_header(self, line: str) -> None:
        """Record that a response has started, even if it breaks off before the first token."""
        self.has_started = self.has_started or (line.startswith("HTTP/") and " 200 " in line)

    @callback
    def on_bytes(self, data: bytes) -> None:
        """Process a chunk of the body."""
        if self._is_given_up:
            return
        lines = (self._partial_line + data).split(b"\n")
        self._partial_line = lines.pop()
        now = asyncio.get_running_loop().time()
        for line in lines:
            if line.startswith(_DATA_PREFIX):
                self._on_event(line[len(_DATA_PREFIX) :].strip(), now)
        if len(self._partial_line) > MAX_LINE_BYTES:
            self._give_up()

    def _give_up(self) -> None:
        """Keep nothing more of a reply that is too large."""
        self._is_given_up = True
        self._partial_line = b""
        self._result.broken = True

    def _on_event(self, event: bytes, now: float) -> None:
        """Process one event."""
        if event == _DONE_MARKER:
            self.has_ended = True
            return
        try:
            chunk = _CHUNK_DECODER.decode(event)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            self._result.broken = True
            return
        if chunk.outcome is not None:
            self._result.outcome = _to_outcome(chunk.outcome)
        if chunk.result_code is not None:
            self._result.code = chunk.result_code
        for choice in chunk.choices:
            if choice.delta.content:
                self._on_token(choice.delta.content, now)

    def _on_token(self, text: str, now: float) -> None:
        """Record one token."""
        result = self._result
        max_tokens = result.planned.max_tokens
        if self._is_given_up or len(result.token_times_s) >= max_tokens:
            self._give_up()
            return
        if len(result.text) + len(text) > max_tokens * MAX_TOKEN_CHARACTERS:
            self._give_up()
            return
        if self._last_token_at is None:
            result.first_token_s = now - self._sent_at
        else:
            result.gaps_s.append(now - self._last_token_at)
        self._last_token_at = now
        result.text += text
        result.token_times_s.append(now - self._run_start)


async def async_send(
    client: AsyncHTTPClient, plan: LoadPlan, planned: PlannedRequest, run_start: float
) -> RequestResult:
    """Send one request and wait for the end of its response.

    Args:
        client: Client that allows another open request.
        plan: Plan of the run.
        planned: Request to send.
        run_start: Loop time at the start of the run.

    Returns:
        The result, also if the response breaks off.
    """
    result = RequestResult(planned, Outcome.UNKNOWN, ResultCode.PEER_UNREACHABLE.value)
    reader = _ResponseReader(result, run_start, asyncio.get_running_loop().time())
    request = HTTPRequest(
        f"http://{planned.target.address}:{planned.target.port}/v1/chat/completions",
        method="POST",
        headers=_headers(plan, planned),
        body=_body(plan, planned),
        request_timeout=plan.timeout_s + CONNECT_TIMEOUT_S,
        connect_timeout=CONNECT_TIMEOUT_S,
        header_callback=reader.on_header,
        streaming_callback=reader.on_bytes if plan.streamed else _discard,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except (HTTPClientError, HTTPInputError, OSError, UnsatisfiableReadError):
        result.broken = reader.has_started
        return result
    _finish_result(plan, response, result, reader)
    return result


def _finish_result(
    plan: LoadPlan, response: HTTPResponse, result: RequestResult, reader: _ResponseReader
) -> None:
    """Read the outcome from the headers, and check that a stream is complete."""
    headers = response.headers
    result.request_id = headers.get("X-Request-Id", "")
    retry_after = headers.get("Retry-After")
    result.retry_after_s = _to_float(retry_after)
    if response.code != 200:
        result.outcome = _outcome(headers)
        result.code = _to_int(headers.get("X-Result-Code"), result.code)
        result.broken = reader.has_started
        return
    if not plan.streamed:
        result.outcome = _outcome(headers)
        result.code = _to_int(headers.get("X-Result-Code"), result.code)
        return
    if not reader.has_ended:
        result.broken = True


def _outcome(headers: HTTPHeaders) -> Outcome:
    """Return the outcome given in the headers, or `UNKNOWN`."""
    return _to_outcome(headers.get("X-Outcome", Outcome.UNKNOWN.value))


def _to_outcome(text: str) -> Outcome:
    """Return the outcome with a name, or `UNKNOWN`."""
    try:
        return Outcome(text)
    except ValueError:
        return Outcome.UNKNOWN


def _to_float(text: str | None) -> float | None:
    """Return a number, or None if there is none."""
    try:
        return float(text) if text else None
    except ValueError:
        return None


def _to_int(text: str | None, default: int) -> int:
    """Return a number, or the default if there is none."""
    try:
        return int(text) if text else default
    except ValueError:
        return default


def _discard(data: bytes) -> None:
    """Discard a chunk of a body that isn't streamed; its outcome is in the headers."""


def _headers(plan: LoadPlan, planned: PlannedRequest) -> dict[str, str]:
    """Build the request headers."""
    return {
        "Authorization": f"Bearer {planned.member.key}",
        "Content-Type": "application/json",
        "X-Deadline-Ms": str(round(plan.timeout_s * 1000)),
    }


def _body(plan: LoadPlan, planned: PlannedRequest) -> bytes:
    """Build the body of a chat completion."""
    return msgspec.json.encode(
        {
            "model": plan.model,
            "messages": [{"role": "user", "content": planned.prompt}],
            "max_tokens": planned.max_tokens,
            "stream": plan.streamed,
        }
    )
