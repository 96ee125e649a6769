"""Passes the events of a stream on to its caller, whoever they come from."""

from __future__ import annotations

from collections.abc import Sequence

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_gateway._request_log import log_late_stream
from lagoonwing_gateway._stream_call import StreamCall
from lagoonwing_gateway.diagnostics import GatewayMetrics
from lagoonwing_gateway.models import StreamEvent
from lagoonwing_gateway.ports import Dialect
from lagoonwing_http import ResponseHead


class StreamRelay:
    """Writes one stream to its caller, over all attempts at it."""

    def __init__(
        self, call: StreamCall, dialect: Dialect, metrics: GatewayMetrics, clock: Clock
    ) -> None:
        self._call = call
        self._dialect = dialect
        self._metrics = metrics
        self._clock = clock

    @callback
    def forward(self, head: ResponseHead, events: list[StreamEvent]) -> None:
        """Send complete events to the caller."""
        progress = self._call.progress
        self._send(head, b"".join(event.content for event in events))
        self._record_event_timing()
        progress.events += len(events)
        progress.last_event_id = events[-1].event_id or progress.last_event_id

    @callback
    def finish(self, head: ResponseHead, sources: Sequence[str]) -> None:
        """Terminate the response to the caller normally.

        Args:
            head: Head of the response that ends.
            sources: Endpoints that made the last events, or the gateway that passed them on.
        """
        call, progress = self._call, self._call.progress
        if not progress.started:
            self._send(head, b"")
        call.responder.finish()
        log_late_stream(
            call.context,
            tuple(sources),
            progress.events,
            progress.first_event_s,
            progress.longest_pause_s,
        )

    def _send(self, head: ResponseHead, content: bytes) -> None:
        """Send bytes to the caller; the first ones are preceded by the head of the response."""
        call = self._call
        if call.progress.started:
            call.responder.write(content)
            return
        call.progress.started = True
        headers = self._dialect.caller_headers(head)
        call.responder.start_stream(head.status, headers, content)

    def _record_event_timing(self) -> None:
        """Record how long the caller waited for an event."""
        progress = self._call.progress
        now = self._clock.now()
        if progress.events == 0:
            progress.first_event_s = now - self._call.context.request.received_at
            self._metrics.first_event(progress.first_event_s)
        else:
            progress.longest_pause_s = max(progress.longest_pause_s, now - progress.last_event_at)
        progress.last_event_at = now
