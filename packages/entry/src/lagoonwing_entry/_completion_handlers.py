"""Handlers of completion requests."""

from __future__ import annotations

from typing import Any

from expression import Error, Ok, Result
from tornado.iostream import StreamClosedError

from lagoonwing_core.errors import Refusal
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_entry._caller_handlers import CallerContext, CallerHandler
from lagoonwing_entry._parsing import parse_completion
from lagoonwing_entry._responses import BufferedSink, StreamSink
from lagoonwing_entry.const import HEADER_REQUEST_ID
from lagoonwing_entry.models import CompletionKind, ModelCall, RequestResult


class CompletionHandler(CallerHandler):
    """`POST /v1/completions` and `POST /v1/chat/completions`."""

    def initialize(self, context: CallerContext, **kwargs: Any) -> None:
        """Store the kind of completion."""
        super().initialize(context)
        self.kind: CompletionKind = kwargs["kind"]

    async def post(self) -> None:
        """Handle a completion request."""
        body = self.read_body()
        if body is None:
            return
        match self._parse_request(body):
            case Result(tag="ok", ok=parsed):
                await self._async_run(*parsed)
            case Result(error=refusal):
                self.refuse(refusal)

    def start_stream(self) -> None:
        """Set the headers of a streamed response; the outcome follows in its last event."""
        self.context.metrics.first_token(self.context.clock.now() - self.arrived)
        self.set_header(HEADER_REQUEST_ID, self.request_id)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-store")

    def _parse_request(self, body: bytes) -> Result[tuple[ModelCall, float], Refusal]:
        """Return the parsed call and its deadline, or why it is refused."""
        parsed = parse_completion(self.kind, body)
        if parsed.is_error():
            return Error(parsed.error)
        if not self.context.directory.knows_model(parsed.ok.model_id):
            return Error(Refusal(ResultCode.UNKNOWN_MODEL, "no endpoint holds this model"))
        deadline = self.deadline()
        if deadline.is_error():
            return Error(deadline.error)
        refusal = self.host_refusal()
        if refusal is not None:
            return Error(refusal)
        return Ok((parsed.ok, deadline.ok))

    async def _async_run(self, call: ModelCall, deadline: float) -> None:
        """Run a parsed completion and send its response."""
        profile = self.profile(call, deadline, idempotent=True)
        sink: StreamSink | BufferedSink
        if call.stream:
            timeout_s = self.context.settings.caller.write_timeout_s
            sink = StreamSink(self, self.request_id, call, timeout_s)
        else:
            sink = BufferedSink(self.request_id, call)
        finished = await self.async_finish_call(self.context.runner.async_run(profile, call, sink))
        try:
            await self._async_send_response(finished, sink)
        except StreamClosedError:
            return

    async def _async_send_response(
        self, finished: RequestResult, sink: StreamSink | BufferedSink
    ) -> None:
        """Send the final response or end the stream."""
        if finished.outcome is not Outcome.DONE and not sink.started:
            self.send_failure(finished)
            return
        match sink:
            case StreamSink():
                if not sink.started:
                    self.start_stream()
                await sink.async_end(finished)
            case BufferedSink():
                self.set_result_headers(finished.outcome, finished.code)
                self.set_header("Content-Type", "application/json")
                self.finish(sink.body(finished.finish_reason))
