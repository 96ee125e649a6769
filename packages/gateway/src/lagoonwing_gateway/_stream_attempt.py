"""One attempt to serve a stream: reserves a path, relays the events, determines the outcome."""

from __future__ import annotations

from dataclasses import dataclass, field

from lagoonwing_catalog.models import Engine, Service
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._components import GatewayComponents
from lagoonwing_gateway._disconnect import async_run_until_disconnect
from lagoonwing_gateway._endpoint_client import (
    RESPONSE_ERRORS,
    OpenExchange,
    failure_evidence,
)
from lagoonwing_gateway._load_tracker import Reservation
from lagoonwing_gateway._request_log import log_late_stream
from lagoonwing_gateway._watchdog import WatchedStream
from lagoonwing_gateway.const import (
    DEADLINE_MARGIN_S,
    MAX_EVENT_BYTES,
    MISDIRECTED_STATUS,
    STREAM_STALL_TIMEOUT_S,
)
from lagoonwing_gateway.models import (
    AttemptOutcome,
    Completed,
    CompleteResponse,
    EndpointRequest,
    Failed,
    FailureEvidence,
    NotRun,
    RequestContext,
    StreamEvent,
)
from lagoonwing_gateway.ports import Responder
from lagoonwing_http import ConnectError, ResponseHead
from lagoonwing_placement import Path, RequestSize, prefill_ms, transfer_ms

_STREAM_STATUS = 200


@dataclass(slots=True)
class StreamProgress:
    """Progress of a stream towards its caller.

    Attributes:
        started: Whether the response head was sent to the caller.
        last_event_id: Id of the last event sent to the caller.
        events: Number of events sent to the caller.
        last_event_at: Time at which the last event was sent.
        first_event_s: Time from the request to the first event.
        longest_pause_s: Longest time between two events.
        send_count: Number of times that the request was sent to an endpoint.
        endpoint_ids: Endpoints of the path to which it was sent last.
        excluded: Endpoints that must not be used again for the request.
    """

    started: bool = False
    last_event_id: str | None = None
    events: int = 0
    last_event_at: float = 0.0
    first_event_s: float = 0.0
    longest_pause_s: float = 0.0
    send_count: int = 0
    endpoint_ids: tuple[EndpointId, ...] = ()
    excluded: set[EndpointId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class StreamCall:
    """A stream requested by a caller."""

    context: RequestContext
    service: Service
    engine: Engine
    size: RequestSize
    responder: Responder
    progress: StreamProgress


class StreamAttempt:
    """Runs a stream on one path."""

    def __init__(self, components: GatewayComponents, call: StreamCall, path: Path) -> None:
        self._components = components
        self._call = call
        self._context = call.context
        self._progress = call.progress
        self._responder = call.responder
        self._path = path
        self._endpoint_ids = tuple(segment.endpoint_id for segment in path.segments)
        self._down_ids: list[EndpointId] = []

    async def async_run(self) -> AttemptOutcome:
        """Reserve the path, send the request and relay its events."""
        components = self._components
        if components.directory.record(self._endpoint_ids[0]) is None:
            return NotRun("the first endpoint has left", self._endpoint_ids[:1])
        prefill_ms_by_id = self._prefill_times()
        reservation = components.load_tracker.reserve(self._path, self._call.size, prefill_ms_by_id)
        transfer_time_ms = transfer_ms(self._call.engine, self._call.size.prompt_tokens)
        components.backlog_estimator.record_request(
            self._path, prefill_ms_by_id, transfer_time_ms, components.follower.gateways
        )
        open_exchange: OpenExchange | None = None
        try:
            open_exchange = await self._async_open()
            if open_exchange is None:
                return NotRun("no connection to the first endpoint", self._endpoint_ids[:1])
            return await self._async_run_watched(open_exchange, reservation)
        finally:
            if open_exchange is not None:
                open_exchange.close()
            components.load_tracker.release(reservation)

    async def _async_open(self) -> OpenExchange | None:
        """Send the request to the first endpoint; return None if it can't be reached."""
        components = self._components
        context = self._context
        record = components.directory.record(self._endpoint_ids[0])
        assert record is not None
        outgoing = EndpointRequest(
            context.request,
            record,
            context.member,
            context.deadline - components.clock.now(),
            context.route.priority,
            self._path if self._call.engine.layer_count else None,
            self._progress.last_event_id,
        )
        is_first = self._progress.send_count == 0
        try:
            open_exchange = await components.endpoint_client.async_send(
                outgoing, fresh=not is_first
            )
        except ConnectError as error:
            components.suspicions.record_failure(
                record.endpoint_id, str(error), failure_evidence(error)
            )
            return None
        if is_first:
            components.budget.record_first_send(self._call.service.service_id)
        self._progress.send_count += 1
        self._progress.endpoint_ids = self._endpoint_ids
        return open_exchange

    async def _async_run_watched(
        self, open_exchange: OpenExchange, reservation: Reservation
    ) -> AttemptOutcome:
        """Relay one exchange while the watchdog monitors its endpoints."""

        def interrupt(endpoint_id: EndpointId) -> None:
            self._down_ids.append(endpoint_id)
            open_exchange.close()

        now = self._components.clock.now()
        silence_allowed_until = now + 2 * self._path.first_token_ms / 1_000
        stream = WatchedStream(
            self._endpoint_ids, interrupt, silence_allowed_until, last_event_at=now
        )
        self._components.watchdog.watch(stream)
        try:
            relay = self._async_relay(open_exchange, reservation, stream)
            outcome = await async_run_until_disconnect(relay, self._responder)
        finally:
            self._components.watchdog.unwatch(stream)
        if self._down_ids and isinstance(outcome, Failed):
            self._components.crash_tracker.record_crash(self._context)
            return Failed(f"{self._down_ids[0]} is down", tuple(self._down_ids))
        return outcome

    async def _async_relay(
        self, open_exchange: OpenExchange, reservation: Reservation, stream: WatchedStream
    ) -> AttemptOutcome:
        """Relay the events of one exchange."""
        components = self._components
        wait_started_at = components.clock.now()
        try:
            head, info = await components.endpoint_client.async_head(
                open_exchange, self._read_timeout(wait_started_at)
            )
            if not info.is_success:
                return await self._async_read_failure(open_exchange, head)
            if not info.is_signed or info.is_encoded:
                components.suspicions.record_failure(
                    self._endpoint_ids[0],
                    "response is unsigned or re-encoded",
                    FailureEvidence.RESPONSE,
                )
                return Failed("the answer is not the endpoint's own", self._endpoint_ids[:1])
            splitter = components.dialect.splitter()
            wait_started_at = components.clock.now()
            while True:
                timeout = self._read_timeout(wait_started_at)
                chunk = await open_exchange.exchange.async_read_chunk(timeout)
                if chunk is None:
                    break
                events = splitter.feed(chunk)
                if events:
                    components.load_tracker.complete_prefill(reservation)
                    self._forward_events(head, events, stream)
                    # Bytes that complete no event are no progress.
                    wait_started_at = components.clock.now()
                elif len(splitter.rest) > MAX_EVENT_BYTES:
                    return Failed("an event of the stream is too large", self._endpoint_ids[:1])
        except RESPONSE_ERRORS as error:
            return self._blame_endpoints(wait_started_at, error)
        if splitter.rest:
            return Failed("the stream ended in the middle of an event", self._endpoint_ids[:1])
        self._finish(head)
        return Completed()

    def _forward_events(
        self, head: ResponseHead, events: list[StreamEvent], stream: WatchedStream
    ) -> None:
        """Send complete events to the caller."""
        progress = self._progress
        self._components.suspicions.record_progress(self._endpoint_ids)
        self._send(head, b"".join(event.content for event in events))
        self._record_event_timing()
        stream.last_event_at = progress.last_event_at
        progress.events += len(events)
        progress.last_event_id = events[-1].event_id or progress.last_event_id

    def _finish(self, head: ResponseHead) -> None:
        """Terminate the response to the caller normally."""
        progress = self._progress
        if not progress.started:
            self._send(head, b"")
        self._responder.finish()
        log_late_stream(
            self._context,
            self._endpoint_ids,
            progress.events,
            progress.first_event_s,
            progress.longest_pause_s,
        )

    def _send(self, head: ResponseHead, content: bytes) -> None:
        """Send bytes to the caller; the first ones are preceded by the endpoint's response head."""
        if self._progress.started:
            self._responder.write(content)
            return
        self._progress.started = True
        headers = self._components.dialect.caller_headers(head)
        self._responder.start_stream(_STREAM_STATUS, headers, content)

    def _record_event_timing(self) -> None:
        """Record how long the caller waited for an event."""
        progress = self._progress
        now = self._components.clock.now()
        if progress.events == 0:
            progress.first_event_s = now - self._context.request.received_at
            self._components.metrics.first_event(progress.first_event_s)
        else:
            progress.longest_pause_s = max(progress.longest_pause_s, now - progress.last_event_at)
        progress.last_event_at = now

    def _read_timeout(self, waiting_since: float) -> float:
        """Return how long to wait for the next event.

        Raises:
            TimeoutError: The deadline or the time for the event has passed.
        """
        route = self._context.route
        wait_until = self._context.deadline - DEADLINE_MARGIN_S
        if route.is_resumable and self._progress.send_count < route.max_attempts:
            expected_s = self._path.first_token_ms / 1_000 if self._progress.events == 0 else 0.0
            wait_until = min(wait_until, waiting_since + STREAM_STALL_TIMEOUT_S + expected_s)
        remaining_s = wait_until - self._components.clock.now()
        if remaining_s <= 0:
            raise TimeoutError
        return remaining_s

    def _blame_endpoints(self, silent_since: float, error: BaseException) -> AttemptOutcome:
        """Determine the endpoints to blame for a path that stalled or broke."""
        components = self._components
        if components.clock.now() >= self._context.deadline - 2 * DEADLINE_MARGIN_S:
            return Failed("the deadline has passed", ())
        reason = str(error) or "the path fell silent"
        is_timeout = isinstance(error, TimeoutError)
        blamed_ids = (
            components.suspicions.without_progress_since(self._endpoint_ids, silent_since)
            if is_timeout
            else self._endpoint_ids[:1]
        )
        components.watchdog.probe_all(blamed_ids)
        return Failed(reason, blamed_ids or self._endpoint_ids)

    async def _async_read_failure(
        self, open_exchange: OpenExchange, head: ResponseHead
    ) -> AttemptOutcome:
        """Read an error response; return the outcome."""
        components = self._components
        info = components.dialect.response_info(head)
        at_fault = components.directory.id_at_address(info.at_fault) or self._endpoint_ids[0]
        body = await components.endpoint_client.async_body(
            open_exchange, components.clock.now() + STREAM_STALL_TIMEOUT_S
        )
        if info.not_executed or info.status == MISDIRECTED_STATUS:
            components.suspicions.avoid_briefly(at_fault)
            return NotRun(f"{at_fault} refused it with {info.status}", (at_fault,))
        response = CompleteResponse(info, components.dialect.caller_headers(head), body)
        return Failed(f"the endpoint answered {info.status}", (at_fault,), response)

    def _prefill_times(self) -> dict[EndpointId, float]:
        """Return the prefill time at each endpoint of the path, in milliseconds."""
        engine = self._call.engine
        prefill_ms_by_id = dict.fromkeys(self._endpoint_ids, 0.0)
        for segment in self._path.segments:
            record = self._components.directory.record(segment.endpoint_id)
            accelerator = None if record is None else engine.accelerator(record.kind)
            if accelerator is not None and engine.layer_count:
                tokens = self._call.size.prompt_tokens
                prefill_ms_by_id[segment.endpoint_id] = prefill_ms(
                    engine, accelerator, tokens, segment.layers.count
                )
        return prefill_ms_by_id
