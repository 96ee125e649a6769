"""Fake endpoints that follow the documentation of the users' platform."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from lagoonwing_fakes.platform._requests import make_heartbeat
from lagoonwing_fakes.platform.const import ADDRESS, EVENTS
from lagoonwing_platform.const import (
    HEADER_ATTEMPT_ID,
    HEADER_EXPECTED_ENDPOINT,
    HEADER_LAST_EVENT,
    HEADER_LIMIT,
    HEADER_SIGNATURE,
    HEADER_TOKENS,
    PATH_ORDER,
    PATH_REPORT,
)

RequestBehavior = Callable[["WorkHandler"], Any]

_MISDIRECTED_STATUS = 421


class _EndpointServer(HTTPServer):
    """Server whose open connections can be closed at once."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Create the server."""
        self._streams: set[IOStream] = set()
        super().initialize(*args, **kwargs)

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve a connection and remember it while it is open."""
        self._streams.add(stream)
        super().handle_stream(stream, address)

    def crash(self) -> None:
        """Stop listening and close all connections."""
        self.stop()
        for stream in self._streams:
            stream.close()
        self._streams.clear()


@dataclass
class Endpoint:
    """A fake endpoint of the platform.

    Attributes:
        handler_override: Overrides the handling of a request; by default it succeeds.
        executed_ids: Ids of the requests that were executed.
        request_limit: Requests per second that it names as its limit, if any.
        arrived_at: Time of each request that reached it.
    """

    endpoint_id: str
    service: str
    port: int
    kind: str | None = None
    layers: tuple[int, int] | None = None
    handler_override: RequestBehavior | None = None
    executed_ids: list[str] = field(default_factory=list)
    request_limit: float | None = None
    arrived_at: list[float] = field(default_factory=list)
    headers_by_attempt_id: dict[str, dict[str, str]] = field(default_factory=dict)
    orders: int = 0
    sequence: int = 0
    server: _EndpointServer | None = None
    has_crashed: bool = False
    caller_disconnected: asyncio.Event = field(default_factory=asyncio.Event)

    def heartbeat(self, **changes: Any) -> bytes:
        """Build the body of the next heartbeat."""
        self.sequence += 1
        return make_heartbeat(
            self.service, self.port, self.sequence, self.kind, self.layers, **changes
        )

    def crash(self) -> None:
        """End like a killed process: no listener, and no connection is left."""
        assert self.server is not None
        self.has_crashed = True
        self.server.crash()


class WorkHandler(RequestHandler):
    """Handles requests to an endpoint."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Store the endpoint."""
        self.endpoint = endpoint

    async def prepare(self) -> None:
        """Record the request and handle it."""
        self.attempt_id = self.request.headers[HEADER_ATTEMPT_ID]
        self.endpoint.headers_by_attempt_id[self.attempt_id] = dict(self.request.headers.get_all())
        self.endpoint.arrived_at.append(asyncio.get_running_loop().time())
        self.set_header(HEADER_ATTEMPT_ID, self.attempt_id)
        if self.endpoint.request_limit is not None:
            self.set_header(HEADER_LIMIT, f"{self.endpoint.request_limit:g}")
        expected_id = self.request.headers.get(HEADER_EXPECTED_ENDPOINT, self.endpoint.endpoint_id)
        if expected_id != self.endpoint.endpoint_id:
            self.set_status(_MISDIRECTED_STATUS)
            self.finish()
            return
        if self.endpoint.handler_override is not None:
            await self.endpoint.handler_override(self)
        if not self._finished:
            await self.send_response()

    def on_connection_close(self) -> None:
        """Record that the caller has disconnected."""
        self.endpoint.caller_disconnected.set()

    async def send_response(self) -> None:
        """Execute the request and send a successful response."""
        self.endpoint.executed_ids.append(self.attempt_id)
        self.set_header(HEADER_SIGNATURE, f"stamp-{self.endpoint.endpoint_id}")
        if self.request.headers.get(HEADER_TOKENS) is None:
            self.finish(b"body of " + self.attempt_id.encode() + b" " + self.request.body)
            return
        await self.send_events(EVENTS)
        self.finish()

    async def send_events(self, end: int) -> None:
        """Send the events after the last one that the caller received."""
        first = int(self.request.headers.get(HEADER_LAST_EVENT, "0")) + 1
        self.set_header("Content-Type", "text/event-stream")
        for number in range(first, end + 1):
            self.write(f"id: {number}\ndata: token {number}\n\n")
            await self.flush()


class _ReportHandler(RequestHandler):
    """Serves the state of an engine."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Store the endpoint."""
        self.endpoint = endpoint

    def get(self) -> None:
        """Return the state."""
        self.finish({"sequence": self.endpoint.orders, "busy": False})


class _HealthHandler(RequestHandler):
    """Serves health checks."""

    def get(self) -> None:
        """Say that the endpoint is healthy."""
        self.finish()


class _OrderHandler(RequestHandler):
    """Handles placement orders to an engine."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Store the endpoint."""
        self.endpoint = endpoint

    def post(self) -> None:
        """Accept an order if its precondition matches."""
        order = json.loads(self.request.body)
        if order["precondition"] != self.endpoint.orders:
            self.set_status(409)
            self.finish({})
            return
        self.endpoint.orders += 1
        self.endpoint.layers = (order["from"], order["to"])
        self.set_status(202)
        self.finish({})


def start_endpoint(
    endpoint_id: str, service: str, kind: str | None = None, port: int | None = None
) -> Endpoint:
    """Start a fake endpoint on the given port, or on a free one."""
    if port is None:
        sock, port = bind_unused_port(address=ADDRESS)
    else:
        (sock,) = bind_sockets(port, ADDRESS)
    endpoint = Endpoint(endpoint_id, service, port, kind)
    arguments = {"endpoint": endpoint}
    application = Application(
        [
            (PATH_REPORT, _ReportHandler, arguments),
            (PATH_ORDER, _OrderHandler, arguments),
            ("/healthz", _HealthHandler),
            (".*", WorkHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    endpoint.server = _EndpointServer(application)
    endpoint.server.add_socket(sock)
    return endpoint
