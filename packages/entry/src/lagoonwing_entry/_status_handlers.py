"""Handlers for health, readiness and metrics."""

from __future__ import annotations

from typing import Any

import msgspec
from tornado.web import RequestHandler

from lagoonwing_entry._caller_handlers import CallerContext
from lagoonwing_entry.const import HEADER_RESULT_CODE


class Readiness(msgspec.Struct):
    """Body of `/readyz`."""

    ready: bool
    reason: str
    code: int


class StatusHandler(RequestHandler):
    """Base of the handlers that require no API key."""

    def initialize(self, context: CallerContext, **kwargs: Any) -> None:
        """Store the dependencies."""
        self.context = context


class HealthHandler(StatusHandler):
    """`GET /healthz`: whether the process responds."""

    def get(self) -> None:
        """Respond."""
        self.finish("ok\n")


class ReadinessHandler(StatusHandler):
    """`GET /readyz`: whether the load balancer may send callers to this host."""

    def get(self) -> None:
        """Respond whether this host accepts new work."""
        refusal = self.context.readiness.refusal()
        readiness = Readiness(True, "", 1000)
        if refusal is not None:
            self.set_status(503)
            readiness = Readiness(False, refusal.detail, refusal.code.value)
        self.set_header(HEADER_RESULT_CODE, str(readiness.code))
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(readiness))


class MetricsHandler(StatusHandler):
    """`GET /metrics`."""

    def get(self) -> None:
        """Respond with the metrics exposition."""
        metrics = self.context.metrics
        metrics.set_gauge("active_requests", self.context.runner.active_count)
        metrics.set_gauge("endpoints", len(self.context.directory.records()))
        metrics.set_gauge("ready", float(self.context.readiness.refusal() is None))
        metrics.set_gauge("revision", self.context.control.view.revision)
        body, headers = metrics.render(self.request.headers.get_list("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)
