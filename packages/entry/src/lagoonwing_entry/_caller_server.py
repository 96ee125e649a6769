"""HTTP server for callers and the load balancer."""

from __future__ import annotations

from typing import Any

from tornado.netutil import bind_sockets
from tornado.web import Application

from lagoonwing_entry._bounded_server import BoundedHTTPServer, bounded_server
from lagoonwing_entry._caller_handlers import (
    CallerContext,
    ModelsHandler,
    NotFoundHandler,
)
from lagoonwing_entry._completion_handlers import CompletionHandler
from lagoonwing_entry._service_handlers import ServiceHandler
from lagoonwing_entry._status_handlers import HealthHandler, MetricsHandler, ReadinessHandler
from lagoonwing_entry.models import CallerServerSettings, CompletionKind


class CallerServer:
    """Listens for caller connections."""

    name = "caller_server"

    def __init__(self, settings: CallerServerSettings, context: CallerContext) -> None:
        self._settings = settings
        self._context = context
        self._server: BoundedHTTPServer | None = None
        self.port = settings.port

    async def async_setup(self) -> None:
        """Start listening."""
        sockets = bind_sockets(self._settings.port, self._settings.address)
        self.port = sockets[0].getsockname()[1]
        self._server = bounded_server(self._application(), self._settings.max_connections)
        self._server.add_sockets(sockets)

    async def async_unload(self) -> None:
        """Stop listening and close open connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def _application(self) -> Application:
        """Return the application with its routes."""
        common: dict[str, Any] = {"context": self._context}
        chat = {**common, "kind": CompletionKind.CHAT}
        text = {**common, "kind": CompletionKind.TEXT}
        return Application(
            [
                ("/v1/chat/completions", CompletionHandler, chat),
                ("/v1/completions", CompletionHandler, text),
                ("/v1/models", ModelsHandler, common),
                ("/services/[^/]+(?:/.*)?", ServiceHandler, common),
                ("/healthz", HealthHandler, common),
                ("/readyz", ReadinessHandler, common),
                ("/metrics", MetricsHandler, common),
            ],
            default_handler_class=NotFoundHandler,
            default_handler_args=common,
            log_function=lambda handler: None,
        )
