"""Streams over layers: a path, its events as they come, and another path if it breaks.

Answers the load of long answers on paths of many endpoints: a stream whose path falls silent or
breaks goes on elsewhere after its last event, within one answer to the caller.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from lagoonwing_catalog.models import Engine, Service
from lagoonwing_core.ids import EndpointId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_gateway._exchanges import BROKEN_ERRORS, OpenExchange
from lagoonwing_gateway._journal import log_attempt, log_late_stream, log_path
from lagoonwing_gateway._ledger import Reservation
from lagoonwing_gateway._refusals import no_endpoint, not_run, unknown
from lagoonwing_gateway._shared import Shared
from lagoonwing_gateway._watchdog import WatchedStream
from lagoonwing_gateway.const import (
    DEADLINE_SLACK_S,
    MAX_CONNECT_TRIES,
    MAX_WAITING_STREAMS,
    MIN_SEND_BUDGET_S,
    ROOM_CHECK_S,
    ROOM_WAIT_SHARE,
    STREAM_STALL_S,
)
from lagoonwing_gateway.models import (
    AttemptOutcome,
    CallerGone,
    Completed,
    Failed,
    GatewayRefusal,
    NotRun,
    Outgoing,
    RequestContext,
    WholeAnswer,
)
from lagoonwing_gateway.ports import Responder
from lagoonwing_http import AnswerHead, ConnectError
from lagoonwing_placement import Path, PathFinder, Work, read_ms

_USUAL_STATUS = 200


@dataclass(slots=True)
class _Progress:
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


class Streams:
    """Serves requests whose answers are streams of events."""

    def __init__(self, shared: Shared) -> None:
        self._failure_domain = shared.failure_domain
        self._follower = shared.follower
        self._directory = shared.directory
        self._suspects = shared.suspects
        self._watchdog = shared.watchdog
        self._ledger = shared.ledger
        self._budget = shared.budget
        self._crashes = shared.crashes
        self._exchanges = shared.exchanges
        self._dialect = shared.dialect
        self._clock = shared.clock
        self._rng = shared.rng
        self._metrics = shared.metrics
        self._waiting = 0

    async def async_serve(
        self, context: RequestContext, service: Service, engine: Engine, responder: Responder
    ) -> GatewayRefusal | None:
        """Serve one stream; return what is to be refused, or nothing if it was answered."""
        work = context.request.work or Work(
            round(engine.usual_prompt_tokens), round(engine.usual_answer_tokens)
        )
        progress = _Progress(last_event=context.request.last_event)
        last: AttemptOutcome = NotRun("no path has room", ())
        for _ in range(MAX_CONNECT_TRIES + context.route.max_attempts):
            others = self._follower.summary().crashes_by_request
            if progress.sends and self._crashes.is_quarantined(context, others):
                break
            if progress.sends and not self._may_send_again(context, service, progress, last):
                break
            path = await self._async_path(context, service, engine, work, progress, responder)
            if responder.is_gone:
                return None
            if path is None:
                break
            last = await self._async_attempt(
                context, service, engine, work, path, progress, responder
            )
            log_attempt(context, path.parts[0].endpoint_id, progress.sends, last)
            self._metrics.attempt_ended(type(last).__name__)
            match last:
                case Completed() | CallerGone():
                    return None
                case NotRun(blamed=blamed) | Failed(blamed=blamed):
                    progress.excluded.update(blamed)
        return self._give_up(context, last, progress, responder)

    async def _async_path(
        self,
        context: RequestContext,
        service: Service,
        engine: Engine,
        work: Work,
        progress: _Progress,
        responder: Responder,
    ) -> Path | None:
        """Return a path, after a wait for room if need be."""
        now = self._clock.now()
        patience = context.route.objective_s * ROOM_WAIT_SHARE
        give_up_at = min(context.deadline - MIN_SEND_BUDGET_S, now + patience)
        path = self._find(context, service, engine, work, progress)
        if path is not None or self._waiting >= MAX_WAITING_STREAMS:
            return path
        self._waiting += 1
        try:
            while path is None and self._clock.now() < give_up_at and not responder.is_gone:
                await asyncio.sleep(ROOM_CHECK_S)
                path = self._find(context, service, engine, work, progress)
        finally:
            self._waiting -= 1
        return path

    def _find(
        self,
        context: RequestContext,
        service: Service,
        engine: Engine,
        work: Work,
        progress: _Progress,
    ) -> Path | None:
        """Return the best path with room now."""
        loads = self._ledger.loads(self._follower.summary().load_by_id)
        groups = self._directory.groups(service, engine)
        finder = PathFinder(engine, loads, self._rng, self._failure_domain)
        path = finder.find(groups, work, self._directory.usable(progress.excluded))
        if path is not None:
            log_path(
                context,
                path,
                progress.sends + 1,
                sum(len(group.endpoint_ids) for group in groups),
                self._follower.revision,
                self._follower.age(),
            )
        return path

    def _may_send_again(
        self,
        context: RequestContext,
        service: Service,
        progress: _Progress,
        last: AttemptOutcome,
    ) -> bool:
        """Return whether a stream may be sent once more."""
        ran = isinstance(last, Failed)
        if ran and not context.route.is_resumable:
            return False
        if ran and progress.sends >= context.route.max_attempts:
            return False
        if context.deadline - self._clock.now() < MIN_SEND_BUDGET_S:
            return False
        return self._budget.take(service.service_id, self._follower.gateways)

    async def _async_attempt(
        self,
        context: RequestContext,
        service: Service,
        engine: Engine,
        work: Work,
        path: Path,
        progress: _Progress,
        responder: Responder,
    ) -> AttemptOutcome:
        """Run a stream on one path."""
        record = self._directory.record(path.parts[0].endpoint_id)
        if record is None:
            return NotRun("the first endpoint has left", (path.parts[0].endpoint_id,))
        reservation = self._ledger.reserve(path, work, self._read_times(engine, path, work))
        opened: OpenExchange | None = None
        try:
            outgoing = Outgoing(
                context.request,
                record,
                context.member,
                context.deadline - self._clock.now(),
                context.route.priority,
                path if engine.layer_count else None,
                progress.last_event,
            )
            try:
                opened = await self._exchanges.async_send(outgoing, fresh=progress.sends > 0)
            except ConnectError as error:
                self._suspects.failed(record.endpoint_id, str(error))
                return NotRun(str(error), (record.endpoint_id,))
            if progress.sends == 0:
                self._budget.first_sent(service.service_id)
            progress.sends += 1
            return await self._async_watched(
                context, path, reservation, opened, progress, responder
            )
        finally:
            if opened is not None:
                opened.close()
            self._ledger.release(reservation)

    async def _async_watched(
        self,
        context: RequestContext,
        path: Path,
        reservation: Reservation,
        opened: OpenExchange,
        progress: _Progress,
        responder: Responder,
    ) -> AttemptOutcome:
        """Relay one exchange while its endpoints are watched."""
        down: list[EndpointId] = []

        def interrupt(endpoint_id: EndpointId) -> None:
            down.append(endpoint_id)
            opened.close()

        now = self._clock.now()
        stream = WatchedStream(
            tuple(part.endpoint_id for part in path.parts),
            interrupt,
            quiet_until=now + 2 * path.first_token_ms / 1_000,
            heard_at=now,
        )
        self._watchdog.watch(stream)
        try:
            outcome = await self._async_relay(
                context, path, reservation, opened, progress, responder, stream
            )
        finally:
            self._watchdog.forget(stream)
        if down and isinstance(outcome, Failed):
            self._crashes.note(context)
            return Failed(f"{down[0]} is down", tuple(down))
        return outcome

    def _read_times(self, engine: Engine, path: Path, work: Work) -> dict[EndpointId, float]:
        """Return how long each endpoint of a path reads the prompt, in milliseconds."""
        if engine.layer_count == 0:
            return {part.endpoint_id: 0.0 for part in path.parts}
        times: dict[EndpointId, float] = {}
        for part in path.parts:
            record = self._directory.record(part.endpoint_id)
            accelerator = None if record is None else engine.accelerator(record.kind)
            times[part.endpoint_id] = (
                0.0
                if accelerator is None
                else read_ms(engine, accelerator, work.prompt_tokens, part.layers.count)
            )
        return times

    async def _async_relay(
        self,
        context: RequestContext,
        path: Path,
        reservation: Reservation,
        opened: OpenExchange,
        progress: _Progress,
        responder: Responder,
        stream: WatchedStream,
    ) -> AttemptOutcome:
        """Relay the events of one exchange until it ends or the caller goes."""
        task = asyncio.ensure_future(
            self._async_events(context, path, reservation, opened, progress, responder, stream)
        )
        responder.set_on_gone(task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            if responder.is_gone:
                return CallerGone()
            raise
        finally:
            responder.set_on_gone(_nothing)

    async def _async_events(
        self,
        context: RequestContext,
        path: Path,
        reservation: Reservation,
        opened: OpenExchange,
        progress: _Progress,
        responder: Responder,
        stream: WatchedStream,
    ) -> AttemptOutcome:
        """Relay the events of one exchange."""
        ids = [part.endpoint_id for part in path.parts]
        waited_since = self._clock.now()
        try:
            head, notes = await self._exchanges.async_head(
                opened, self._patience(context, path, progress)
            )
            if not notes.is_success:
                return await self._async_failure(context, opened, head, path)
            if not notes.is_signed or notes.is_encoded:
                self._suspects.failed(ids[0], "an answer that is not the endpoint's")
                return Failed("the answer is not the endpoint's own", (ids[0],))
            splitter = self._dialect.splitter()
            while True:
                waited_since = self._clock.now()
                chunk = await opened.exchange.async_chunk(self._patience(context, path, progress))
                if chunk is None:
                    break
                events = splitter.feed(chunk)
                if not events:
                    continue
                self._ledger.prompt_read(reservation)
                self._suspects.progressed(ids)
                content = b"".join(event.content for event in events)
                self._send(head, content, progress, responder)
                self._note_pace(context, progress)
                stream.heard_at = progress.last_at
                progress.events += len(events)
                progress.last_event = events[-1].event_id or progress.last_event
        except BROKEN_ERRORS as error:
            return self._broken(context, ids, waited_since, error)
        if splitter.rest:
            return Failed("the stream ended in the middle of an event", (ids[0],))
        if not progress.began:
            self._send(head, b"", progress, responder)
        responder.finish()
        log_late_stream(context, ids, progress.events, progress.first_s, progress.longest_pause_s)
        return Completed()

    def _note_pace(self, context: RequestContext, progress: _Progress) -> None:
        """Note how long the caller has waited for an event."""
        now = self._clock.now()
        if progress.events == 0:
            progress.first_s = now - context.request.received_at
            self._metrics.first_event(progress.first_s)
        else:
            progress.longest_pause_s = max(progress.longest_pause_s, now - progress.last_at)
        progress.last_at = now

    def _send(
        self, head: AnswerHead, content: bytes, progress: _Progress, responder: Responder
    ) -> None:
        """Send events on, with the head of the first endpoint before the first ones."""
        if progress.began:
            responder.write(content)
            return
        progress.began = True
        headers: HTTPHeaders = self._dialect.caller_headers(head)
        responder.begin(_USUAL_STATUS, headers, content)

    def _patience(self, context: RequestContext, path: Path, progress: _Progress) -> float:
        """Return how long to wait for the next event."""
        left = context.deadline - self._clock.now() - DEADLINE_SLACK_S
        if left <= 0:
            raise TimeoutError
        if not context.route.is_resumable or progress.sends >= context.route.max_attempts:
            return left
        expected = path.first_token_ms / 1_000 if progress.events == 0 else 0.0
        return min(left, STREAM_STALL_S + expected)

    def _broken(
        self,
        context: RequestContext,
        ids: list[EndpointId],
        since: float,
        error: BaseException,
    ) -> AttemptOutcome:
        """Blame the endpoints of a path that fell silent or broke."""
        if self._clock.now() >= context.deadline - 2 * DEADLINE_SLACK_S:
            return Failed("the deadline has passed", ())
        reason = str(error) or "the path fell silent"
        is_silent = isinstance(error, TimeoutError)
        blamed = self._suspects.stalled(ids, since) if is_silent else (ids[0],)
        self._watchdog.suspect(blamed)
        return Failed(reason, blamed or tuple(ids))

    async def _async_failure(
        self,
        context: RequestContext,
        opened: OpenExchange,
        head: AnswerHead,
        path: Path,
    ) -> AttemptOutcome:
        """Read an answer that is no success; return what it means."""
        notes = self._dialect.notes(head)
        first = path.parts[0].endpoint_id
        at_fault = self._directory.id_at(notes.at_fault) or first
        body = await self._exchanges.async_body(opened, self._clock.now() + STREAM_STALL_S)
        if notes.not_executed or notes.status == 421:
            self._suspects.avoid(at_fault)
            return NotRun(f"{at_fault} refused it with {notes.status}", (at_fault,))
        answer = WholeAnswer(notes, self._dialect.caller_headers(head), body)
        return Failed(f"the endpoint answered {notes.status}", (at_fault,), answer)

    def _give_up(
        self,
        context: RequestContext,
        last: AttemptOutcome,
        progress: _Progress,
        responder: Responder,
    ) -> GatewayRefusal | None:
        """Tell the caller of a stream that was not served to its end."""
        if progress.began:
            responder.abort()
            return None
        match last:
            case Failed(answer=WholeAnswer() as answer):
                responder.send_whole(answer.notes.status, answer.headers, answer.body)
                return None
            case Failed(reason=reason):
                is_late = self._clock.now() >= context.deadline - 2 * DEADLINE_SLACK_S
                code = ResultCode.DEADLINE_EXCEEDED if is_late else ResultCode.ENDPOINT_LOST
                return unknown(code, reason)
            case NotRun(reason=reason) if progress.sends:
                return not_run(ResultCode.ENDPOINT_REFUSED, reason, self._rng)
            case _:
                return no_endpoint("no path over the layers has room", self._rng)


def _nothing() -> None:
    """Do nothing when the caller goes."""
