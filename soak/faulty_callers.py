"""Callers of endpoints with faulty answers, and the checks on each byte that they get."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass
from functools import partial

from lagoonwing_fakes.platform import make_caller_headers
from lagoonwing_fakes.platform.const import CALLER_PORT
from lagoonwing_platform.const import HEADER_ATTEMPT_ID, HEADER_SIGNATURE
from soak.const import DEADLINE_MS, EVENTS
from soak.crashing_part import HEADER_PROMPT_PARTS
from soak.faulty_answers import AnswerFault, AnswerFaults
from soak.faulty_connections import FaultyConnection, FaultyRecord, ReceivedRequest, encode_events
from soak.models import SoakContext

FAULTY_ENDPOINTS = 3
FAULTY_ENGINES = 4

_CALLERS = 30
_STREAM_CALLERS = 8
_PROMPT_PARTS = "f125:4,50d:6"
_MAX_PAUSE_S = 0.03
_ANSWER_TIMEOUT_S = DEADLINE_MS / 1_000 + 1.0
_MAX_RUNS_BY_KIND = {"safe": 2, "unsafe": 1, "stream": 2}
_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Time in which endpoints would execute requests that callers no longer wait for.
_SETTLE_S = 1.0
_MIN_TIME_BETWEEN_STOPS_S = 0.5
_MAX_TIME_BETWEEN_STOPS_S = 3.0
_SHOWN_BYTES = 400
_MIN_STOP_S = 0.05
_MAX_STOP_S = 1.2


class NoAnswerError(Exception):
    """The bytes that a caller got are no answer."""


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """A complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes


def parse_answer(data: bytes) -> CallerAnswer | None:
    """Parse all bytes of a connection with one request; return None if the answer isn't complete.

    Raises:
        NoAnswerError: They are no answer, or more than one.
    """
    head, separator, rest = data.partition(b"\r\n\r\n")
    if data and not (data.startswith(b"HTTP/1.1 ") or b"HTTP/1.1 ".startswith(data)):
        raise NoAnswerError("no status line")
    if not separator:
        return None
    status_line, *lines = head.decode("latin-1").split("\r\n")
    status = status_line.split(" ")[1]
    if not (status.isdecimal() and len(status) == 3):
        raise NoAnswerError("no status")
    if not all(": " in line for line in lines):
        raise NoAnswerError("no header")
    names = [line.partition(":")[0].lower() for line in lines]
    if any(names.count(name.lower()) > 1 for name in (HEADER_ATTEMPT_ID, HEADER_SIGNATURE)):
        raise NoAnswerError("doubled header")
    headers = {name: line.partition(": ")[2] for name, line in zip(names, lines, strict=True)}
    body = _parse_body(headers, rest)
    return None if body is None else CallerAnswer(int(status), headers, body)


def _parse_body(headers: dict[str, str], data: bytes) -> bytes | None:
    """Return a complete body, or None.

    Raises:
        NoAnswerError: Other bytes follow, or chunks can't be read.
    """
    if headers.get("transfer-encoding") == "chunked":
        return _parse_chunks(data)
    length = headers.get("content-length")
    if length is None:
        return data
    if len(data) > int(length):
        raise NoAnswerError("bytes behind the answer")
    return data if len(data) == int(length) else None


def _parse_chunks(data: bytes) -> bytes | None:
    """Return the body of complete chunks, or None.

    Raises:
        NoAnswerError: Other bytes follow, or a chunk can't be read.
    """
    body = b""
    while True:
        line, separator, data = data.partition(b"\r\n")
        if not separator:
            return None
        try:
            size = int(line, 16)
        except ValueError:
            raise NoAnswerError("no chunk") from None
        if size == 0:
            return _end_of_chunks(body, data)
        if len(data) < size + 2:
            return None
        body, data = body + data[:size], data[size + 2 :]


def _read_chunks(data: bytes) -> bytes:
    """Return the body that came in chunks, the last of which may be cut."""
    body = b""
    while data:
        line, _, data = data.partition(b"\r\n")
        size = int(line, 16) if line else 0
        body, data = body + data[:size], data[size + 2 :]
    return body


def _end_of_chunks(body: bytes, rest: bytes) -> bytes | None:
    """Return the body if the end of the last chunk is complete, else None.

    Raises:
        NoAnswerError: Other bytes follow.
    """
    if rest == b"\r\n":
        return body
    if b"\r\n".startswith(rest):
        return None
    raise NoAnswerError("bytes behind the answer")


class FaultyAnswersPlay:
    """Calls endpoints with faulty answers, each call on a new connection."""

    def __init__(self, context: SoakContext, answer_faults: Collection[AnswerFault]) -> None:
        self._context = context
        self._record = FaultyRecord(context.requests.answers)
        self._sent_by_id: dict[str, ReceivedRequest] = {}
        self._refused: set[str] = set()
        self._served_by_kind: Counter[str] = Counter()
        faults = AnswerFaults(context.rng, answer_faults)
        for endpoint in context.endpoints:
            endpoint.make_faulty_connection = partial(
                self._make_connection, endpoint.endpoint_id, faults
            )

    def _make_connection(
        self, endpoint_id: str, faults: AnswerFaults, writer: asyncio.StreamWriter
    ) -> FaultyConnection:
        """Return what answers the calls on a new connection of an endpoint."""
        return FaultyConnection(endpoint_id, writer, self._context.rng, faults, self._record)

    async def async_run(self, seconds: float) -> None:
        """Call for some time; with an even seed, gateways are stopped now and then."""
        kinds = [("safe", "unsafe")] * _CALLERS + [("stream",)] * _STREAM_CALLERS
        tasks = [asyncio.ensure_future(self._async_call_repeatedly(item)) for item in kinds]
        if self._context.outcome.seed % 2 == 0:
            tasks.append(asyncio.ensure_future(self._async_stop_gateways()))
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        await asyncio.sleep(_SETTLE_S)

    async def _async_stop_gateways(self) -> None:
        """Stop one gateway after another for a short time."""
        rng = self._context.rng
        while True:
            await asyncio.sleep(rng.uniform(_MIN_TIME_BETWEEN_STOPS_S, _MAX_TIME_BETWEEN_STOPS_S))
            process = rng.choice(self._context.processes.gateways)
            self._context.outcome.record_fault(f"SIGSTOP {process.name}")
            process.signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(rng.uniform(_MIN_STOP_S, _MAX_STOP_S))
            finally:
                process.signal(signal.SIGCONT)

    async def _async_call_repeatedly(self, kinds: tuple[str, ...]) -> None:
        """Send one request after another."""
        while True:
            await asyncio.sleep(self._context.rng.uniform(0.0, _MAX_PAUSE_S))
            kind = self._context.rng.choice(kinds)
            attempt_id = f"f-{len(self._sent_by_id)}"
            body = b"" if kind == "safe" else f"question {attempt_id}".encode()
            method = "GET" if kind == "safe" else "POST"
            request = ReceivedRequest(attempt_id, method, f"/{kind}/x", body)
            self._sent_by_id[attempt_id] = request
            self._context.outcome.sent += 1
            data = await self._async_call(request)
            if data is not None:
                self._check(kind, attempt_id, data)

    async def _async_call(self, request: ReceivedRequest) -> bytes | None:
        """Send a call on a new connection and return all bytes that come until its end."""
        process = self._context.rng.choice(self._context.processes.gateways)
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(process.address, CALLER_PORT)
                try:
                    writer.write(_encode_request(request))
                    return await reader.read(-1)
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return None

    def _check(self, kind: str, attempt_id: str, data: bytes) -> None:
        """Check all bytes that a caller got."""
        try:
            answer = parse_answer(data)
        except NoAnswerError as error:
            self._violate(attempt_id, f"{kind}: {error}", data)
            return
        if answer is None:
            if kind == "stream" and not _begins_stream(attempt_id, data):
                self._violate(attempt_id, f"{kind}: wrong events before the end", data)
            return
        self._context.outcome.served += answer.status == 200
        self._served_by_kind[kind] += answer.status == 200
        wrong = self._find_violation(attempt_id, answer)
        if wrong is not None:
            self._violate(attempt_id, f"{kind}: {wrong}", data)
        elif answer.status in _NOT_EXECUTED_STATUSES:
            self._refused.add(attempt_id)

    def _find_violation(self, attempt_id: str, answer: CallerAnswer) -> str | None:
        """Return which kind of violation an answer is, if any."""
        if answer.headers.get(HEADER_ATTEMPT_ID.lower(), attempt_id) != attempt_id:
            return "answer of another request"
        is_success = 200 <= answer.status < 300
        signature = answer.headers.get(HEADER_SIGNATURE.lower())
        if signature is None:
            return "unsigned success" if is_success else None
        record = self._record.answers.by_signature.get(signature)
        if record is None:
            return "unknown signature"
        if record.attempt_id != attempt_id:
            return "answer of another request"
        if record.status != answer.status:
            name = "success" if is_success else "failure"
            return f"{name} with the signature of a {record.status}"
        if record.body != answer.body:
            return "body incomplete or not the endpoint's"
        return None

    def _violate(self, attempt_id: str, kind: str, data: bytes = b"") -> None:
        """Record a violation, with what was sent on the connections that carried the request."""
        outcome = self._context.outcome
        outcome.count_by_kind[kind] += 1
        notes = "\n    ".join(self._record.notes_by_id[attempt_id])
        shown = data[:_SHOWN_BYTES]
        outcome.violations.append(f"{attempt_id}: {kind}, the caller got {shown!r}\n    {notes}")

    def check_runs(self) -> None:
        """Check that endpoints executed what callers sent, not too often and nothing refused."""
        runs_by_id = Counter(request.attempt_id for request in self._record.runs)
        for request in self._record.runs:
            if self._sent_by_id.get(request.attempt_id) != request:
                self._violate(request.attempt_id, "executed though nobody sent it")
        for attempt_id, runs in runs_by_id.items():
            if attempt_id not in self._sent_by_id:
                continue
            kind = self._sent_by_id[attempt_id].kind
            if runs > _MAX_RUNS_BY_KIND[kind]:
                self._violate(attempt_id, f"{kind}: executed {runs} times")
            if attempt_id in self._refused:
                self._violate(attempt_id, f"{kind}: refused, but executed")
        for kind in _MAX_RUNS_BY_KIND:
            if not self._served_by_kind[kind]:
                self._context.outcome.violations.append(f"{kind}: no request succeeded")


def _begins_stream(attempt_id: str, data: bytes) -> bool:
    """Return whether what came of an answer that isn't complete is the start of its stream."""
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator or b" 200 " not in head[:13]:
        return True
    chunked = b"transfer-encoding: chunked" in head.lower()
    received = _read_chunks(rest) if chunked else rest
    return encode_events(attempt_id, 0).startswith(received)


def _encode_request(request: ReceivedRequest) -> bytes:
    """Return the bytes of a request after whose answer the connection ends."""
    headers = make_caller_headers(request.kind, request.attempt_id, DEADLINE_MS, EVENTS)
    if request.kind == "stream":
        headers[HEADER_PROMPT_PARTS] = _PROMPT_PARTS
    headers["Content-Length"] = str(len(request.body))
    headers["Connection"] = "close"
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join([*lines, "", ""]).encode() + request.body
