"""One attempt to serve a stream: reserves a path, relays the events, determines the outcome."""

from __future__ import annotations

import asyncio

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_core.tasks import TaskSet
from lagoonwing_gateway._components import GatewayComponents
from lagoonwing_gateway._disconnect import async_run_until_disconnect
from lagoonwing_gateway._endpoint_client import (
    RESPONSE_ERRORS,
    EndpointDeclinesError,
    OpenExchange,
    failure_evidence,
)
from lagoonwing_gateway._load_tracker import Reservation
from lagoonwing_gateway._paced_stream import PacedSegment, PacedStream
from lagoonwing_gateway._patient_reader import GivenUpError, PatientReader
from lagoonwing_gateway._probe_schedule import WatchedStream
from lagoonwing_gateway._stream_call import StreamCall
from lagoonwing_gateway._stream_failover import PathClaim, StreamFailover
from lagoonwing_gateway._stream_relay import StreamRelay
from lagoonwing_gateway.const import (
    CRASH_CONFIRM_TIMEOUT_S,
    DEADLINE_MARGIN_S,
    FIRST_FAILURE_STATUS,
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
    RequestFailure,
    ResponseInfo,
    StreamEvent,
)
from lagoonwing_http import AnswerBrokenError, AnswerTooLargeError, ConnectError, ResponseHead
from lagoonwing_placement import prefill_ms, transfer_ms

# Status of a response whose body consists of events.
_EVENTS_STATUS = 200


class StreamAttempt:
    """Runs a stream on one path."""

    def __init__(
        self,
        components: GatewayComponents,
        call: StreamCall,
        failover: StreamFailover,
        claim: PathClaim,
    ) -> None:
        """Create an attempt; without a connection to the first endpoint, it opens one."""
        self._components = components
        self._failover = failover
        self._call = call
        self._context = call.context
        self._progress = call.progress
        self._responder = call.responder
        self._path = claim.path
        self._connection = claim.connection
        self._permit = claim.permit
        self._endpoint_ids = tuple(segment.endpoint_id for segment in claim.path.segments)
        self._down_ids: list[EndpointId] = []
        self._first_record: EndpointRecord | None = None
        self._paced = PacedStream(())
        self._relay = StreamRelay(call, components.dialect, components.metrics, components.clock)

    async def async_run(self) -> AttemptOutcome:
        """Reserve the path, send the request and relay its events."""
        components = self._components
        if components.directory.record(self._endpoint_ids[0]) is None:
            self.give_up()
            return NotRun("the first endpoint has left", self._endpoint_ids[:1])
        prefill_ms_by_id = self._prefill_times()
        reservation = components.load_tracker.reserve(self._path, self._call.size, prefill_ms_by_id)
        transfer_time_ms = transfer_ms(self._call.engine, self._call.size.prompt_tokens)
        self._paced = components.pace_tracker.begin(self._paced_segments())
        components.unreported_work.record_stream(
            self._call.service.service_id, self._call.cost, self._path.links, transfer_time_ms
        )
        open_exchange: OpenExchange | None = None
        try:
            open_exchange = await self._async_open()
            if open_exchange is None:
                self.give_up()
                return NotRun("no connection to the first endpoint", self._endpoint_ids[:1])
            return await self._async_run_watched(open_exchange, reservation)
        finally:
            if open_exchange is not None:
                open_exchange.close()
            components.load_tracker.release(reservation)
            components.pace_tracker.end(self._paced)

    @callback
    def give_up(self) -> None:
        """Return what was claimed for an attempt that has not been sent."""
        self._components.limiter.give_back(self._permit)
        self._permit = None
        if self._connection is not None:
            self._connection.close()

    async def _async_open(self) -> OpenExchange | None:
        """Send the request to the first endpoint; return None if it can't be reached."""
        components = self._components
        context = self._context
        record = components.directory.record(self._endpoint_ids[0])
        assert record is not None
        self._first_record = record
        outgoing = EndpointRequest(
            context.request,
            record,
            context.member,
            context.deadline - components.clock.now(),
            context.rank,
            None if self._call.is_plain else self._path,
            self._progress.last_event_id,
        )
        is_first = self._progress.send_count == 0
        try:
            if self._connection is None:
                self._connection = await components.endpoint_client.async_connect(
                    record, fresh=not is_first
                )
            open_exchange = components.endpoint_client.send(outgoing, self._connection)
        except EndpointDeclinesError:
            return None
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
        reader = PatientReader(
            self._components, self._call, self._failover, self._path, open_exchange
        )

        def interrupt(record: EndpointRecord, evidence: FailureEvidence) -> None:
            self._record_if_crash(record, evidence, reader)
            if evidence is FailureEvidence.REFUSED or not reader.has_events:
                moves.spawn(self._async_leave(record.endpoint_id, open_exchange))

        moves = TaskSet("stream_attempt")
        now = self._components.clock.now()
        silence_allowed_until = now + 2 * self._path.first_token_ms / 1_000
        stream = WatchedStream(
            self._endpoint_ids, interrupt, silence_allowed_until, last_event_at=now
        )
        self._components.watchdog.watch(stream)
        try:
            relay = self._async_relay(open_exchange, reader, reservation, stream)
            outcome = await async_run_until_disconnect(relay, self._responder)
        finally:
            self._components.watchdog.unwatch(stream)
            await moves.async_cancel()
        if self._down_ids and isinstance(outcome, Failed):
            return Failed(f"{self._down_ids[0]} is down", tuple(self._down_ids))
        return outcome

    async def _async_leave(self, endpoint_id: EndpointId, open_exchange: OpenExchange) -> None:
        """Continue elsewhere, if possible, since an endpoint of the path seems to be down.

        A stream that has begun to arrive gains nothing by leaving an endpoint that may go on.
        """
        if await self._failover.async_try_reserve((endpoint_id,)):
            self._down_ids.append(endpoint_id)
            open_exchange.break_off()

    @callback
    def _record_if_crash(
        self, record: EndpointRecord, evidence: FailureEvidence | None, reader: PatientReader
    ) -> None:
        """Record an endpoint that is gone, and that this request may be the cause."""
        if evidence is not FailureEvidence.REFUSED:
            return
        if not self._components.directory.has_crashed(record):
            return
        if reader.has_just_begun():
            self._components.crash_tracker.record_crash(self._context, record)
        else:
            self._components.crash_tracker.record_loss(record)

    async def _async_relay(
        self,
        open_exchange: OpenExchange,
        reader: PatientReader,
        reservation: Reservation,
        stream: WatchedStream,
    ) -> AttemptOutcome:
        """Relay the events of one exchange."""
        components = self._components
        try:
            head, info = await reader.async_head()
            if not self._may_forward(info):
                return await self._async_read_failure(open_exchange, head)
            if not info.is_signed or info.is_encoded:
                components.suspicions.record_failure(
                    self._endpoint_ids[0],
                    "response is unsigned or re-encoded",
                    FailureEvidence.RESPONSE,
                )
                return Failed("the answer is not the endpoint's own", self._endpoint_ids[:1])
            splitter = components.dialect.splitter()
            reader.record_progress()
            while (chunk := await reader.async_chunk()) is not None:
                events = splitter.feed(chunk)
                open_exchange.exchange.set_rest(len(splitter.rest))
                if events:
                    components.load_tracker.complete_prefill(reservation)
                    self._forward_events(head, events, stream)
                    if not reader.has_events:
                        self._record_served()
                    # Bytes that complete no event are no progress.
                    reader.record_progress(is_event=True)
                elif len(splitter.rest) > MAX_EVENT_BYTES:
                    raise AnswerTooLargeError("an event of the stream is too large")
        except AnswerTooLargeError as error:
            self._record_too_large(str(error))
            return Failed(str(error), self._endpoint_ids[:1])
        except AnswerBrokenError as error:
            if not await self._async_examine_first_endpoint(reader):
                self._record_failure(self._endpoint_ids[0], str(error), FailureEvidence.BROKEN)
            return Failed(str(error), self._endpoint_ids[:1])
        except GivenUpError as error:
            return error.outcome
        if splitter.rest:
            reason = "the stream ended in the middle of an event"
            self._record_failure(self._endpoint_ids[0], reason, FailureEvidence.BROKEN)
            return Failed(reason, self._endpoint_ids[:1])
        self._finish(head)
        return Completed()

    @callback
    def _record_served(self) -> None:
        """Record that the path answers, and that the endpoints that failed before were at fault."""
        suspicions, progress = self._components.suspicions, self._progress
        suspicions.record_served(self._endpoint_ids)
        suspicions.record_served_elsewhere(progress.failures)
        progress.failures.clear()

    @callback
    def _record_failure(
        self, endpoint_id: EndpointId, reason: str, evidence: FailureEvidence
    ) -> None:
        """Record that an endpoint failed the request, unless another one is known to be down."""
        if self._down_ids or self._components.suspicions.has_refused(self._endpoint_ids):
            return
        self._components.suspicions.record_failed_request(endpoint_id, reason, evidence)
        self._progress.failures.append(RequestFailure(endpoint_id, reason, evidence))

    @callback
    def _record_too_large(self, reason: str) -> None:
        """Record that the first endpoint sent more than a gateway can hold."""
        self._components.suspicions.record_soft_failure(
            self._endpoint_ids[0], reason, FailureEvidence.RESPONSE
        )

    def _may_forward(self, info: ResponseInfo) -> bool:
        """Return whether a response may be forwarded: a begun stream goes on with events only."""
        return info.status == _EVENTS_STATUS if self._progress.started else info.is_success

    def _forward_events(
        self, head: ResponseHead, events: list[StreamEvent], stream: WatchedStream
    ) -> None:
        """Send complete events to the caller."""
        self._components.suspicions.record_progress(self._endpoint_ids)
        self._relay.forward(head, events)
        self._paced.record_events(len(events), self._progress.last_event_at)
        stream.record_event(self._progress.last_event_at)

    def _finish(self, head: ResponseHead) -> None:
        """Terminate the response to the caller normally."""
        self._relay.finish(head, self._endpoint_ids)
        self._components.crash_tracker.record_served(self._context)

    async def _async_examine_first_endpoint(self, reader: PatientReader) -> bool:
        """Return whether the endpoint that ended the connection is known to be down.

        A connection to a crashed endpoint is refused at once; nothing waits for a silent one.
        """
        record = self._first_record
        if record is None or self._down_ids:
            return bool(self._down_ids)
        probe = asyncio.ensure_future(self._components.watchdog.async_probe(record))
        await asyncio.wait((probe,), timeout=CRASH_CONFIRM_TIMEOUT_S)
        if not probe.done():
            probe.cancel()
            return False
        evidence = probe.result()
        self._record_if_crash(record, evidence, reader)
        return evidence is not None

    async def _async_read_failure(
        self, open_exchange: OpenExchange, head: ResponseHead
    ) -> AttemptOutcome:
        """Read an error response; return the outcome."""
        components = self._components
        info = components.dialect.response_info(head)
        at_fault = components.directory.id_at_address(info.at_fault) or self._endpoint_ids[0]
        body_deadline = min(
            self._context.deadline - DEADLINE_MARGIN_S,
            components.clock.now() + STREAM_STALL_TIMEOUT_S,
        )
        body: bytes | None
        try:
            body = await components.endpoint_client.async_body(open_exchange, body_deadline)
        except RESPONSE_ERRORS:
            body = None
        if info.not_executed or info.status == MISDIRECTED_STATUS:
            components.suspicions.avoid_briefly(at_fault)
            return NotRun(f"{at_fault} refused it with {info.status}", (at_fault,))
        if body is None:
            components.watchdog.probe_all(self._endpoint_ids[:1])
            reason = "the error response was not complete"
            self._record_failure(self._endpoint_ids[0], reason, FailureEvidence.BROKEN)
            return Failed(reason, self._endpoint_ids[:1])
        reason = f"the endpoint answered {info.status}"
        if info.status >= FIRST_FAILURE_STATUS and info.pause_s is None:
            self._record_failure(at_fault, reason, FailureEvidence.RESPONSE)
        response = CompleteResponse(info, components.dialect.caller_headers(head), body)
        return Failed(reason, (at_fault,), response)

    def _prefill_times(self) -> dict[EndpointId, float]:
        """Return the prefill time at each endpoint of the path, in milliseconds."""
        engine = self._call.engine
        prefill_ms_by_id = dict.fromkeys(self._endpoint_ids, 0.0)
        for segment in self._path.segments:
            record = self._components.directory.record(segment.endpoint_id)
            accelerator = None if record is None else engine.accelerator(record.kind)
            if accelerator is not None:
                tokens = self._call.size.prompt_tokens
                prefill_ms_by_id[segment.endpoint_id] = prefill_ms(
                    engine, accelerator, tokens, segment.layers.count
                )
        return prefill_ms_by_id

    def _paced_segments(self) -> tuple[PacedSegment, ...]:
        """Return the path for the comparison of pauses; empty if they have no published figures."""
        if self._call.is_plain:
            return ()
        segments: list[PacedSegment] = []
        for segment in self._path.segments:
            record = self._components.directory.record(segment.endpoint_id)
            accelerator = None if record is None else self._call.engine.accelerator(record.kind)
            if record is None or record.layers is None or accelerator is None:
                return ()
            segments.append(
                PacedSegment(
                    segment.endpoint_id,
                    self._call.engine,
                    accelerator,
                    segment.layers.count,
                    record.layers.count,
                )
            )
        return tuple(segments)
