"""Fake pipeline stage: runs a range of layers, one token at a time."""

from __future__ import annotations

import asyncio
from typing import Any

from lagoonwing_fakes._engine import OverloadedError, Pacer
from lagoonwing_fakes._handlers import FakeHandler
from lagoonwing_fakes.models import (
    ExportBody,
    Fault,
    ImportBody,
    ReplayBody,
    StageCache,
    StepBody,
)
from lagoonwing_fakes.tokens import prompt_seed, token_count, token_text


class StageHandler(FakeHandler):
    """Base class of the stage handlers."""

    def initialize(self, **kwargs: Any) -> None:
        """Store the KV caches of the stage."""
        super().initialize(**kwargs)
        self.cache_by_request: dict[str, StageCache] = kwargs["cache_by_request"]

    def refuse_if_fenced(self, request_id: str, attempt: int) -> bool:
        """Refuse an attempt below the highest one seen; return whether it was refused."""
        cache = self.cache_by_request.get(request_id)
        if cache is None or attempt >= cache.attempt:
            return False
        self.refuse(409, f"fenced by attempt {cache.attempt}")
        return True


class StepHandler(StageHandler):
    """`POST /stage/step`."""

    async def post(self) -> None:
        """Run the layers for one token."""
        body = self.decode_body(StepBody)
        if self.refuse_if_fenced(body.request_id, body.attempt):
            return
        if body.close:
            self.cache_by_request.pop(body.request_id, None)
            self._send_step_result(body, body.request_id, {})
            return
        fault = self.engine.consume_fault(str(body.state.get("prompt", "")))
        if fault is not Fault.NONE and body.token < self.engine.plan.after_tokens:
            self.engine.plan.count += 1 if self.engine.plan.count >= 0 else 0
            fault = Fault.NONE
        if fault is Fault.REFUSE:
            self.refuse(503, "told to refuse")
            return
        try:
            await self.engine.async_acquire_slot("normal")
        except OverloadedError:
            self.refuse(429, "queue full")
            return
        try:
            await self._async_step(body, fault)
        finally:
            self.engine.release_slot()

    async def _async_step(self, body: StepBody, fault: Fault) -> None:
        """Validate the step, run it and send the response."""
        cache = self._validate_step(body)
        if cache is None:
            return
        if fault is Fault.CRASH_BEFORE:
            self.engine.crash(body.request_id)
        if fault is Fault.FREEZE:
            await self.engine.async_freeze()
        extra_s = self.engine.settings.first_token_s if body.token == 0 else 0.0
        await Pacer(self.engine).async_wait(extra_s)
        cache.next_token = body.token + 1
        if self.engine.settings.log_tokens:
            self.engine.log.write(
                "token",
                request_id=body.request_id,
                attempt=body.attempt,
                token=body.token,
                first=body.first,
                end=body.end,
            )
        if fault is Fault.CRASH_AFTER:
            self.engine.crash(body.request_id)
        if fault in (Fault.TRUNCATED, Fault.RESET):
            self.abort_connection()
            return
        if fault is Fault.LATE:
            await asyncio.sleep(self.engine.plan.delay_s)
        response_id = body.request_id
        if fault is Fault.MISMATCHED_ID:
            response_id = self.engine.mismatched_id(body.request_id)
        self.engine.last_request_id = body.request_id
        self._send_step_result(body, response_id, self._output(body, cache))

    def _validate_step(self, body: StepBody) -> StageCache | None:
        """Return the KV cache if the token and layer range are next in order, else refuse."""
        settings = self.engine.settings
        if (body.first, body.end) != (settings.first, settings.end):
            self.refuse(409, "not the layers held here")
            return None
        cache = self.cache_by_request.get(body.request_id)
        if body.token == 0 and (cache is None or body.attempt > cache.attempt):
            cache = self._make_cache(body)
            self.cache_by_request[body.request_id] = cache
        if cache is None or body.token != cache.next_token:
            self.refuse(409, "no KV cache for this token")
            return None
        if body.first and body.state.get("layers") != body.first:
            self.refuse(409, "layers out of order")
            return None
        cache.attempt = body.attempt
        return cache

    def _make_cache(self, body: StepBody) -> StageCache:
        """Create the cache of a new sequence."""
        if body.first == 0:
            prompt = str(body.state.get("prompt", ""))
            limit = token_count(prompt, int(body.state.get("max_tokens", 0)))
            return StageCache(body.attempt, 0, prompt_seed(prompt), limit)
        seed = str(body.state.get("seed", ""))
        return StageCache(body.attempt, 0, seed, int(body.state.get("limit", 0)))

    def _output(self, body: StepBody, cache: StageCache) -> dict[str, Any]:
        """Return the output of the layers: activations, or a token after the last layer."""
        if body.end < self.engine.settings.layer_count:
            return {"layers": body.end, "seed": cache.seed, "limit": cache.limit}
        finished = body.token + 1 >= cache.limit
        return {"text": token_text(cache.seed, body.token), "finished": finished}

    def _send_step_result(self, body: StepBody, response_id: str, state: dict[str, Any]) -> None:
        """Send the result of one step."""
        self.set_identity_headers(response_id, body.attempt)
        self.finish_json(
            {
                "request_id": response_id,
                "attempt": body.attempt,
                "token": body.token,
                "first": body.first,
                "end": body.end,
                "state": state,
            }
        )


class ReplayHandler(StageHandler):
    """`POST /stage/replay`."""

    async def post(self) -> None:
        """Rebuild the KV cache from the prompt and the given tokens."""
        body = self.decode_body(ReplayBody)
        if self.refuse_if_fenced(body.request_id, body.attempt):
            return
        limit = token_count(body.prompt, body.max_tokens)
        cache = StageCache(body.attempt, len(body.tokens), prompt_seed(body.prompt), limit)
        self.cache_by_request[body.request_id] = cache
        self.engine.log.write(
            "replay",
            request_id=body.request_id,
            attempt=body.attempt,
            tokens=len(body.tokens),
            first=body.first,
            end=body.end,
        )
        self.set_identity_headers(body.request_id, body.attempt)
        self.finish_json({"request_id": body.request_id, "attempt": body.attempt})


class ExportHandler(StageHandler):
    """`POST /stage/export`."""

    async def post(self) -> None:
        """Export the KV cache of one request and fence lower attempts."""
        body = self.decode_body(ExportBody)
        cache = self.cache_by_request.get(body.request_id)
        if not self.engine.settings.exports_kv or cache is None:
            self.refuse(409, "no KV cache to export")
            return
        if self.refuse_if_fenced(body.request_id, body.attempt):
            return
        if cache.next_token < body.token:
            self.refuse(409, "fewer tokens cached than wanted")
            return
        cache.attempt = body.attempt
        cache.next_token = body.token
        self.engine.log.write("export", request_id=body.request_id, attempt=body.attempt)
        self.set_identity_headers(body.request_id, body.attempt)
        self.finish_json({"request_id": body.request_id, "attempt": body.attempt, "kv": cache})


class ImportHandler(StageHandler):
    """`POST /stage/import`."""

    async def post(self) -> None:
        """Import the KV cache of one request."""
        body = self.decode_body(ImportBody)
        if not self.engine.settings.exports_kv:
            self.refuse(409, "can't import")
            return
        if self.refuse_if_fenced(body.request_id, body.attempt):
            return
        body.kv.attempt = body.attempt
        self.cache_by_request[body.request_id] = body.kv
        self.engine.log.write("import", request_id=body.request_id, attempt=body.attempt)
        self.set_identity_headers(body.request_id, body.attempt)
        self.finish_json({"request_id": body.request_id, "attempt": body.attempt})
