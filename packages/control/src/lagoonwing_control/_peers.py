"""The protocol "control" as a replica answers it."""

from __future__ import annotations

from typing import Any

import msgspec
from expression import Result

from lagoonwing_control._leader import Leader
from lagoonwing_control._paging import page_of_all
from lagoonwing_control._proposer import Proposer, refused
from lagoonwing_control._state_machine import ControlStateMachine
from lagoonwing_control._status import knows_leader
from lagoonwing_control._watchers import Watchers
from lagoonwing_control.const import BARRIER_TIMEOUT_S, PAGE_ENTITIES
from lagoonwing_control.models import Claim, Command
from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import HostId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication import ReplicatedLog
from lagoonwing_wire import Channel, Handlers
from lagoonwing_wire.control_messages import (
    CONTROL_DECODER,
    BarrierPassed,
    ClearSuspect,
    Contact,
    ControlMessage,
    Forward,
    ListPage,
    ListPageReply,
    Probe,
    ProbeReply,
    ReadBarrier,
    Refused,
    ReleaseClaim,
    ReportSuspects,
    RequestAllotments,
    StoreOutcome,
    TakeClaim,
    Watch,
)


class PeerProtocol:
    """Answers entry hosts and other replicas."""

    def __init__(
        self,
        host_id: HostId,
        state_machine: ControlStateMachine,
        log: ReplicatedLog,
        leader: Leader,
        proposer: Proposer,
        watchers: Watchers,
        lost_hosts: set[HostId],
    ) -> None:
        self._host_id = host_id
        self._state_machine = state_machine
        self._log = log
        self._leader = leader
        self._proposer = proposer
        self._watchers = watchers
        self._lost_hosts = lost_hosts

    def handlers(self) -> Handlers[ControlMessage]:
        """Return the handlers to register with a channel server."""
        return Handlers(
            decoder=CONTROL_DECODER,
            on_push=lambda channel, message: None,
            async_on_call=self._async_on_call,
            on_closed=self._watchers.remove,
        )

    async def _async_on_call(
        self, channel: Channel[ControlMessage], message: ControlMessage
    ) -> msgspec.Struct:
        """Answer one call."""
        match message:
            case Contact():
                return await self._leader.async_contact(self._proposer, channel.peer_id, message)
            case RequestAllotments():
                return await self._leader.async_request_allotments(
                    self._proposer, channel.peer_id, message
                )
            case TakeClaim():
                return await self._async_claim(channel, message)
            case StoreOutcome() | ReleaseClaim() | ReportSuspects() | ClearSuspect():
                return await self._async_command(message)
            case Watch():
                return self._watchers.add(channel, message)
            case ListPage():
                return self._list_page(message)
            case Probe():
                return self.probe()
            case Forward():
                return await self._proposer.async_answer_forward(message)
            case ReadBarrier():
                return await self._async_read_barrier()
            case _:
                return Refused(ResultCode.MESSAGE_INVALID, "the message is no call")

    async def _async_claim(self, channel: Channel[Any], message: TakeClaim) -> msgspec.Struct:
        """Decide a claim in the log."""
        reply = await self._async_command(Claim(channel.peer_id, message))
        log_event(
            EventCode.CLAIM_DECIDED,
            request=message.request_id,
            member=message.member_id,
            key=message.key,
            host=channel.peer_id,
            decision=type(reply).__name__,
        )
        return reply

    async def _async_command(self, command: Command) -> msgspec.Struct:
        """Propose a command at this replica."""
        result = await self._proposer.async_propose(command)
        match result:
            case Result(tag="ok", ok=answer):
                return answer
            case Result(error=Refusal(code=ResultCode.NOT_LEADER)):
                return self._leader.not_leader()
            case Result(error=refusal):
                return refused(refusal)

    @callback
    def _list_page(self, message: ListPage) -> ListPageReply | Refused:
        """Give one page of the entities."""
        state = self._state_machine.state
        try:
            entities, next_token = page_of_all(state, message.token, PAGE_ENTITIES)
        except ValueError:
            return Refused(ResultCode.MESSAGE_INVALID, "the page token is malformed")
        return ListPageReply(state.revision, entities, next_token)

    @callback
    def probe(self) -> ProbeReply:
        """Tell what this replica knows of a leader."""
        status = self._log.status()
        return ProbeReply(
            term=status.term,
            knows_leader=knows_leader(status, self._host_id),
            leader=status.leader or HostId(""),
            applied=self._state_machine.state.revision,
            lost_hosts=tuple(sorted(self._lost_hosts)),
        )

    async def _async_read_barrier(self) -> BarrierPassed | Refused:
        """Tell another replica how far it must have applied to read."""
        result = await self._log.async_read_barrier(BARRIER_TIMEOUT_S)
        if result.is_error():
            return Refused(result.error.code, result.error.detail)
        return BarrierPassed(self._state_machine.state.revision)
