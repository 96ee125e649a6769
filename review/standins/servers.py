"""Stand-ins of the platform's servers, which announce themselves to the system."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

from standins.http import Message, async_read_message, async_request, encode

ATTEMPT_ID = "x-lagoonwing-attempt-id"
_EXPECTED = "x-lagoonwing-expect-instance"
HEARTBEAT_S = 1.2

Answer = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[bool]]


class Server:
    """A plain server, or a model server if it has a kind.

    Attributes:
        answer: Runs a request and writes its response; returns whether to keep the connection.
        runs: Attempt ids of the requests that it has begun to run.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str,
        address: str,
        controls: Callable[[], list[str]],
        record: Any,
        answer: Answer,
        kind: str | None = None,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.answer = answer
        self.runs: list[str] = []
        self._zone = zone
        self._address = address
        self._controls = controls
        self._record = record
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._kind = kind
        self._layers: dict[str, int] | None = None
        self._orders = 0
        self._port = 0
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Listen, and announce the server from now on."""
        self._server = await asyncio.start_server(self._async_serve, self._address, 0)
        self._port = self._server.sockets[0].getsockname()[1]
        self._heartbeats = asyncio.create_task(self._async_announce())
        self._record("server", id=self.server_id, service=self.service)

    def close(self) -> None:
        """Stop listening and announcing."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()

    async def _async_announce(self) -> None:
        """Send heartbeats; after a failure, call the next machine."""
        while True:
            self._sequence += 1
            body = {
                "service": self.service,
                "address": f"{self._address}:{self._port}",
                "zone": self._zone,
                "version": "v1",
                "slots": 6 if self._kind is None else 96,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": self._sequence,
                "born": self._born,
            }
            if self._kind is not None:
                body["kind"] = self._kind
            if self._layers is not None:
                body["layers"] = self._layers
            path = f"/lagoonwing/instances/{self.server_id}/heartbeat"
            for control in self._controls():
                try:
                    headers = {"Content-Type": "application/json"}
                    payload = json.dumps(body).encode()
                    response = await async_request(control, "POST", path, headers, payload)
                except (OSError, EOFError, TimeoutError):
                    continue
                if 200 <= response.status < 300:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                request = await async_read_message(reader, is_response=False)
                if not request.is_complete or not await self._async_respond(request, writer):
                    break
                await writer.drain()
        except (EOFError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _async_respond(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Respond to one request; return whether to keep the connection."""
        control = self._answer_control(request)
        if control is not None:
            writer.write(control)
            return True
        attempt_id = request.headers.get(ATTEMPT_ID, "")
        headers = {"X-Lagoonwing-Attempt-Id": attempt_id, "X-Lagoonwing-Not-Executed": "1"}
        if request.headers.get(_EXPECTED, self.server_id) != self.server_id:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
            return True
        if not attempt_id:
            writer.write(encode("HTTP/1.1 400 Bad Request", headers))
            return True
        self.runs.append(attempt_id)
        self._record(
            "run",
            server=self.server_id,
            attempt=attempt_id,
            request=f"{request.start[0]} {request.start[1]}",
        )
        return await self.answer(self, request, writer)

    def _answer_control(self, request: Message) -> bytes | None:
        """Return the answer to a health check, a report or an order; None for other requests."""
        headers = {"Content-Type": "application/json"}
        match request.start[1]:
            case "/healthz":
                return encode("HTTP/1.1 200 OK", {"X-Lagoonwing-Instance-Id": self.server_id})
            case "/lagoonwing/report":
                state = {"busy": False, "sequence": self._orders, "layers": self._layers}
                return encode("HTTP/1.1 200 OK", headers, json.dumps(state).encode())
            case "/lagoonwing/order":
                return self._answer_order(json.loads(request.body), headers)
            case _:
                return None

    def _answer_order(self, order: dict[str, Any], headers: dict[str, str]) -> bytes:
        """Take the layers of an order at once, if its precondition holds."""
        if order.get("precondition", self._orders) != self._orders:
            return encode("HTTP/1.1 409 Conflict", headers, b"{}")
        self._orders += 1
        self._layers = {"from": order["from"], "to": order["to"], "version": 1}
        self._record("order", server=self.server_id, layers=f"{order['from']}-{order['to']}")
        return encode("HTTP/1.1 202 Accepted", headers, b"{}")


def success_headers(server: Server, request: Message) -> dict[str, str]:
    """Return the headers of a successful response."""
    return {
        "X-Lagoonwing-Attempt-Id": request.headers[ATTEMPT_ID],
        "X-Lagoonwing-Response-Stamp": f"stamp.{server.server_id}.{len(server.runs)}",
    }


async def async_answer_plainly(
    server: Server, request: Message, writer: asyncio.StreamWriter
) -> bool:
    """Work for a moment, then answer with the name of the service."""
    await asyncio.sleep(0.06)
    body = f"{server.service} ran {request.headers[ATTEMPT_ID]}".encode()
    writer.write(encode("HTTP/1.1 200 OK", success_headers(server, request), body))
    return True
