"""One attempt of a stream: a path is reserved, the events are relayed, the outcome is judged."""

from __future__ import annotations

from dataclasses import dataclass, field

from lagoonwing_catalog.models import Engine, Service
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._exchanges import BROKEN_ERRORS, OpenExchange
from lagoonwing_gateway._journal import log_late_stream
from lagoonwing_gateway._ledger import Reservation
from lagoonwing_gateway._shared import Shared
from lagoonwing_gateway._until_gone import async_until_gone
from lagoonwing_gateway._watchdog import WatchedStream
from lagoonwing_gateway.const import DEADLINE_SLACK_S, MISDIRECTED_STATUS, STREAM_STALL_S
from lagoonwing_gateway.models import (
    AttemptOutcome,
    Completed,
    Failed,
    NotRun,
    Outgoing,
    RequestContext,
    StreamEvent,
    WholeAnswer,
)
from lagoonwing_gateway.ports import Responder
from lagoonwing_http import AnswerHead, ConnectError
from lagoonwing_placement import Path, Work, prefill_ms, transfer_ms

_USUAL_STATUS = 200


@dataclass(slots=True)
class Progress:
    """How far a stream has come for its caller.

    Attributes:
        began: Whether the caller has got the head.
        last_event: Last event that the caller has got.
        last_at: When it got the last event.
        first_s: Time from the request to the first event.
        longest_pause_s: Longest time between two events.
        sends: Times that the request was sent.
        excluded: Endpoints not to be used again for it.
    """

    began: bool = False
    last_event: str | None = None
    events: int = 0
    last_at: float = 0.0
    first_s: float = 0.0
    longest_pause_s: float = 0.0
    sends: int = 0
    excluded: set[EndpointId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class StreamCall:
    """A stream that a caller has asked for."""

    context: RequestContext
    service: Service
    engine: Engine
    work: Work
    responder: Responder
    progress: Progress


class StreamAttempt:
    """Runs a stream on one path."""

    def __init__(self, shared: Shared, call: StreamCall, path: Path) -> None:
        self._shared = shared
        self._call = call
        self._context = call.context
        self._progress = call.progress
        self._responder = call.responder
        self._path = path
        self._ids = tuple(part.endpoint_id for part in path.parts)
        self._down: list[EndpointId] = []

    async def async_run(self) -> AttemptOutcome:
        """Reserve the path, send the request and relay its events."""
        shared = self._shared
        if shared.directory.record(self._ids[0]) is None:
            return NotRun("the first endpoint has left", self._ids[:1])
        read_times = self._read_times()
        reservation = shared.ledger.reserve(self._path, self._call.work, read_times)
        crossing = transfer_ms(self._call.engine, self._call.work.prompt_tokens)
        shared.forecast.note(self._path, read_times, crossing, shared.follower.gateways)
        opened: OpenExchange | None = None
        try:
            opened = await self._async_open()
            if opened is None:
                return NotRun("no connection to the first endpoint", self._ids[:1])
            return await self._async_watched(opened, reservation)
        finally:
            if opened is not None:
                opened.close()
            shared.ledger.release(reservation)

    async def _async_open(self) -> OpenExchange | None:
        """Send the request to the first endpoint; return nothing if it can't be reached."""
        shared = self._shared
        context = self._context
        record = shared.directory.record(self._ids[0])
        assert record is not None
        outgoing = Outgoing(
            context.request,
            record,
            context.member,
            context.deadline - shared.clock.now(),
            context.route.priority,
            self._path if self._call.engine.layer_count else None,
            self._progress.last_event,
        )
        is_first = self._progress.sends == 0
        try:
            opened = await shared.exchanges.async_send(outgoing, fresh=not is_first)
        except ConnectError as error:
            shared.suspects.failed(record.endpoint_id, str(error))
            return None
        if is_first:
            shared.budget.first_sent(self._call.service.service_id)
        self._progress.sends += 1
        return opened

    async def _async_watched(
        self, opened: OpenExchange, reservation: Reservation
    ) -> AttemptOutcome:
        """Relay one exchange while its endpoints are watched."""

        def interrupt(endpoint_id: EndpointId) -> None:
            self._down.append(endpoint_id)
            opened.close()

        now = self._shared.clock.now()
        quiet_until = now + 2 * self._path.first_token_ms / 1_000
        stream = WatchedStream(self._ids, interrupt, quiet_until, heard_at=now)
        self._shared.watchdog.watch(stream)
        try:
            relay = self._async_relay(opened, reservation, stream)
            outcome = await async_until_gone(relay, self._responder)
        finally:
            self._shared.watchdog.forget(stream)
        if self._down and isinstance(outcome, Failed):
            self._shared.crashes.note(self._context)
            return Failed(f"{self._down[0]} is down", tuple(self._down))
        return outcome

    async def _async_relay(
        self, opened: OpenExchange, reservation: Reservation, stream: WatchedStream
    ) -> AttemptOutcome:
        """Relay the events of one exchange."""
        shared = self._shared
        waited_since = shared.clock.now()
        try:
            head, notes = await shared.exchanges.async_head(opened, self._patience())
            if not notes.is_success:
                return await self._async_failure(opened, head)
            if not notes.is_signed or notes.is_encoded:
                shared.suspects.failed(self._ids[0], "an answer that is not the endpoint's")
                return Failed("the answer is not the endpoint's own", self._ids[:1])
            splitter = shared.dialect.splitter()
            while True:
                waited_since = shared.clock.now()
                chunk = await opened.exchange.async_chunk(self._patience())
                if chunk is None:
                    break
                events = splitter.feed(chunk)
                if events:
                    shared.ledger.prompt_read(reservation)
                    self._pass_on(head, events, stream)
        except BROKEN_ERRORS as error:
            return self._broken(waited_since, error)
        if splitter.rest:
            return Failed("the stream ended in the middle of an event", self._ids[:1])
        self._finish(head)
        return Completed()

    def _pass_on(self, head: AnswerHead, events: list[StreamEvent], stream: WatchedStream) -> None:
        """Send whole events to the caller."""
        progress = self._progress
        self._shared.suspects.progressed(self._ids)
        self._send(head, b"".join(event.content for event in events))
        self._note_pace()
        stream.heard_at = progress.last_at
        progress.events += len(events)
        progress.last_event = events[-1].event_id or progress.last_event

    def _finish(self, head: AnswerHead) -> None:
        """End the caller's answer properly."""
        progress = self._progress
        if not progress.began:
            self._send(head, b"")
        self._responder.finish()
        log_late_stream(
            self._context,
            self._ids,
            progress.events,
            progress.first_s,
            progress.longest_pause_s,
        )

    def _send(self, head: AnswerHead, content: bytes) -> None:
        """Send bytes on, with the head of the first endpoint before the first ones."""
        if self._progress.began:
            self._responder.write(content)
            return
        self._progress.began = True
        headers = self._shared.dialect.caller_headers(head)
        self._responder.begin(_USUAL_STATUS, headers, content)

    def _note_pace(self) -> None:
        """Note how long the caller has waited for an event."""
        progress = self._progress
        now = self._shared.clock.now()
        if progress.events == 0:
            progress.first_s = now - self._context.request.received_at
            self._shared.metrics.first_event(progress.first_s)
        else:
            progress.longest_pause_s = max(progress.longest_pause_s, now - progress.last_at)
        progress.last_at = now

    def _patience(self) -> float:
        """Return how long to wait for the next event.

        Raises:
            TimeoutError: The deadline has come.
        """
        route = self._context.route
        left = self._context.deadline - self._shared.clock.now() - DEADLINE_SLACK_S
        if left <= 0:
            raise TimeoutError
        if not route.is_resumable or self._progress.sends >= route.max_attempts:
            return left
        expected = self._path.first_token_ms / 1_000 if self._progress.events == 0 else 0.0
        return min(left, STREAM_STALL_S + expected)

    def _broken(self, since: float, error: BaseException) -> AttemptOutcome:
        """Blame the endpoints of a path that fell silent or broke."""
        shared = self._shared
        if shared.clock.now() >= self._context.deadline - 2 * DEADLINE_SLACK_S:
            return Failed("the deadline has passed", ())
        reason = str(error) or "the path fell silent"
        is_silent = isinstance(error, TimeoutError)
        blamed = shared.suspects.stalled(self._ids, since) if is_silent else self._ids[:1]
        shared.watchdog.suspect(blamed)
        return Failed(reason, blamed or self._ids)

    async def _async_failure(self, opened: OpenExchange, head: AnswerHead) -> AttemptOutcome:
        """Read an answer that is no success; return what it means."""
        shared = self._shared
        notes = shared.dialect.notes(head)
        at_fault = shared.directory.id_at(notes.at_fault) or self._ids[0]
        body = await shared.exchanges.async_body(opened, shared.clock.now() + STREAM_STALL_S)
        if notes.not_executed or notes.status == MISDIRECTED_STATUS:
            shared.suspects.avoid(at_fault)
            return NotRun(f"{at_fault} refused it with {notes.status}", (at_fault,))
        answer = WholeAnswer(notes, shared.dialect.caller_headers(head), body)
        return Failed(f"the endpoint answered {notes.status}", (at_fault,), answer)

    def _read_times(self) -> dict[EndpointId, float]:
        """Return how long each endpoint of the path reads the prompt, in milliseconds."""
        engine = self._call.engine
        times = dict.fromkeys(self._ids, 0.0)
        for part in self._path.parts:
            record = self._shared.directory.record(part.endpoint_id)
            accelerator = None if record is None else engine.accelerator(record.kind)
            if accelerator is not None and engine.layer_count:
                tokens = self._call.work.prompt_tokens
                times[part.endpoint_id] = prefill_ms(engine, accelerator, tokens, part.layers.count)
        return times
