"""Fake whole-model endpoint: OpenAI completions, streamed or not."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from tornado.iostream import StreamClosedError

from lagoonwing_fakes._engine import OverloadedError, Pacer
from lagoonwing_fakes._handlers import FakeHandler
from lagoonwing_fakes.const import HEADER_PRIORITY, HEADER_RESUMED_FROM
from lagoonwing_fakes.models import Fault, ModelBody
from lagoonwing_fakes.tokens import prompt_seed, prompt_text, token_count, token_text


class CompletionHandler(FakeHandler):
    """`POST /v1/chat/completions` and `POST /v1/completions`."""

    def initialize(self, **kwargs: Any) -> None:
        """Store whether this is the chat completions API."""
        super().initialize(**kwargs)
        self.chat: bool = kwargs["chat"]

    async def post(self) -> None:
        """Run one sequence."""
        body = self.decode_body(ModelBody)
        prompt = prompt_text(body.messages) if self.chat else body.prompt
        fault = self.engine.consume_fault(prompt)
        if fault is Fault.REFUSE:
            self.refuse(503, "told to refuse")
            return
        try:
            await self.engine.async_acquire_slot(
                self.request.headers.get(HEADER_PRIORITY, "normal")
            )
        except OverloadedError:
            self.refuse(429, "queue full")
            return
        try:
            await self._async_run(body, prompt, fault)
        except StreamClosedError:
            self._log_execution("cancelled")
        finally:
            self.engine.release_slot()

    async def _async_run(self, body: ModelBody, prompt: str, fault: Fault) -> None:
        """Generate the tokens and send the response."""
        self._log_execution("start", model=body.model)
        if fault is Fault.CRASH_BEFORE:
            self.engine.crash(self.request_id)
        if fault is Fault.LATE:
            await asyncio.sleep(self.engine.plan.delay_s)
        start = 0
        if body.resume_from is not None and fault is not Fault.NO_RESUME:
            start = body.resume_from.tokens
            self.set_header(HEADER_RESUMED_FROM, str(start))
        response_id = self.request_id
        if fault is Fault.MISMATCHED_ID:
            response_id = self.engine.mismatched_id(self.request_id)
        self.engine.last_request_id = self.request_id
        self.set_identity_headers(response_id, self.attempt)
        texts = await self._async_generate(body, prompt, start, response_id, fault)
        if texts is None:
            return
        self._log_execution("end", tokens=start + len(texts))
        self.engine.record_cached_prompt(prompt)
        if body.stream:
            self._write_event(self._make_chunk(response_id, None, "", "stop"))
            self.write(b"data: [DONE]\n\n")
            self.finish()
        else:
            self.finish_json(self._make_completion(response_id, "".join(texts), len(texts)))
        if fault is Fault.DUPLICATED:
            completion = msgspec.json.encode(
                self._make_completion(response_id, "".join(texts), len(texts))
            )
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(completion)}\r\n"
            identity_headers = f"X-Request-Id: {response_id}\r\nX-Attempt: {self.attempt}\r\n\r\n"
            self.write_raw((head + identity_headers).encode() + completion)

    async def _async_generate(
        self, body: ModelBody, prompt: str, start: int, response_id: str, fault: Fault
    ) -> list[str] | None:
        """Generate tokens; return `None` if a fault broke off the response."""
        seed = prompt_seed(prompt)
        texts: list[str] = []
        pacer = Pacer(self.engine)
        settings = self.engine.settings
        if body.stream:
            self.set_header("Content-Type", "text/event-stream")
        for index in range(start, token_count(prompt, body.max_tokens)):
            await pacer.async_wait(settings.first_token_s if not texts else 0.0)
            is_fault_due = fault is not Fault.NONE and len(texts) == self.engine.plan.after_tokens
            if is_fault_due and await self._async_inject_fault(fault):
                return None
            if self.disconnected and fault is not Fault.LATE:
                raise StreamClosedError
            text = token_text(seed, index)
            if settings.log_tokens:
                self._log_execution("token", token=index, first=0, end=settings.layer_count)
            texts.append(text)
            if body.stream:
                self._write_event(self._make_chunk(response_id, index, text, None))
                if fault is Fault.DUPLICATED:
                    self._write_event(self._make_chunk(response_id, index, text, None))
                await self.flush()
        return texts

    async def _async_inject_fault(self, fault: Fault) -> bool:
        """Inject a mid-response fault; return whether the response ends here."""
        match fault:
            case Fault.CRASH_AFTER:
                self.engine.crash(self.request_id)
            case Fault.FREEZE:
                await self.engine.async_freeze()
            case Fault.TRUNCATED | Fault.RESET:
                self.abort_connection()
                return True
            case _:
                pass
        return False

    def _log_execution(self, event: str, **fields: Any) -> None:
        """Log an execution event of this request."""
        self.engine.log.write(event, request_id=self.request_id, attempt=self.attempt, **fields)

    def _write_event(self, chunk: dict[str, Any]) -> None:
        """Write one server-sent event."""
        self.write(b"data: " + msgspec.json.encode(chunk) + b"\n\n")

    def _make_chunk(
        self, response_id: str, index: int | None, text: str, finish_reason: str | None
    ) -> dict[str, Any]:
        """Build a chunk of a stream."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self.chat:
            choice["delta"] = {"content": text} if index is not None else {}
        else:
            choice["text"] = text
        return {"id": response_id, "attempt": self.attempt, "token": index, "choices": [choice]}

    def _make_completion(self, response_id: str, text: str, tokens: int) -> dict[str, Any]:
        """Build a non-streamed completion."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        usage = {"completion_tokens": tokens}
        return {"id": response_id, "attempt": self.attempt, "choices": [choice], "usage": usage}
