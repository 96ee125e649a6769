"""Fake plain service: every call has a side effect, which is logged."""

from __future__ import annotations

import asyncio
import hashlib
from typing import Any

from lagoonwing_fakes._engine import OverloadedError, Pacer
from lagoonwing_fakes._handlers import FakeHandler
from lagoonwing_fakes.const import HEADER_IDEMPOTENCY_KEY
from lagoonwing_fakes.models import Fault


class EffectCounter:
    """Counts the side effects of a fake service."""

    def __init__(self) -> None:
        self.value = 0


class ServiceHandler(FakeHandler):
    """Handles calls on any path."""

    def initialize(self, **kwargs: Any) -> None:
        """Store the effect counter."""
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
        """Check for faults, acquire a slot and run the call."""
        fault = self.engine.consume_fault(self.request.body.decode(errors="replace"))
        if fault is Fault.REFUSE:
            self.refuse(503, "told to refuse")
            return
        try:
            await self.engine.async_acquire_slot("normal")
        except OverloadedError:
            self.refuse(429, "queue full")
            return
        try:
            await self._async_run(fault)
        finally:
            self.engine.release_slot()

    async def _async_run(self, fault: Fault) -> None:
        """Perform the side effect and send the response, injecting the given fault."""
        if fault is Fault.CRASH_BEFORE:
            self.engine.crash(self.request_id)
        await Pacer(self.engine).async_wait()
        number = self._perform_effect()
        if fault is Fault.CRASH_AFTER:
            self.engine.crash(self.request_id)
        if fault in (Fault.RESET, Fault.TRUNCATED):
            self._break_response(fault)
            return
        if fault is Fault.FREEZE:
            await self.engine.async_freeze()
        if fault is Fault.LATE:
            await asyncio.sleep(self.engine.plan.delay_s)
        response_id = self.request_id
        if fault is Fault.MISMATCHED_ID:
            response_id = self.engine.mismatched_id(self.request_id)
        self.engine.last_request_id = self.request_id
        self.set_identity_headers(response_id, self.attempt)
        self.finish_json({"effect": number, "path": self.request.path})

    def _perform_effect(self) -> int:
        """Count and log the side effect; return its number."""
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

    def _break_response(self, fault: Fault) -> None:
        """Close the connection before or during the response."""
        if fault is Fault.TRUNCATED:
            head = f"HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Request-Id: {self.request_id}\r\n"
            self.write_raw((head + f"X-Attempt: {self.attempt}\r\n\r\n" + '{"eff').encode())
        self.abort_connection()
