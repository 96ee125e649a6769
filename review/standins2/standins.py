"""Stand-ins for clients, servers and the operator, as the platform's pages describe them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

Address = tuple[str, int]

HOST = "bodega.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
SERVICE = "bodega"
SERVER_PORT = 8120
STREAM_PREFIX = b"/plan/"
EVENTS = 20
EVENT_INTERVAL_S = 0.05
ATTEMPT_ID = "x-lagoonwing-attempt-id"
EXPECTED_ID = "x-lagoonwing-expect-instance"
STAMP = "X-Lagoonwing-Response-Stamp"
_MAX_HEAD_BYTES = 64 * 1_024
_CONTROL_TIMEOUT_S = 1.0


@dataclass
class Answer:
    """An answer to a request; status 0 means that the connection ended without one."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass
class Arrival:
    """A request that reached a server."""

    attempt_id: str
    method: str
    target: bytes
    headers: dict[str, str]
    body: bytes
    arrived_at: float


async def async_read_head(reader: asyncio.StreamReader) -> tuple[bytes, dict[str, str]]:
    """Return the first line and the headers of a message, with lower-case names.

    Raises:
        asyncio.IncompleteReadError: The connection ended first.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.decode("latin-1").lower()] = value.strip().decode("latin-1")
    return first, headers


async def async_read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message, by its length, in chunks or up to the end."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        chunks = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return chunks
            chunks += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def async_call(
    address: Address,
    method: str,
    target: bytes,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send a request on a new connection and return its answer."""
    lines = [method.encode() + b" " + target + b" HTTP/1.1"]
    lines += [f"{name}: {value}".encode("latin-1") for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}".encode(), b"Connection: close", b"", b""]
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address, limit=_MAX_HEAD_BYTES)
            writer.write(b"\r\n".join(lines) + body)
            first, answer_headers = await async_read_head(reader)
            content = await async_read_body(reader, answer_headers)
            return Answer(int(first.split(b" ")[1]), answer_headers, content)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0)
    finally:
        if writer is not None:
            writer.close()


def client_headers(attempt_id: str, deadline_ms: int = 4_000, key: str = KEY) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": HOST,
        "X-Lagoonwing-Attempt-Id": attempt_id,
        "X-Lagoonwing-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {key}",
    }


def make_configuration(version: int, tenants: list[dict[str, Any]] | None = None) -> bytes:
    """Return a configuration with an unsafe, a safe and a resumable route to one service."""

    def make_route(name: str, kind: str, attempts: int, timeout_ms: int) -> dict[str, Any]:
        is_stream = kind == "stream"
        return {
            "name": f"r-{name}",
            "host": HOST,
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": timeout_ms,
            "slo-ms": 300,
            "priority": 2,
            "service": SERVICE,
            "max-attempts": attempts,
            "public": False,
            **({"resumable": True, "gap-target-ms": 200} if is_stream else {}),
        }

    document = {
        "version": version,
        "routes": [
            make_route("issue", "unsafe", 1, 4_000),
            make_route("stock", "safe", 2, 4_000),
            make_route("plan", "stream", 2, 20_000),
        ],
        "services": [
            {
                "name": SERVICE,
                "health-path": "/healthz",
                "max-connections": 48,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": tenants or [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
    }
    return json.dumps(document).encode()


async def async_put_configuration(nodes: list[Address], body: bytes, timeout_s: float) -> bool:
    """Send a configuration to one node after the other until one acknowledges it."""
    deadline = time.monotonic() + timeout_s
    for node in itertools.cycle(nodes):
        answer = await async_call(
            node, "POST", b"/lagoonwing/config/put", _json_headers(node), body, _CONTROL_TIMEOUT_S
        )
        if answer.status == 200:
            return True
        if answer.status in (400, 409, 412, 413, 422) or time.monotonic() > deadline:
            return False
        await asyncio.sleep(0.2)
    return False


class Server:
    """A sound server: it runs requests that expect it and sends heartbeats.

    Attributes:
        arrivals: Requests that it has run.
        extra_headers: Headers that it adds to its answers.
        control_nodes: Nodes that it can reach; none while it is cut off from them.
        behavior: Called for each request before its answer, if set.
    """

    def __init__(
        self,
        server_id: str,
        address: str,
        zone: str,
        nodes: list[Address],
        *,
        slots: int = 6,
        service: str = SERVICE,
    ) -> None:
        self.server_id = server_id
        self.address = (address, SERVER_PORT)
        self.arrivals: list[Arrival] = []
        self.extra_headers: dict[str, str] = {}
        self.control_nodes = nodes
        self.behavior: Callable[[Arrival], Awaitable[None]] | None = None
        self.state = "ready"
        self._slots = slots
        self._service = service
        self._zone = zone
        self._born = int(time.time() * 1_000)
        self._sequence = 0
        self._node = 0
        self._listener: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def async_start(self, *, announces: bool = True) -> None:
        """Listen for requests and send heartbeats."""
        self._listener = await asyncio.start_server(
            self._async_serve, *self.address, limit=_MAX_HEAD_BYTES
        )
        if announces:
            self._heartbeats = asyncio.create_task(self._async_send_heartbeats())

    async def async_end(self) -> None:
        """End like a process that exits: no listener, no connection, no heartbeats."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.close()

    async def async_announce(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        if not self.control_nodes:
            return False
        self._sequence += 1
        body = {
            "service": self._service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        target = f"/lagoonwing/instances/{self.server_id}/heartbeat".encode()
        for _ in self.control_nodes:
            node = self.control_nodes[self._node % len(self.control_nodes)]
            content = json.dumps(body).encode()
            answer = await async_call(
                node, "POST", target, _json_headers(node), content, _CONTROL_TIMEOUT_S
            )
            if 200 <= answer.status < 300:
                return True
            self._node += 1
        return False

    async def _async_send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self.async_announce()
            await asyncio.sleep(1.2)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    await self._async_serve_one(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _async_serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one request."""
        first, headers = await async_read_head(reader)
        method, target, _ = first.split(b" ", 2)
        body = await async_read_body(reader, headers)
        attempt_id = headers.get(ATTEMPT_ID, "")
        answer_headers = {"X-Lagoonwing-Attempt-Id": attempt_id, **self.extra_headers}
        status, content = 200, f"{self.server_id} ran {attempt_id}".encode()
        if headers.get(EXPECTED_ID, self.server_id) != self.server_id:
            status, content = 421, b""
            answer_headers["X-Lagoonwing-Instance-Id"] = self.server_id
        elif not attempt_id:
            status, content = 400, b""
            answer_headers["X-Lagoonwing-Not-Executed"] = "1"
        else:
            arrival = Arrival(attempt_id, method.decode(), target, headers, body, time.monotonic())
            self.arrivals.append(arrival)
            answer_headers[STAMP] = f"{self.server_id}.{len(self.arrivals)}"
            if self.behavior is not None:
                await self.behavior(arrival)
            if target.startswith(STREAM_PREFIX):
                await self.async_stream(arrival, answer_headers, writer)
                return
        write_answer(writer, status, answer_headers, content)
        await writer.drain()

    async def async_stream(
        self, arrival: Arrival, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Answer with events after the last one that the client has."""
        begin_stream(writer, headers)
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            write_chunk(writer, make_event(number))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        write_chunk(writer, b"")
        await writer.drain()


def write_answer(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], content: bytes
) -> None:
    """Write an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(content)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + content)


def begin_stream(writer: asyncio.StreamWriter, headers: dict[str, str]) -> None:
    """Write the head of a stream."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "Transfer-Encoding: chunked", "", ""]).encode("latin-1"))


def write_chunk(writer: asyncio.StreamWriter, content: bytes) -> None:
    """Write a chunk of a stream; an empty one ends it."""
    writer.write(f"{len(content):x}\r\n".encode() + content + b"\r\n")


def make_event(number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def _json_headers(node: Address) -> dict[str, str]:
    """Return the headers of a call to a node."""
    return {"Host": f"{node[0]}:{node[1]}", "Content-Type": "application/json"}
