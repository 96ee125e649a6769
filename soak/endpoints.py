"""Simulated endpoints with injectable link faults, and a record of the requests they got."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from lagoonwing_fakes.platform.const import ADDRESS
from lagoonwing_platform.const import (
    HEADER_ATTEMPT_ID,
    HEADER_EXPECTED_ENDPOINT,
    HEADER_LAST_EVENT,
    HEADER_LIMIT,
    HEADER_NOT_EXECUTED,
    HEADER_PAUSE,
    HEADER_SIGNATURE,
    PATH_ORDER,
    PATH_REPORT,
)
from soak.const import EVENT_PAUSE_S, EVENTS, MAX_RESTART_S, MIN_RESTART_S
from soak.crashing_part import CRASHING_PART, HEADER_PROMPT_PARTS, CrashingPartRecord
from soak.faulty_connections import FaultyConnection, ReceivedRequest
from soak.gateway_cuts import GatewayCuts
from soak.notices import EndpointWords
from soak.second_answers import AnswerRecords, SecondAnswers


class LinkFault(Enum):
    """Fault injected into the connections of an endpoint."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    LOST_ANSWER = "lost_answer"
    PROCESS_PAUSE = "process_pause"
    HOST_PAUSE = "host_pause"
    CRASH = "crash"


PAUSES = (LinkFault.PROCESS_PAUSE, LinkFault.HOST_PAUSE)
_BACKLOG = 100
HEALTH_PATH = "/healthz"


@dataclass
class RequestRecord:
    """Requests recorded by all endpoints.

    Attributes:
        runs_by_id: Number of executions of each request.
        reached: Endpoint, id and time of each request that reached an endpoint.
        crashing_part: Crashes and requests with a prompt part that crashes engines.
        answers: Signed answers.
    """

    runs_by_id: Counter[str] = field(default_factory=Counter)
    reached: list[tuple[str, str, float]] = field(default_factory=list)
    crashing_part: CrashingPartRecord = field(default_factory=CrashingPartRecord)
    answers: AnswerRecords = field(default_factory=AnswerRecords)


@dataclass
class _Link:
    """A connection, as seen by cuts.

    Attributes:
        owner: Process id of the gateway at the other end; 0 if it is none.
        is_held_up: Whether the last request on it was held up by a cut.
    """

    owner: int
    is_held_up: bool = False


class SoakEndpoint:
    """One simulated endpoint; the soak test sets its fault.

    Attributes:
        endpoint_id: Id of the current incarnation.
        incarnation: Number of the current incarnation, from 1.
        is_up: Whether it is running; if not, the next incarnation starts soon.
        request_limit: Requests per second that it names as its limit, if any.
        answers_twice: Whether it repeats some answers later; not for streams.
        make_faulty_connection: Returns what answers calls on a new connection, if set.
        cuts: Cuts of gateways from all endpoints, if any come.
        event_pause_s: Pause between two events of a stream.
        declined_share: Share of the requests that it refuses without running them.
        words: What it says of itself in its answers, if anything.
    """

    def __init__(
        self, name: str, service: str, requests: RequestRecord, rng: random.Random
    ) -> None:
        self.endpoint_id = name
        self.incarnation = 1
        self.is_up = False
        self.service = service
        self.fault = LinkFault.NONE
        self.request_limit: float | None = None
        self.answers_twice = False
        self.cuts: GatewayCuts | None = None
        self.event_pause_s = EVENT_PAUSE_S
        self.declined_share = 0.02
        self.words: EndpointWords | None = None
        self.make_faulty_connection: Callable[[asyncio.StreamWriter], FaultyConnection] | None
        self.make_faulty_connection = None
        self.is_engine = service == "engines"
        self.layers: tuple[int, int] | None = None
        self.sequence = 0
        self.port = 0
        self._name = name
        self._orders = 0
        self._requests = requests
        self._rng = rng
        self._listener: socket.socket | None = None
        self._backlog_fillers: list[socket.socket] = []
        self._is_running = asyncio.Event()
        self._is_running.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def async_setup(self) -> None:
        """Listen on a free port."""
        self._listen(self._bind())

    async def async_unload(self) -> None:
        """Stop listening and abort all connections."""
        self.set_fault(LinkFault.NONE)
        self._stop()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self) -> None:
        """Abort everything; the next incarnation starts after some seconds at the same address."""
        if not self.is_up:
            return
        self.set_fault(LinkFault.NONE)
        self._stop()
        # A bound port refuses connections, and no other socket gets it.
        self._start(self._async_restart(self._bind()))

    def _bind(self) -> socket.socket:
        """Return a socket that is bound to the port of the endpoint, or to a free one."""
        listener = socket.socket()
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ADDRESS, self.port))
        self.port = listener.getsockname()[1]
        return listener

    def _listen(self, listener: socket.socket) -> None:
        """Start accepting connections."""
        listener.listen(_BACKLOG)
        self._listener = listener
        self.is_up = True
        self._start(self._async_accept(listener))

    def _stop(self) -> None:
        """Stop listening and abort all connections."""
        self.is_up = False
        for task in list(self._tasks):
            task.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.reset_connections()

    async def _async_restart(self, listener: socket.socket) -> None:
        """Start the next incarnation, which holds nothing."""
        try:
            await asyncio.sleep(self._rng.uniform(MIN_RESTART_S, MAX_RESTART_S))
        except asyncio.CancelledError:
            listener.close()
            raise
        self.incarnation += 1
        if self.words is not None:
            self.words.clear()
        self.endpoint_id = f"{self._name}-{self.incarnation}"
        self.layers = None
        self.sequence = 0
        self._orders = 0
        self._listen(listener)

    def set_fault(self, fault: LinkFault) -> None:
        """Set the active fault; `NONE` clears it."""
        self.fault = fault
        if fault is LinkFault.RESET:
            self.reset_connections()
        if fault in PAUSES:
            self._is_running.clear()
        else:
            self._is_running.set()
        if fault is LinkFault.HOST_PAUSE:
            self._fill_backlog()
        else:
            self._empty_backlog()

    def _fill_backlog(self) -> None:
        """Let the kernel drop connection attempts, as those to a host that stands still."""
        if self._listener is None or self._backlog_fillers:
            return
        self._listener.listen(0)
        # The pending accept call takes the first one.
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((ADDRESS, self.port))
            self._backlog_fillers.append(filler)

    def _empty_backlog(self) -> None:
        """Let the kernel accept connection attempts again."""
        for filler in self._backlog_fillers:
            filler.close()
        self._backlog_fillers.clear()
        if self._listener is not None:
            self._listener.listen(_BACKLOG)

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task until the endpoint is unloaded."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_accept(self, listener: socket.socket) -> None:
        """Accept connections, except while the host stands still."""
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(listener)
            self._start(self._async_serve(*await asyncio.open_connection(sock=connection)))
            if self.fault is LinkFault.HOST_PAUSE:
                await self._is_running.wait()

    def reset_connections(self) -> None:
        """Abort all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self._writers.add(writer)
        link = _Link(0 if self.cuts is None else self.cuts.owner(writer))
        second_answers = SecondAnswers(self._rng, writer)
        faulty = self.make_faulty_connection and self.make_faulty_connection(writer)
        try:
            if self.cuts is not None:
                self.cuts.refuse_if_cut(link.owner)
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
                headers = {name.lower(): value for name, value in headers.items()}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self._is_running.wait()
                if self.cuts is not None:
                    link.is_held_up = await self.cuts.async_pass(link.owner)
                if faulty is not None and HEADER_ATTEMPT_ID.lower() in headers:
                    await self._async_respond_faultily(lines[0], headers, body, faulty)
                    continue
                if self.answers_twice and HEADER_ATTEMPT_ID.lower() in headers:
                    await self._async_respond_twice(headers, second_answers)
                    continue
                await self._async_respond(lines[0].split()[1], headers, body, writer, link)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _async_respond(
        self,
        path: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
        link: _Link,
    ) -> None:
        """Respond to one request."""
        if path == HEALTH_PATH:
            await self._async_apply_fault(writer)
            _write(writer, 200, {}, b"")
            return
        if path == PATH_REPORT:
            _write(writer, 200, {}, b'{"sequence":%d,"busy":false}' % self._orders)
            return
        if path == PATH_ORDER:
            self._handle_order(body, writer)
            return
        attempt_id = headers[HEADER_ATTEMPT_ID.lower()]
        echo = {HEADER_ATTEMPT_ID: attempt_id}
        if self.request_limit is not None:
            echo[HEADER_LIMIT] = f"{self.request_limit:g}"
        if not link.is_held_up:
            # What a cut held up was sent before, whenever it arrives.
            self._requests.reached.append(
                (self.endpoint_id, attempt_id, asyncio.get_running_loop().time())
            )
        if self.words is not None:
            held_up = link.is_held_up
            echo |= self.words.receive(self.endpoint_id, link.owner, is_held_up=held_up)
        if _has_crashing_part(headers):
            self._requests.crashing_part.reached_at.append(asyncio.get_running_loop().time())
        if headers.get(HEADER_EXPECTED_ENDPOINT.lower(), self.endpoint_id) != self.endpoint_id:
            _write(writer, 421, echo, b"")
            return
        if HEADER_PAUSE in echo or self._rng.random() < self.declined_share:
            _write(writer, 503, {**echo, HEADER_NOT_EXECUTED: "1"}, b"")
            return
        await self._async_apply_fault(writer)
        self._requests.runs_by_id[attempt_id] += 1
        echo[HEADER_SIGNATURE] = self._requests.answers.sign(self.endpoint_id, attempt_id, 200)
        if self.fault is LinkFault.LOST_ANSWER:
            writer.transport.abort()
            return
        if self.is_engine:
            await self._async_stream(headers, echo, writer, link.owner)
        else:
            _write(writer, 200, echo, f"done {attempt_id}".encode())
            await writer.drain()

    async def _async_respond_twice(
        self, headers: dict[str, str], second_answers: SecondAnswers
    ) -> None:
        """Respond to a call, and perhaps once more."""
        attempt_id = headers[HEADER_ATTEMPT_ID.lower()]
        echo = {HEADER_ATTEMPT_ID: attempt_id}
        status = second_answers.draw_status()
        if headers.get(HEADER_EXPECTED_ENDPOINT.lower(), self.endpoint_id) != self.endpoint_id:
            status = 421
        if status in (421, 503):
            second_answers.write(_encode(status, {**echo, HEADER_NOT_EXECUTED: "1"}, b""))
            return
        self._requests.runs_by_id[attempt_id] += 1
        await second_answers.async_work()
        signature = self._requests.answers.sign(self.endpoint_id, attempt_id, status)
        body = f"done {attempt_id}".encode()
        second_answers.write(_encode(status, {**echo, HEADER_SIGNATURE: signature}, body))

    async def _async_respond_faultily(
        self, request_line: str, headers: dict[str, str], body: bytes, faulty: FaultyConnection
    ) -> None:
        """Respond to a call on a connection with faulty answers."""
        method, path, _ = request_line.split()
        last_event = int(headers.get(HEADER_LAST_EVENT.lower(), "0"))
        attempt_id = headers[HEADER_ATTEMPT_ID.lower()]
        request = ReceivedRequest(attempt_id, method, path, body, last_event)
        expected_id = headers.get(HEADER_EXPECTED_ENDPOINT.lower(), self.endpoint_id)
        await faulty.async_respond(request, is_misdirected=expected_id != self.endpoint_id)

    async def _async_apply_fault(self, writer: asyncio.StreamWriter) -> None:
        """Apply the current link fault before the request runs."""
        match self.fault:
            case LinkFault.DELAY:
                await asyncio.sleep(self._rng.uniform(0.1, 1.0))
            case LinkFault.RESET:
                writer.transport.abort()
                raise ConnectionError
            case LinkFault.SILENT:
                await asyncio.sleep(30.0)
            case _:
                pass

    async def _async_stream(
        self,
        headers: dict[str, str],
        echo: dict[str, str],
        writer: asyncio.StreamWriter,
        owner: int,
    ) -> None:
        """Stream the events that follow the last event id received by the caller."""
        head = {**echo, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        _write(writer, 200, head, None)
        if _has_crashing_part(headers):
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
            self._requests.crashing_part.crashed_at.append(asyncio.get_running_loop().time())
            self.crash()
            raise ConnectionError
        first = int(headers.get(HEADER_LAST_EVENT.lower(), "0")) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {headers[HEADER_ATTEMPT_ID.lower()]}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_pause_s)
            await self._is_running.wait()
            if self.cuts is not None:
                await self.cuts.async_pass(owner)
            if self.fault is LinkFault.RESET:
                writer.transport.abort()
                raise ConnectionError
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _handle_order(self, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Load the layers of a placement order; reject an order whose precondition is stale."""
        order = msgspec.json.decode(body)
        if order["precondition"] != self._orders:
            _write(writer, 409, {}, b"{}")
            return
        self._orders += 1
        self.layers = (order["from"], order["to"])
        _write(writer, 202, {}, b"{}")


def _has_crashing_part(headers: dict[str, str]) -> bool:
    """Return whether the prompt of a request has the part that crashes engines."""
    return f",{CRASHING_PART}:" in headers.get(HEADER_PROMPT_PARTS.lower(), "")


def _write(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes | None
) -> None:
    """Write the response head and, except for a stream, the body."""
    writer.write(_encode(status, headers, body))


def _encode(status: int, headers: dict[str, str], body: bytes | None) -> bytes:
    """Return the bytes of a response head and, except for a stream, the body."""
    if body is not None:
        headers = {**headers, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode() + (body or b"")
