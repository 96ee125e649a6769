"""A fake endpoint: its HTTP server and its announcements."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from lagoonwing_fakes._announcer import Announcer
from lagoonwing_fakes._engine import Engine
from lagoonwing_fakes._execution_log import ExecutionLog
from lagoonwing_fakes._handlers import CacheEventsHandler, ControlHandler, LoadHandler
from lagoonwing_fakes._model_handlers import CompletionHandler
from lagoonwing_fakes._service_handlers import EffectCounter, ServiceHandler
from lagoonwing_fakes._stage_handlers import (
    ExportHandler,
    ImportHandler,
    ReplayHandler,
    StepHandler,
)
from lagoonwing_fakes.const import LEAVE_TIMEOUT_S, MAX_BODY_BYTES
from lagoonwing_fakes.models import FakeKind, FakeSettings, FaultPlan, StageCache


class FakeEndpoint:
    """Runs a fake endpoint on the current event loop."""

    name = "fake_endpoint"

    def __init__(
        self,
        settings: FakeSettings,
        plan: FaultPlan | None = None,
        incarnation: int | None = None,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation or time.time_ns() // 1_000_000
        self.port = settings.port
        self.cache_by_request: dict[str, StageCache] = {}
        self.log = ExecutionLog(settings.log_path, settings.endpoint_id, self.incarnation)
        self.engine = Engine(settings, self.log, plan or FaultPlan())
        self._server: HTTPServer | None = None
        self._announcer: Announcer | None = None

    async def async_setup(self) -> None:
        """Start listening, then announce."""
        sockets = bind_sockets(self.settings.port, self.settings.address)
        self.port = sockets[0].getsockname()[1]
        self._server = HTTPServer(self._make_application(), max_body_size=MAX_BODY_BYTES)
        self._server.add_sockets(sockets)
        self._announcer = Announcer(self.settings, self.port, self.incarnation)
        await self._announcer.async_setup()

    async def async_leave(self) -> None:
        """Announce the leave and wait for running sequences to end."""
        assert self._announcer is not None
        await self._announcer.async_leave()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.engine.idle.wait(), LEAVE_TIMEOUT_S)

    async def async_unload(self) -> None:
        """Stop immediately, without announcing a leave."""
        if self._announcer is not None:
            await self._announcer.async_unload()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
        self.log.close()

    def announcement_record(self, state: str = "serving") -> dict[str, Any]:
        """Return the announcement record, for tests that send it themselves."""
        assert self._announcer is not None
        return self._announcer.record(state)

    def _make_application(self) -> Application:
        """Create the application with the handlers for this kind of endpoint."""
        common: dict[str, Any] = {"engine": self.engine, "incarnation": self.incarnation}
        handlers: list[Any] = [
            ("/fake/control", ControlHandler, common),
            ("/load", LoadHandler, common),
            ("/cache-events", CacheEventsHandler, common),
        ]
        match self.settings.kind:
            case FakeKind.WHOLE_MODEL:
                handlers += [
                    ("/v1/chat/completions", CompletionHandler, {**common, "chat": True}),
                    ("/v1/completions", CompletionHandler, {**common, "chat": False}),
                ]
            case FakeKind.STAGE:
                stage = {**common, "cache_by_request": self.cache_by_request}
                handlers += [
                    ("/stage/step", StepHandler, stage),
                    ("/stage/replay", ReplayHandler, stage),
                    ("/stage/export", ExportHandler, stage),
                    ("/stage/import", ImportHandler, stage),
                ]
            case FakeKind.SERVICE:
                handlers.append(("/.*", ServiceHandler, {**common, "effects": EffectCounter()}))
        return Application(handlers, log_function=lambda handler: None)
