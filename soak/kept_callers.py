"""Callers that keep their connections and check every byte that comes on them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from lagoonwing_fakes.platform import SystemProcess, make_caller_headers
from lagoonwing_fakes.platform.const import CALLER_PORT
from lagoonwing_platform.const import HEADER_ATTEMPT_ID, HEADER_SIGNATURE
from soak.const import DEADLINE_MS
from soak.models import SoakContext

KEPT_CALLERS = 16
_MAX_PAUSE_S = 0.03
_ANSWER_TIMEOUT_S = DEADLINE_MS / 1_000 + 1.0
_RECONNECT_PAUSE_S = 0.2


@dataclass(frozen=True, slots=True)
class _Answer:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class KeptCaller:
    """Sends calls over one connection, one after another."""

    def __init__(self, context: SoakContext, number: int) -> None:
        self._context = context
        self._number = number
        self._sent = 0

    async def async_run(self) -> None:
        """Send calls until cancelled; connect anew whenever a connection ends."""
        while True:
            process = self._context.rng.choice(self._context.processes.gateways)
            try:
                await self._async_use_connection(process)
            except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError):
                await asyncio.sleep(_RECONNECT_PAUSE_S)

    async def _async_use_connection(self, process: SystemProcess) -> None:
        """Send calls until the connection ends."""
        reader, writer = await asyncio.open_connection(process.address, CALLER_PORT)
        try:
            while not reader.at_eof():
                await self._async_pause(reader)
                self._sent += 1
                attempt_id = f"k-{self._number}-{self._sent}"
                kind = self._context.rng.choice(("safe", "safe", "unsafe"))
                writer.write(_encode_request(kind, attempt_id))
                async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                    answer = await _async_read_answer(reader)
                self._context.outcome.sent += 1
                self._check(kind, attempt_id, answer)
        finally:
            writer.close()

    async def _async_pause(self, reader: asyncio.StreamReader) -> None:
        """Wait a while; nothing may come meanwhile."""
        try:
            async with asyncio.timeout(self._context.rng.uniform(0.0, _MAX_PAUSE_S)):
                unasked = await reader.read(1)
        except TimeoutError:
            return
        if unasked:
            self._context.outcome.violations.append(f"unasked byte {unasked!r} at a caller")
        raise EOFError

    def _check(self, kind: str, attempt_id: str, answer: _Answer) -> None:
        """Check one answer."""
        outcome = self._context.outcome
        requests = self._context.requests
        if answer.headers.get(HEADER_ATTEMPT_ID.lower()) != attempt_id:
            outcome.violations.append(f"{attempt_id}: answer of another request")
        signature = answer.headers.get(HEADER_SIGNATURE.lower())
        wrong = requests.answers.find_violation(attempt_id, answer.status, signature)
        if wrong is not None:
            outcome.violations.append(wrong)
        if answer.status == 200:
            outcome.served += 1
            if signature is None or answer.body != f"done {attempt_id}".encode():
                outcome.violations.append(f"{attempt_id}: wrong body {answer.body!r}")
        if answer.status in (408, 421, 429, 503) and requests.runs_by_id[attempt_id]:
            text = f"{attempt_id}: {kind}, answered {answer.status}, but an endpoint ran it"
            outcome.violations.append(text)


def _encode_request(kind: str, attempt_id: str) -> bytes:
    """Return the bytes of a call."""
    body = b"" if kind == "safe" else f"question {attempt_id}".encode()
    headers = make_caller_headers(kind, attempt_id, DEADLINE_MS)
    headers["Content-Length"] = str(len(body))
    method = "GET" if kind == "safe" else "POST"
    lines = [
        f"{method} /{kind}/x HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _async_read_answer(reader: asyncio.StreamReader) -> _Answer:
    """Read one answer that has a length.

    Raises:
        EOFError: The connection ended first.
    """
    status_line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
    body = await reader.readexactly(int(headers["content-length"]))
    return _Answer(int(status_line.split()[1]), headers, body)
