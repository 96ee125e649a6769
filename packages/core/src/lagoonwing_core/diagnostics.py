"""HTTP server of a process's metrics."""

from __future__ import annotations

from collections.abc import Callable

from aioprometheus.collectors import Registry
from aioprometheus.renderer import render
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

_MAX_REQUEST_BYTES = 64 * 1024


class MetricsServer:
    """Serves `/metrics` and `/healthz`."""

    name = "metrics_server"

    def __init__(
        self, address: str, port: int, registry: Registry, refresh: Callable[[], None]
    ) -> None:
        """Create the server.

        Args:
            address: IP number to listen on.
            port: TCP port.
            registry: Metrics to serve.
            refresh: Called before each answer, to bring gauges up to date.
        """
        self._address = address
        self._port = port
        application = Application(
            [
                ("/healthz", _HealthHandler),
                ("/metrics", _MetricsHandler, {"registry": registry, "refresh": refresh}),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application, max_body_size=_MAX_REQUEST_BYTES)

    async def async_setup(self) -> None:
        """Start to listen."""
        self._server.listen(self._port, self._address)

    async def async_unload(self) -> None:
        """Stop to listen and close every connection."""
        self._server.stop()
        await self._server.close_all_connections()


class _HealthHandler(RequestHandler):
    """Tells that the process runs."""

    def get(self) -> None:
        """Answer."""
        self.finish("ok\n")


class _MetricsHandler(RequestHandler):
    """Serves the metrics."""

    def initialize(self, registry: Registry, refresh: Callable[[], None]) -> None:
        """Take what is served."""
        self._registry = registry
        self._refresh = refresh

    def get(self) -> None:
        """Answer in the format that is asked for."""
        self._refresh()
        content, headers = render(self._registry, self.request.headers.get_list("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)
