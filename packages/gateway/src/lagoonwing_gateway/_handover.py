"""Hands requests over to a gateway that reaches their service, when this one doesn't.

The peer serves the request as one of its own: it chooses, limits, retries and refuses, so that each
rule holds once, at one gateway. This one passes the answer on. A peer never hands a request over
once more.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field

from lagoonwing_catalog.messages import PeerGateway
from lagoonwing_catalog.models import RequestKind
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import HostId, ServiceId
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_gateway._handover_client import Declined, HandedExchange, HandoverClient
from lagoonwing_gateway._handover_codec import HANDOVER_PATH, encode_handover
from lagoonwing_gateway._peer_table import PeerTable
from lagoonwing_gateway._reach import ReachMonitor
from lagoonwing_gateway._reach_probe import async_probe_reach
from lagoonwing_gateway.const import (
    CONFIRMED_REACH_S,
    DEADLINE_MARGIN_S,
    MAX_HANDOVER_ATTEMPTS,
    MIN_TIME_TO_SEND_S,
    PEER_PATIENCE_S,
)
from lagoonwing_gateway.diagnostics import GatewayMetrics
from lagoonwing_gateway.models import GatewayRefusal, HandedOver, RequestContext
from lagoonwing_http import AnswerBrokenError, ConnectError, ResponseHead


@dataclass(slots=True)
class HandoverTask:
    """A request that is handed over, and what has been done with it so far.

    Attributes:
        send_count: Number of times that it was sent to an endpoint, or taken by a peer.
        may_have_run: Whether it may have been executed.
        last_event_id: Id of the last event that the caller has, if it is a stream.
        tried: Peers that were asked.
    """

    context: RequestContext
    service_id: ServiceId
    send_count: int
    may_have_run: bool
    last_event_id: str | None
    tried: set[HostId] = field(default_factory=set)

    @property
    def is_repeatable(self) -> bool:
        """Whether it may be executed more than once."""
        route = self.context.route
        return route.kind is RequestKind.SAFE or route.is_resumable

    @property
    def may_be_sent(self) -> bool:
        """Whether it may be sent once more, as far as its kind and its attempts go."""
        if self.send_count >= self.context.route.max_attempts:
            return False
        return self.is_repeatable or not self.may_have_run


@dataclass(slots=True)
class PeerAnswer:
    """What a peer that took a request said first; the exchange must be closed."""

    peer: PeerGateway
    exchange: HandedExchange
    head: ResponseHead | GatewayRefusal


class Handover:
    """Finds a peer for a request."""

    def __init__(
        self,
        client: HandoverClient,
        peers: PeerTable,
        reach: ReachMonitor,
        follower: CatalogFollower,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self._client = client
        self._peers = peers
        self._reach = reach
        self._follower = follower
        self._clock = clock
        self._metrics = metrics
        self._question_by_service: dict[ServiceId, asyncio.Task[bool]] = {}

    def is_due(self, context: RequestContext, service_id: ServiceId) -> bool:
        """Return whether a request must be handed over, since this gateway can't serve it."""
        if context.request.handed_over is not None or not self._reach.is_unreachable(service_id):
            return False
        if context.deadline - self._clock.now() < MIN_TIME_TO_SEND_S:
            return False
        return self._peers.has_any(service_id)

    async def async_is_due(self, context: RequestContext, service_id: ServiceId) -> bool:
        """Return whether a request must be handed over after an attempt here has failed."""
        await self._reach.async_settled(service_id)
        return self.is_due(context, service_id)

    async def async_is_confirmed(self, service_id: ServiceId) -> bool:
        """Return whether a peer says that it reaches a service that this gateway doesn't.

        What still may be answered here is given up only then: endpoints that all fall silent for a
        moment are no reason.
        """
        if not self._reach.is_unreachable(service_id):
            return False
        question = self._question_by_service.get(service_id)
        if question is None:
            question = asyncio.ensure_future(self._async_confirm(service_id))
            self._question_by_service[service_id] = question
            question.add_done_callback(
                lambda done: asyncio.get_running_loop().call_later(
                    CONFIRMED_REACH_S, self._question_by_service.pop, service_id, None
                )
            )
        is_confirmed = await asyncio.shield(question)
        return is_confirmed and self._reach.is_unreachable(service_id)

    async def _async_confirm(self, service_id: ServiceId) -> bool:
        """Ask a peer whether it reaches a service."""
        peer = self._peers.choose(service_id, ())
        return peer is not None and await self._client.async_ask_reach(peer, service_id)

    async def async_ask(self, task: HandoverTask) -> PeerAnswer | None:
        """Hand a request over; a peer that can't take it is followed by another one.

        Returns:
            The answer of the peer that took it, or None if none did, or the deadline is near.
        """
        while len(task.tried) < MAX_HANDOVER_ATTEMPTS and task.may_be_sent:
            peer = self._peers.choose(task.service_id, task.tried)
            if peer is None or self._left_s(task) < MIN_TIME_TO_SEND_S:
                break
            task.tried.add(peer.gateway_id)
            answer = await self._async_ask_peer(task, peer)
            if answer is not None:
                return answer
        return None

    @callback
    def end(self, task: HandoverTask, answer: PeerAnswer, outcome: str, reason: str = "") -> None:
        """Close an exchange, and log how it ended."""
        if outcome == "lost":
            self._peers.avoid(answer.peer)
        self._end(task, answer.peer, answer.exchange, outcome, reason)

    async def async_is_alive(self, peer: PeerGateway) -> bool:
        """Return whether a peer answers anything."""
        return await async_probe_reach(peer.handover.address, peer.handover.port, HANDOVER_PATH)

    async def _async_ask_peer(self, task: HandoverTask, peer: PeerGateway) -> PeerAnswer | None:
        """Send a request to one peer; return what it says first, or None if another may follow."""
        exchange = await self._async_send(task, peer)
        if exchange is None:
            return None
        self._peers.begin(peer)
        outcome, reason = "caller_gone", ""
        try:
            head = await self._async_head(task, peer, exchange)
            if not isinstance(head, Declined):
                task.send_count += 1
                return PeerAnswer(peer, exchange, head)
            outcome, reason = "declined", head.reason
        except (AnswerBrokenError, TimeoutError) as error:
            # The peer may have sent it to an endpoint.
            task.send_count += 1
            task.may_have_run = True
            outcome, reason = "lost", str(error) or "the peer is silent"
        except BaseException:
            self._end(task, peer, exchange, outcome, reason)
            raise
        self._peers.avoid(peer)
        self._end(task, peer, exchange, outcome, reason)
        return None

    async def _async_send(self, task: HandoverTask, peer: PeerGateway) -> HandedExchange | None:
        """Connect to a peer and send a request; return None if nothing was sent."""
        context = task.context
        # A kept connection may be closed while the request is written.
        fresh = not task.is_repeatable
        log_event(
            EventCode.REQUEST_HANDED_OVER,
            request=context.request.attempt_id,
            route=context.route.route_id,
            service=task.service_id,
            peer=peer.gateway_id,
            sends=task.send_count,
            peers=len(self._follower.peers),
        )
        self._metrics.handed_over()
        try:
            connection = await self._client.async_connect(peer, fresh=fresh)
            return self._client.send(peer, connection, self._encode(task))
        except ConnectError as error:
            self._peers.avoid(peer)
            self._log_end(task, peer, "unreachable", str(error))
            return None

    def _encode(self, task: HandoverTask) -> bytes:
        """Return a request in the format of the gateways."""
        context, routes = task.context, self._follower.routes
        now = self._clock.now()
        return encode_handover(
            context.request,
            HandedOver(
                self._client.gateway_id,
                task.send_count,
                task.may_have_run,
                max(0.0, now - context.first_attempt_at),
            ),
            0 if routes is None else routes.version,
            context.deadline - now,
            task.last_event_id,
        )

    async def _async_head(
        self, task: HandoverTask, peer: PeerGateway, exchange: HandedExchange
    ) -> ResponseHead | Declined | GatewayRefusal:
        """Wait for a peer's answer; a silent one is left if it is frozen or gone.

        Raises:
            AnswerBrokenError: The connection closed first.
            TimeoutError: The deadline has passed, or the request may be sent to another peer.
        """
        head = asyncio.ensure_future(exchange.async_head())
        try:
            while True:
                left_s = self._left_s(task)
                if left_s <= 0:
                    raise TimeoutError("the deadline has passed")
                patience_s = PEER_PATIENCE_S if task.is_repeatable else math.inf
                await asyncio.wait((head,), timeout=min(left_s, patience_s))
                if head.done():
                    return head.result()
                if task.is_repeatable and not await self.async_is_alive(peer):
                    raise TimeoutError("the peer is frozen or gone")
        finally:
            head.cancel()
            # Its exception refers to this frame, which would refer to it in turn.
            del head

    def _left_s(self, task: HandoverTask) -> float:
        """Return the time that is left for a request."""
        return task.context.deadline - DEADLINE_MARGIN_S - self._clock.now()

    @callback
    def _end(
        self,
        task: HandoverTask,
        peer: PeerGateway,
        exchange: HandedExchange,
        outcome: str,
        reason: str,
    ) -> None:
        """Close an exchange."""
        exchange.close()
        self._peers.end(peer)
        self._log_end(task, peer, outcome, reason)

    def _log_end(self, task: HandoverTask, peer: PeerGateway, outcome: str, reason: str) -> None:
        """Log how an exchange with a peer ended."""
        log_event(
            EventCode.HANDOVER_ENDED,
            request=task.context.request.attempt_id,
            peer=peer.gateway_id,
            outcome=outcome,
            reason=reason,
        )
        self._metrics.handover_ended(outcome)
