"""Plain-service stand-in: every call has an effect that is logged."""

from __future__ import annotations

import asyncio
import hashlib
from typing import Any

from lagoonwing_fakes._engine import OverloadedError, Pacer
from lagoonwing_fakes._handlers import FakeHandler
from lagoonwing_fakes.const import HEADER_IDEMPOTENCY_KEY
from lagoonwing_fakes.models import Fault


class EffectCounter:
    """Number of effects so far."""

    def __init__(self) -> None:
        self.value = 0


class ServiceHandler(FakeHandler):
    """Any method on any path."""

    def initialize(self, **kwargs: Any) -> None:
        """Take the effect counter."""
        super().initialize(**kwargs)
        self.effects: EffectCounter = kwargs["effects"]

    async def get(self) -> None:
        """Run a call."""
        await self._async_call()

    async def post(self) -> None:
        """Run a call."""
        await self._async_call()

    async def put(self) -> None:
        """Run a call."""
        await self._async_call()

    async def delete(self) -> None:
        """Run a call."""
        await self._async_call()

    async def _async_call(self) -> None:
        """Cause the effect and answer."""
        fault = self.engine.take_fault(self.request.body.decode(errors="replace"))
        if fault is Fault.REFUSE:
            self.refuse(503, "told to refuse")
            return
        try:
            await self.engine.async_take_slot("normal")
        except OverloadedError:
            self.refuse(429, "queue full")
            return
        try:
            await self._async_run(fault)
        finally:
            self.engine.release_slot()

    async def _async_run(self, fault: Fault) -> None:
        """Run the call with its fault."""
        if fault is Fault.CRASH_BEFORE:
            self.engine.crash(self.request_id)
        await Pacer(self.engine).async_wait()
        number = self._cause_effect()
        if fault is Fault.CRASH_AFTER:
            self.engine.crash(self.request_id)
        if fault in (Fault.RESET, Fault.TRUNCATED):
            self._break(fault)
            return
        if fault is Fault.FREEZE:
            await self.engine.async_freeze()
        if fault is Fault.LATE:
            await asyncio.sleep(self.engine.plan.delay_s)
        answer_id = self.request_id
        if fault is Fault.CROSSED:
            answer_id = self.engine.crossed_id(self.request_id)
        self.engine.last_request_id = self.request_id
        self.echo(answer_id, self.attempt)
        self.finish_json({"effect": number, "path": self.request.path})

    def _cause_effect(self) -> int:
        """Count and log the effect."""
        self.effects.value += 1
        self.engine.log.write(
            "effect",
            request_id=self.request_id,
            attempt=self.attempt,
            method=self.request.method,
            path=self.request.path,
            key=self.request.headers.get(HEADER_IDEMPOTENCY_KEY, ""),
            body=hashlib.sha256(self.request.body).hexdigest()[:16],
            number=self.effects.value,
        )
        return self.effects.value

    def _break(self, fault: Fault) -> None:
        """Close the connection before or in the middle of the answer."""
        if fault is Fault.TRUNCATED:
            head = f"HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Request-Id: {self.request_id}\r\n"
            self.write_raw((head + f"X-Attempt: {self.attempt}\r\n\r\n" + '{"eff').encode())
        self.cut()
