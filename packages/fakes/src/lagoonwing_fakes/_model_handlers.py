"""Whole-model stand-in: OpenAI completions, streamed or whole."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from tornado.iostream import StreamClosedError

from lagoonwing_fakes._engine import OverloadedError, Pacer
from lagoonwing_fakes._handlers import FakeHandler
from lagoonwing_fakes.const import HEADER_PRIORITY, HEADER_RESUMED_FROM
from lagoonwing_fakes.models import Fault, ModelBody
from lagoonwing_fakes.tokens import prompt_text, seed_of, token_count, token_text


class CompletionHandler(FakeHandler):
    """`POST /v1/chat/completions` and `POST /v1/completions`."""

    def initialize(self, **kwargs: Any) -> None:
        """Take which of the two calls this is."""
        super().initialize(**kwargs)
        self.chat: bool = kwargs["chat"]

    async def post(self) -> None:
        """Run one sequence."""
        body = self.read(ModelBody)
        prompt = prompt_text(body.messages) if self.chat else body.prompt
        fault = self.engine.take_fault(prompt)
        if fault is Fault.REFUSE:
            self.refuse(503, "told to refuse")
            return
        try:
            await self.engine.async_take_slot(self.request.headers.get(HEADER_PRIORITY, "normal"))
        except OverloadedError:
            self.refuse(429, "queue full")
            return
        try:
            await self._async_run(body, prompt, fault)
        except StreamClosedError:
            self._log_truth("cancelled")
        finally:
            self.engine.release_slot()

    async def _async_run(self, body: ModelBody, prompt: str, fault: Fault) -> None:
        """Generate the tokens and answer them."""
        self._log_truth("start", model=body.model)
        if fault is Fault.CRASH_BEFORE:
            self.engine.crash(self.request_id)
        if fault is Fault.LATE:
            await asyncio.sleep(self.engine.plan.delay_s)
        start = 0
        if body.resume_from is not None and fault is not Fault.NO_RESUME:
            start = body.resume_from.tokens
            self.set_header(HEADER_RESUMED_FROM, str(start))
        answer_id = self.request_id
        if fault is Fault.CROSSED:
            answer_id = self.engine.crossed_id(self.request_id)
        self.engine.last_request_id = self.request_id
        self.echo(answer_id, self.attempt)
        texts = await self._async_generate(body, prompt, start, answer_id, fault)
        if texts is None:
            return
        self._log_truth("end", tokens=start + len(texts))
        self.engine.note_cached(prompt)
        if body.stream:
            self._write_event(self._chunk(answer_id, None, "", "stop"))
            self.write(b"data: [DONE]\n\n")
            self.finish()
        else:
            self.finish_json(self._whole(answer_id, "".join(texts), len(texts)))
        if fault is Fault.DOUBLED:
            whole = msgspec.json.encode(self._whole(answer_id, "".join(texts), len(texts)))
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(whole)}\r\n"
            echo = f"X-Request-Id: {answer_id}\r\nX-Attempt: {self.attempt}\r\n\r\n"
            self.write_raw((head + echo).encode() + whole)

    async def _async_generate(
        self, body: ModelBody, prompt: str, start: int, answer_id: str, fault: Fault
    ) -> list[str] | None:
        """Generate tokens; return nothing if the answer was broken on purpose."""
        seed = seed_of(prompt)
        texts: list[str] = []
        pacer = Pacer(self.engine)
        settings = self.engine.settings
        if body.stream:
            self.set_header("Content-Type", "text/event-stream")
        for index in range(start, token_count(prompt, body.max_tokens)):
            await pacer.async_wait(settings.first_token_s if not texts else 0.0)
            breaks = fault is not Fault.NONE and len(texts) == self.engine.plan.after_tokens
            if breaks and await self._async_break(fault):
                return None
            if self.closed and fault is not Fault.LATE:
                raise StreamClosedError
            text = token_text(seed, index)
            if settings.log_tokens:
                self._log_truth("token", token=index, first=0, end=settings.layer_count)
            texts.append(text)
            if body.stream:
                self._write_event(self._chunk(answer_id, index, text, None))
                if fault is Fault.DOUBLED:
                    self._write_event(self._chunk(answer_id, index, text, None))
                await self.flush()
        return texts

    async def _async_break(self, fault: Fault) -> bool:
        """Misbehave in the middle; return whether the answer ends here."""
        match fault:
            case Fault.CRASH_AFTER:
                self.engine.crash(self.request_id)
            case Fault.FREEZE:
                await self.engine.async_freeze()
            case Fault.TRUNCATED | Fault.RESET:
                self.cut()
                return True
            case _:
                pass
        return False

    def _log_truth(self, event: str, **fields: Any) -> None:
        """Log an event of this request."""
        self.engine.log.write(event, request_id=self.request_id, attempt=self.attempt, **fields)

    def _write_event(self, chunk: dict[str, Any]) -> None:
        """Write one server-sent event."""
        self.write(b"data: " + msgspec.json.encode(chunk) + b"\n\n")

    def _chunk(
        self, answer_id: str, index: int | None, text: str, finish: str | None
    ) -> dict[str, Any]:
        """Return one chunk of a stream."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
        if self.chat:
            choice["delta"] = {"content": text} if index is not None else {}
        else:
            choice["text"] = text
        return {"id": answer_id, "attempt": self.attempt, "token": index, "choices": [choice]}

    def _whole(self, answer_id: str, text: str, tokens: int) -> dict[str, Any]:
        """Return a whole answer."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        usage = {"completion_tokens": tokens}
        return {"id": answer_id, "attempt": self.attempt, "choices": [choice], "usage": usage}
