"""HTTP server for the health probes and metrics of a process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aioprometheus.collectors import Registry
from aioprometheus.renderer import render
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

_MAX_REQUEST_BYTES = 16 * 1024


class MetricsServer:
    """Serves `/metrics`, `/healthz` and, if a readiness check is given, `/readyz`."""

    name = "metrics_server"

    def __init__(
        self,
        address: str,
        port: int,
        collect: Callable[[], Registry],
        why_not_ready: Callable[[], str | None] | None = None,
    ) -> None:
        """Create the server.

        Args:
            address: IP address to listen on.
            port: TCP port.
            collect: Returns the registry with current metric values.
            why_not_ready: Returns the reason why the process is not ready, or `None` if it is.
        """
        self._address = address
        self._port = port
        rules: list[tuple[Any, ...]] = [
            ("/healthz", _HealthHandler),
            ("/metrics", _MetricsHandler, {"collect": collect}),
        ]
        if why_not_ready is not None:
            rules.append(("/readyz", _ReadyHandler, {"why_not_ready": why_not_ready}))
        self._server = HTTPServer(Application(rules), max_body_size=_MAX_REQUEST_BYTES)

    async def async_setup(self) -> None:
        """Start listening."""
        self._server.listen(self._port, self._address)

    async def async_unload(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


class _HealthHandler(RequestHandler):
    """Liveness probe."""

    def get(self) -> None:
        """Handle the liveness probe."""
        self.finish("ok\n")


class _ReadyHandler(RequestHandler):
    """Readiness probe."""

    def initialize(self, why_not_ready: Callable[[], str | None]) -> None:
        """Store the readiness check."""
        self._why_not_ready = why_not_ready

    def get(self) -> None:
        """Respond with 200 if ready, otherwise 503 and the reason."""
        reason = self._why_not_ready()
        if reason is not None:
            self.set_status(503)
            self.finish(f"{reason}\n")
            return
        self.finish("ok\n")


class _MetricsHandler(RequestHandler):
    """Metrics endpoint."""

    def initialize(self, collect: Callable[[], Registry]) -> None:
        """Store the metrics source."""
        self._collect = collect

    def get(self) -> None:
        """Render the metrics in the format negotiated through `Accept`."""
        content, headers = render(self._collect(), self.request.headers.get_list("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)
