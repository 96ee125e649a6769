"""Passes what a peer answers for a request that was handed over on to the caller."""

from __future__ import annotations

from lagoonwing_core.clock import Clock
from lagoonwing_gateway._disconnect import async_run_until_disconnect
from lagoonwing_gateway._handover import Handover, HandoverTask, PeerAnswer
from lagoonwing_gateway._stream_call import StreamCall
from lagoonwing_gateway._stream_relay import StreamRelay
from lagoonwing_gateway.const import (
    DEADLINE_MARGIN_S,
    MAX_EVENT_BYTES,
    MAX_RESPONSE_BODY_BYTES,
    PEER_PATIENCE_S,
)
from lagoonwing_gateway.models import (
    AttemptOutcome,
    Completed,
    ExecutionState,
    Failed,
    GatewayRefusal,
    NotRun,
)
from lagoonwing_gateway.ports import Dialect, Responder
from lagoonwing_http import AnswerBrokenError, AnswerTooLargeError, ResponseHead

_READ_ERRORS = (AnswerBrokenError, AnswerTooLargeError, TimeoutError)
_EVENTS_STATUS = 200


class HandoverRelay:
    """Serves requests through peers."""

    def __init__(self, handover: Handover, dialect: Dialect, clock: Clock) -> None:
        self._handover = handover
        self._dialect = dialect
        self._clock = clock

    async def async_call(
        self, task: HandoverTask, responder: Responder
    ) -> AttemptOutcome | GatewayRefusal:
        """Serve a call; return its outcome, or the refusal of the peer."""
        return await async_run_until_disconnect(self._async_call(task, responder), responder)

    async def async_stream(
        self, task: HandoverTask, call: StreamCall, relay: StreamRelay
    ) -> AttemptOutcome | GatewayRefusal:
        """Serve a stream, or the rest of it; return its outcome, or the refusal of the peer."""
        serving = self._async_stream(task, call, relay)
        return await async_run_until_disconnect(serving, call.responder)

    async def _async_call(
        self, task: HandoverTask, responder: Responder
    ) -> AttemptOutcome | GatewayRefusal:
        """Ask peers until one has answered."""
        while True:
            answer = await self._handover.async_ask(task)
            if answer is None:
                return _unserved(task)
            if isinstance(answer.head, GatewayRefusal):
                return self._take_refusal(task, answer, answer.head)
            outcome = await self._async_pass_on(task, answer, answer.head, responder)
            if not isinstance(outcome, Failed) or not task.may_be_sent:
                return outcome

    async def _async_stream(
        self, task: HandoverTask, call: StreamCall, relay: StreamRelay
    ) -> AttemptOutcome | GatewayRefusal:
        """Ask peers until the stream is complete."""
        progress = call.progress
        while True:
            answer = await self._handover.async_ask(task)
            if answer is None:
                return _unserved(task)
            head = answer.head
            if isinstance(head, GatewayRefusal):
                return self._take_refusal(task, answer, head)
            if head.status == _EVENTS_STATUS:
                outcome = await self._async_relay(task, answer, head, call, relay)
                task.last_event_id = progress.last_event_id
            elif progress.started:
                outcome = Failed(f"the peer answered {head.status}", ())
                self._handover.end(task, answer, "failed", outcome.reason)
            else:
                outcome = await self._async_pass_on(task, answer, head, call.responder)
            if not isinstance(outcome, Failed) or not task.may_be_sent:
                return outcome

    async def _async_pass_on(
        self, task: HandoverTask, answer: PeerAnswer, head: ResponseHead, responder: Responder
    ) -> AttemptOutcome:
        """Pass a complete response on."""
        try:
            body = await answer.exchange.exchange.async_read_body(
                max(0.0, self._left_s(task)), MAX_RESPONSE_BODY_BYTES
            )
        except _READ_ERRORS as error:
            return self._record_loss(task, answer, error)
        except BaseException:
            self._handover.end(task, answer, "caller_gone")
            raise
        responder.send_response(head.status, self._dialect.caller_headers(head), body)
        self._handover.end(task, answer, "served")
        return Completed()

    async def _async_relay(
        self,
        task: HandoverTask,
        answer: PeerAnswer,
        head: ResponseHead,
        call: StreamCall,
        relay: StreamRelay,
    ) -> AttemptOutcome:
        """Pass the events of a stream on as they arrive."""
        exchange, splitter = answer.exchange.exchange, self._dialect.splitter()
        try:
            while (chunk := await self._async_chunk(task, answer)) is not None:
                events = splitter.feed(chunk)
                exchange.set_rest(len(splitter.rest))
                if events:
                    relay.forward(head, events)
                elif len(splitter.rest) > MAX_EVENT_BYTES:
                    raise AnswerTooLargeError("an event of the stream is too large")
            if splitter.rest:
                raise AnswerBrokenError("the stream ended in the middle of an event")
        except _READ_ERRORS as error:
            return self._record_loss(task, answer, error)
        except BaseException:
            self._handover.end(task, answer, "caller_gone")
            raise
        relay.finish(head, (answer.peer.gateway_id,))
        self._handover.end(task, answer, "served")
        return Completed()

    async def _async_chunk(self, task: HandoverTask, answer: PeerAnswer) -> bytes | None:
        """Return the next bytes of a stream, or None at its end; a silent peer may be frozen.

        Raises:
            AnswerBrokenError: The connection closed first.
            TimeoutError: The deadline has passed, or the peer is frozen or gone.
        """
        while True:
            left_s = self._left_s(task)
            if left_s <= 0:
                raise TimeoutError("the deadline has passed")
            try:
                return await answer.exchange.exchange.async_read_chunk(min(left_s, PEER_PATIENCE_S))
            except TimeoutError:
                if not await self._handover.async_is_alive(answer.peer):
                    raise

    def _record_loss(self, task: HandoverTask, answer: PeerAnswer, error: BaseException) -> Failed:
        """Record that a peer did not answer completely."""
        reason = str(error) or "the peer is silent"
        task.may_have_run = True
        self._handover.end(task, answer, "lost", reason)
        return Failed(reason, ())

    def _take_refusal(
        self, task: HandoverTask, answer: PeerAnswer, refusal: GatewayRefusal
    ) -> AttemptOutcome | GatewayRefusal:
        """Return the refusal of a peer, unless an earlier attempt may have run."""
        self._handover.end(task, answer, "refused", refusal.detail)
        if task.may_have_run and refusal.execution_state is ExecutionState.NOT_RUN:
            return Failed(refusal.detail, ())
        return refusal

    def _left_s(self, task: HandoverTask) -> float:
        """Return the time that is left for a request."""
        return task.context.deadline - DEADLINE_MARGIN_S - self._clock.now()


def _unserved(task: HandoverTask) -> AttemptOutcome:
    """Return the outcome of a request that no peer has answered."""
    reason = "no other gateway took the request"
    return Failed(reason, ()) if task.may_have_run else NotRun(reason, ())
