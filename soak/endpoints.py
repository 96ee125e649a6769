"""Simulated endpoints with injectable link faults, and a record of the requests they got."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from lagoonwing_fakes.platform.const import ADDRESS
from lagoonwing_platform.const import (
    HEADER_ATTEMPT_ID,
    HEADER_EXPECTED_ENDPOINT,
    HEADER_LAST_EVENT,
    HEADER_NOT_EXECUTED,
    HEADER_SIGNATURE,
    PATH_ORDER,
    PATH_REPORT,
)
from soak.const import EVENT_PAUSE_S, EVENTS


class LinkFault(Enum):
    """Fault injected into the connections of an endpoint."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    LOST_ANSWER = "lost_answer"
    PROCESS_PAUSE = "process_pause"
    HOST_PAUSE = "host_pause"


PAUSES = (LinkFault.PROCESS_PAUSE, LinkFault.HOST_PAUSE)
_BACKLOG = 100


@dataclass
class RequestRecord:
    """Requests recorded by all endpoints.

    Attributes:
        runs_by_id: Number of executions of each request.
        reached: Endpoint, id and time of each request that reached an endpoint.
    """

    runs_by_id: Counter[str] = field(default_factory=Counter)
    reached: list[tuple[str, str, float]] = field(default_factory=list)


class SoakEndpoint:
    """One simulated endpoint; the soak test sets its fault."""

    def __init__(
        self, endpoint_id: str, service: str, requests: RequestRecord, rng: random.Random
    ) -> None:
        self.endpoint_id = endpoint_id
        self.service = service
        self.fault = LinkFault.NONE
        self.is_engine = service == "engines"
        self.layers: tuple[int, int] | None = None
        self.sequence = 0
        self.port = 0
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
        """Listen on a free port, or on the previous one."""
        self._listener = socket.create_server((ADDRESS, self.port), backlog=_BACKLOG)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._start(self._async_accept(self._listener))

    async def async_unload(self) -> None:
        """Stop listening and abort all connections."""
        self.set_fault(LinkFault.NONE)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._listener is not None:
            self._listener.close()
        self.reset_connections()

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
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
                headers = {name.lower(): value for name, value in headers.items()}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self._is_running.wait()
                await self._async_respond(lines[0].split()[1], headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _async_respond(
        self, path: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to one request."""
        if path == PATH_REPORT:
            _write(writer, 200, {}, b'{"sequence":%d,"busy":false}' % self._orders)
            return
        if path == PATH_ORDER:
            self._handle_order(body, writer)
            return
        attempt_id = headers[HEADER_ATTEMPT_ID.lower()]
        echo = {HEADER_ATTEMPT_ID: attempt_id}
        self._requests.reached.append(
            (self.endpoint_id, attempt_id, asyncio.get_running_loop().time())
        )
        if headers.get(HEADER_EXPECTED_ENDPOINT.lower(), self.endpoint_id) != self.endpoint_id:
            _write(writer, 421, echo, b"")
            return
        if self._rng.random() < 0.02:
            _write(writer, 503, {**echo, HEADER_NOT_EXECUTED: "1"}, b"")
            return
        await self._async_apply_fault(writer)
        self._requests.runs_by_id[attempt_id] += 1
        echo[HEADER_SIGNATURE] = f"signed-{self.endpoint_id}"
        if self.fault is LinkFault.LOST_ANSWER:
            writer.transport.abort()
            return
        if self.is_engine:
            await self._async_stream(headers, echo, writer)
        else:
            _write(writer, 200, echo, f"done {attempt_id}".encode())
            await writer.drain()

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
        self, headers: dict[str, str], echo: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Stream the events that follow the last event id received by the caller."""
        head = {**echo, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        _write(writer, 200, head, None)
        first = int(headers.get(HEADER_LAST_EVENT.lower(), "0")) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {headers[HEADER_ATTEMPT_ID.lower()]}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
            await self._is_running.wait()
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


def _write(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes | None
) -> None:
    """Write the response head and, except for a stream, the body."""
    if body is not None:
        headers = {**headers, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode() + (body or b""))
