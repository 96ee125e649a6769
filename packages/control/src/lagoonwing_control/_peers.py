"""Server side of the "control" protocol."""

from __future__ import annotations

import msgspec
from expression import Result

from lagoonwing_control._components import ReplicaComponents
from lagoonwing_control._paging import page_of_all_kinds
from lagoonwing_control._proposer import refusal_reply
from lagoonwing_control._status import knows_leader
from lagoonwing_control.const import BARRIER_TIMEOUT_S, ENTITIES_PER_PAGE, FORWARD_TIMEOUT_S
from lagoonwing_control.models import Claim, Command
from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import HostId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire import Channel, Handlers, Link
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
    Relay,
    Relayed,
    RelayReply,
    ReleaseClaim,
    ReportSuspects,
    RequestAllotments,
    StoreOutcome,
    TakeClaim,
    Watch,
)

_ENCODER = msgspec.msgpack.Encoder()


class PeerProtocol:
    """Handles calls from entry hosts and other replicas."""

    def __init__(
        self,
        host_id: HostId,
        components: ReplicaComponents,
        link_by_host: dict[HostId, Link],
    ) -> None:
        self._host_id = host_id
        self._link_by_host = link_by_host
        self._state_machine = components.state_machine
        self._log = components.log
        self._leader = components.leader
        self._proposer = components.proposer
        self._watchers = components.watchers
        self._lost_hosts = components.lost_hosts

    def handlers(self) -> Handlers[ControlMessage]:
        """Return the handlers to register with the channel server."""
        return Handlers(
            decoder=CONTROL_DECODER,
            on_push=lambda channel, message: None,
            async_on_call=self._async_on_call,
            on_closed=self._watchers.remove,
        )

    async def _async_on_call(
        self, channel: Channel[ControlMessage], message: ControlMessage
    ) -> msgspec.Struct:
        """Handle one call."""
        match message:
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
            case Relay():
                return await self._async_relay(channel.peer_id, message)
            case Relayed() if channel.peer_id in self._link_by_host:
                call = CONTROL_DECODER.decode(message.message)
                reply = await self._async_answer_entry_host(message.host_id, call)
                return RelayReply(_ENCODER.encode(reply))
            case _:
                return await self._async_answer_entry_host(channel.peer_id, message)

    async def _async_answer_entry_host(
        self, host_id: HostId, message: ControlMessage
    ) -> msgspec.Struct:
        """Handle an entry host's call, which only the leader can serve."""
        match message:
            case Contact():
                return await self._leader.async_contact(self._proposer, host_id, message)
            case RequestAllotments():
                return await self._leader.async_request_allotments(self._proposer, host_id, message)
            case TakeClaim():
                return await self._async_claim(host_id, message)
            case StoreOutcome() | ReleaseClaim() | ReportSuspects() | ClearSuspect():
                return await self._async_command(message)
            case _:
                return Refused(ResultCode.MESSAGE_INVALID, "the message is no call")

    async def _async_relay(self, host_id: HostId, message: Relay) -> msgspec.Struct:
        """Relay an entry host's call to the leader."""
        link = self._link_by_host.get(self._log.status().leader or HostId(""))
        if link is None:
            return self._leader.not_leader()
        reply = await link.async_call(Relayed(host_id, message.message), FORWARD_TIMEOUT_S)
        match reply:
            case Result(tag="ok", ok=RelayReply() as answer):
                return answer
            case Result(tag="ok", ok=_):
                return self._leader.not_leader()
            case Result(error=refusal):
                # The leader may have executed the call; every relayed call is safe to retry.
                return Refused(ResultCode.NO_QUORUM, refusal.detail)

    async def _async_claim(self, host_id: HostId, message: TakeClaim) -> msgspec.Struct:
        """Propose a claim and log the decision."""
        reply = await self._async_command(Claim(host_id, message))
        log_event(
            EventCode.CLAIM_DECIDED,
            request=message.request_id,
            member=message.member_id,
            key=message.key,
            host=host_id,
            decision=type(reply).__name__,
        )
        return reply

    async def _async_command(self, command: Command) -> msgspec.Struct:
        """Propose a command at this replica and return its result or refusal."""
        result = await self._proposer.async_propose(command)
        match result:
            case Result(tag="ok", ok=answer):
                return answer
            case Result(error=Refusal(code=ResultCode.NOT_LEADER)):
                return self._leader.not_leader()
            case Result(error=refusal):
                return refusal_reply(refusal)

    @callback
    def _list_page(self, message: ListPage) -> ListPageReply | Refused:
        """Return one page of the entities."""
        state = self._state_machine.state
        try:
            entities, next_token = page_of_all_kinds(state, message.token, ENTITIES_PER_PAGE)
        except ValueError:
            return Refused(ResultCode.MESSAGE_INVALID, "the page token is malformed")
        return ListPageReply(state.revision, entities, next_token)

    @callback
    def probe(self) -> ProbeReply:
        """Return this replica's view of the leader."""
        status = self._log.status()
        return ProbeReply(
            term=status.term,
            knows_leader=knows_leader(status, self._host_id),
            leader=status.leader or HostId(""),
            applied=self._state_machine.state.revision,
            lost_hosts=tuple(sorted(self._lost_hosts)),
        )

    async def _async_read_barrier(self) -> BarrierPassed | Refused:
        """Return the revision that another replica must have applied before it reads."""
        result = await self._log.async_read_barrier(BARRIER_TIMEOUT_S)
        if result.is_error():
            return Refused(result.error.code, result.error.detail)
        return BarrierPassed(self._state_machine.state.revision)
