"""Endpoints that neither read nor write for a while, and then go on or stay silent."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from platform_deployment import Deployment
from tornado.iostream import StreamClosedError
from tornado.netutil import add_accept_handler

from lagoonwing_fakes.platform import Endpoint, WorkHandler
from lagoonwing_fakes.platform.const import ADDRESS, EVENTS
from lagoonwing_platform.const import (
    HEADER_ATTEMPT_ID,
    HEADER_LAST_EVENT,
    HEADER_PATH,
    HEADER_SIGNATURE,
    HEADER_TOKENS,
)

_LISTEN_BACKLOG = 128
_FILLER_CONNECTIONS = 4
# Time in which a connection attempt on loopback succeeds if it ever does.
_CONNECT_S = 0.02
_EVENT_INTERVAL_S = 0.01


class SilentEndpoints:
    """Falls and stays silent on behalf of the endpoints of a deployment.

    Attributes:
        arrivals: Ids of the requests in the order in which endpoints read them.
        silent_after_event: Event after which an endpoint on the path of a stream falls silent.
        victim: Position on the path of the endpoint that falls silent.
        accepts: Whether a silent endpoint accepts connections.
        silence_s: Time for which it stays silent; None means for good.
        has_fallen_silent: Set once an endpoint has fallen silent.
        on_silence: Called with the endpoint that falls silent.
    """

    def __init__(
        self, deployment: Deployment, *, accepts: bool, silence_s: float | None, victim: int = 0
    ) -> None:
        self.arrivals: list[str] = []
        self.silent_after_event: int | None = 3
        self.victim = victim
        self.accepts = accepts
        self.silence_s = silence_s
        self.has_fallen_silent = asyncio.Event()
        self.on_silence: Callable[[Endpoint], None] = lambda endpoint: None
        self._endpoint_by_port = {endpoint.port: endpoint for endpoint in deployment.endpoints}
        self._awake_by_port = {port: asyncio.Event() for port in self._endpoint_by_port}
        self._fillers: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        for endpoint in deployment.endpoints:
            self._awake_by_port[endpoint.port].set()
            endpoint.handler_override = self.async_handle

    async def async_close(self) -> None:
        """Wake all endpoints."""
        for task in self._tasks:
            task.cancel()
        for port, awake in self._awake_by_port.items():
            if not awake.is_set():
                self._wake(self._endpoint_by_port[port])

    async def async_silence(self, endpoint: Endpoint) -> None:
        """Silence an endpoint for the configured time."""
        self._awake_by_port[endpoint.port].clear()
        if not self.accepts:
            await self._async_stop_accepting(endpoint)
        self.on_silence(endpoint)
        self.has_fallen_silent.set()
        if self.silence_s is not None:
            self._tasks.append(asyncio.create_task(self._async_wake_later(endpoint)))

    async def _async_wake_later(self, endpoint: Endpoint) -> None:
        """Wake an endpoint after its silence."""
        assert self.silence_s is not None
        await asyncio.sleep(self.silence_s)
        self._wake(endpoint)

    async def _async_stop_accepting(self, endpoint: Endpoint) -> None:
        """Leave the connections of an endpoint unaccepted and fill its queue of them."""
        server = endpoint.server
        assert server is not None
        ((descriptor, listener),) = server._sockets.items()
        server._handlers.pop(descriptor)()
        listener.listen(0)
        for _ in range(_FILLER_CONNECTIONS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            self._fillers.append(filler)
            try:
                async with asyncio.timeout(_CONNECT_S):
                    await asyncio.get_running_loop().sock_connect(filler, (ADDRESS, endpoint.port))
            except TimeoutError:
                return
        raise AssertionError("the queue of connections is not full")

    def _wake(self, endpoint: Endpoint) -> None:
        """Let an endpoint go on."""
        server = endpoint.server
        assert server is not None
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        for descriptor, listener in server._sockets.items():
            if descriptor not in server._handlers and listener.fileno() >= 0:
                listener.listen(_LISTEN_BACKLOG)
                server._handlers[descriptor] = add_accept_handler(
                    listener, server._handle_connection
                )
        self._awake_by_port[endpoint.port].set()

    async def async_handle(self, handler: WorkHandler) -> None:
        """Serve a request; an endpoint falls silent in the middle of a stream."""
        await self._awake_by_port[handler.endpoint.port].wait()
        self.arrivals.append(handler.attempt_id)
        handler.endpoint.executed_ids.append(handler.attempt_id)
        handler.set_header(HEADER_SIGNATURE, f"stamp-{handler.endpoint.endpoint_id}")
        is_call = handler.request.headers.get(HEADER_TOKENS) is None
        try:
            await (self._async_serve_call if is_call else self._async_serve_stream)(handler)
        except StreamClosedError:
            handler._finished = True

    async def _async_serve_call(self, handler: WorkHandler) -> None:
        """Serve a call; the endpoint falls silent before it answers."""
        if self.silent_after_event is not None:
            self.silent_after_event = None
            await self.async_silence(handler.endpoint)
        await self._awake_by_port[handler.endpoint.port].wait()
        await handler.finish(b"body of " + handler.request.headers[HEADER_ATTEMPT_ID].encode())

    async def _async_serve_stream(self, handler: WorkHandler) -> None:
        """Send the events of a stream while all endpoints on its path are awake."""
        path = self._path(handler.request.headers[HEADER_PATH])
        first = int(handler.request.headers.get(HEADER_LAST_EVENT, "0")) + 1
        for number in range(first, EVENTS + 1):
            for endpoint in path:
                await self._awake_by_port[endpoint.port].wait()
            handler.write(f"id: {number}\ndata: token {number}\n\n")
            await handler.flush()
            await asyncio.sleep(_EVENT_INTERVAL_S)
            if number == self.silent_after_event:
                self.silent_after_event = None
                await self.async_silence(path[self.victim])
        await handler.finish()

    def _path(self, header: str) -> list[Endpoint]:
        """Return the endpoints that a path header names."""
        ports = (int(part.split("=")[0].rsplit(":", 1)[1]) for part in header.split(","))
        return [self._endpoint_by_port[port] for port in ports]


def stop_endpoint(endpoint: Endpoint) -> None:
    """Refuse connections to an endpoint from now on, as after the end of its process."""
    server: Any = endpoint.server
    server.stop()
