"""Methods of the operator API."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any, NoReturn, TypeAlias

import grpc
from expression import Result

from lagoonwing_control._authenticator import Authenticator
from lagoonwing_control._components import ReplicaComponents
from lagoonwing_control._conversion import (
    agreement_change,
    configuration_change,
    entity_kind,
    entity_message,
    member_change,
    stop_change,
)
from lagoonwing_control._paging import page_of_kind
from lagoonwing_control._state import id_of
from lagoonwing_control._status import replica_status
from lagoonwing_control.const import DEFAULT_PAGE_SIZE, MAX_OPERATOR_WATCHES, MAX_PAGE_SIZE
from lagoonwing_control.models import (
    Change,
    ChangeAccepted,
    EntityKind,
    HistoryEvent,
    OperatorChange,
    Retire,
)
from lagoonwing_control.settings import ControlSettings
from lagoonwing_core.clock import Clock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import ChangeId, HostId, Revision
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_rpc import operator_pb2 as pb
from lagoonwing_rpc import operator_pb2_grpc
from lagoonwing_wire.control_messages import Refused

BOOKMARK_INTERVAL_S = 5.0
RESULT_CODE_METADATA = "lagoonwing-result-code"
LEADER_METADATA = "lagoonwing-leader"

_STATUS_BY_CODE = {
    ResultCode.NOT_LEADER: grpc.StatusCode.UNAVAILABLE,
    ResultCode.NO_QUORUM: grpc.StatusCode.UNAVAILABLE,
    ResultCode.REVISION_CONFLICT: grpc.StatusCode.ABORTED,
    ResultCode.CHANGE_ID_REUSED: grpc.StatusCode.INVALID_ARGUMENT,
    ResultCode.CHANGE_ID_EXPIRED: grpc.StatusCode.FAILED_PRECONDITION,
    ResultCode.ALREADY_EXISTS: grpc.StatusCode.ALREADY_EXISTS,
    ResultCode.UNKNOWN_ENTITY: grpc.StatusCode.NOT_FOUND,
    ResultCode.INVALID_CHANGE: grpc.StatusCode.INVALID_ARGUMENT,
    ResultCode.STOP_REFUSED: grpc.StatusCode.FAILED_PRECONDITION,
    ResultCode.COMPACTED: grpc.StatusCode.OUT_OF_RANGE,
    ResultCode.OPERATOR_REFUSED: grpc.StatusCode.UNAUTHENTICATED,
}

Context: TypeAlias = Any  # grpc has no type hints.


class OperatorService(operator_pb2_grpc.OperatorServicer):  # type: ignore[misc]
    """Implements the operator API of one replica."""

    def __init__(
        self,
        settings: ControlSettings,
        components: ReplicaComponents,
        authenticator: Authenticator,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._components = components
        self._authenticator = authenticator
        self._clock = clock
        self._watch_count = 0

    async def CreateMember(self, request: pb.MemberChange, context: Context) -> pb.ChangeReply:
        """Create a member."""
        change = member_change(request.member)
        return await self._async_create(request.header, change, context)

    async def ChangeMember(self, request: pb.MemberChange, context: Context) -> pb.ChangeReply:
        """Update a member."""
        change = member_change(request.member)
        return await self._async_update(request.header, change, context)

    async def RetireMember(self, request: pb.RetireChange, context: Context) -> pb.ChangeReply:
        """Retire a member."""
        return await self._async_retire(EntityKind.MEMBER, request, context)

    async def CreateAgreement(
        self, request: pb.AgreementChange, context: Context
    ) -> pb.ChangeReply:
        """Create an agreement."""
        change = agreement_change(request.agreement)
        return await self._async_create(request.header, change, context)

    async def ChangeAgreement(
        self, request: pb.AgreementChange, context: Context
    ) -> pb.ChangeReply:
        """Update an agreement."""
        change = agreement_change(request.agreement)
        return await self._async_update(request.header, change, context)

    async def RetireAgreement(self, request: pb.RetireChange, context: Context) -> pb.ChangeReply:
        """Retire an agreement."""
        return await self._async_retire(EntityKind.AGREEMENT, request, context)

    async def SetConfiguration(
        self, request: pb.ConfigurationChange, context: Context
    ) -> pb.ChangeReply:
        """Set one configuration key."""
        change = configuration_change(request.entry)
        return await self._async_submit_change(request.header, change, context)

    async def OrderStop(self, request: pb.StopChange, context: Context) -> pb.ChangeReply:
        """Order a planned stop."""
        try:
            change = stop_change(request.stop)
        except ValueError:
            detail = "a stop's target is host, endpoint or failure_domain"
            await _async_abort(context, Refusal(ResultCode.INVALID_CHANGE, detail))
        return await self._async_create(request.header, change, context)

    async def CancelStop(self, request: pb.RetireChange, context: Context) -> pb.ChangeReply:
        """Cancel a planned stop."""
        return await self._async_retire(EntityKind.STOP, request, context)

    async def ClearQuarantine(self, request: pb.RetireChange, context: Context) -> pb.ChangeReply:
        """Clear a quarantine."""
        return await self._async_retire(EntityKind.QUARANTINE, request, context)

    async def DeclareHostLost(
        self, request: pb.DeclareHostLostRequest, context: Context
    ) -> pb.DeclareHostLostReply:
        """Record at this replica that a host is lost, or withdraw the declaration."""
        operator = await self._async_authenticate(context)
        host_id = HostId(request.host_id)
        if request.withdraw:
            self._components.lost_hosts.discard(host_id)
        elif host_id:
            self._components.lost_hosts.add(host_id)
        log_event(
            EventCode.HOST_LOST,
            host=host_id,
            operator=operator,
            withdrawn=request.withdraw,
            reason="declared",
        )
        return pb.DeclareHostLostReply(
            replica_id=self._settings.host_id, lost_hosts=sorted(self._components.lost_hosts)
        )

    async def Get(self, request: pb.GetRequest, context: Context) -> pb.GetReply:
        """Return one entity."""
        await self._async_authenticate(context)
        kind = await _async_parse_kind(request.kind, context)
        await self._async_read_barrier(context)
        state = self._components.state_machine.state
        entity = state.entity(kind, request.id)
        if entity is None:
            await _async_abort(context, Refusal(ResultCode.UNKNOWN_ENTITY, "no such entity"))
        return pb.GetReply(revision=state.revision, entity=entity_message(entity))

    async def List(self, request: pb.ListRequest, context: Context) -> pb.ListReply:
        """Return one page of the entities of a kind."""
        await self._async_authenticate(context)
        kind = await _async_parse_kind(request.kind, context)
        await self._async_read_barrier(context)
        state = self._components.state_machine.state
        limit = min(request.page_size or DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
        entities = page_of_kind(state, kind, request.page_token, limit + 1)
        more = len(entities) > limit
        page = entities[:limit]
        return pb.ListReply(
            revision=state.revision,
            entities=[entity_message(entity) for entity in page],
            next_page_token=id_of(page[-1]) if more else "",
        )

    async def Watch(
        self, request: pb.WatchRequest, context: Context
    ) -> AsyncIterator[pb.WatchEvent]:
        """Stream the changes after a revision; send bookmarks while there are none."""
        await self._async_authenticate(context)
        if self._watch_count >= MAX_OPERATOR_WATCHES:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many watches")
        self._watch_count += 1
        changed = asyncio.Event()
        remove = self._components.watchers.add_listener(changed.set)
        try:
            after = (
                Revision(request.after_revision) or self._components.state_machine.state.revision
            )
            while True:
                for event in await self._async_events_after(after, context):
                    after = event.revision
                    yield _watch_event(event)
                if not await _async_wait_for(changed, BOOKMARK_INTERVAL_S):
                    yield pb.WatchEvent(revision=after)
                changed.clear()
        finally:
            remove()
            self._watch_count -= 1

    async def History(self, request: pb.HistoryRequest, context: Context) -> pb.HistoryReply:
        """Return available changes after a revision."""
        await self._async_authenticate(context)
        await self._async_read_barrier(context)
        history = self._components.state_machine.history
        after = max(request.after_revision, history.oldest)
        events = await self._async_events_after(Revision(after), context)
        limit = min(request.limit or DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
        return pb.HistoryReply(
            revision=self._components.state_machine.state.revision,
            oldest_revision=history.oldest,
            events=[_watch_event(event) for event in events[:limit]],
        )

    async def Status(self, request: pb.StatusRequest, context: Context) -> pb.StatusReply:
        """Return the status known to this replica; needs no quorum."""
        await self._async_authenticate(context)
        return replica_status(self._settings, self._components, self._clock.now())

    async def _async_create(
        self, header: pb.ChangeHeader, change: Change, context: Context
    ) -> pb.ChangeReply:
        """Submit a change of an entity that must not exist."""
        if header.expected_revision != 0:
            detail = "what is created has the expected revision 0"
            await _async_abort(context, Refusal(ResultCode.INVALID_CHANGE, detail))
        return await self._async_submit_change(header, change, context)

    async def _async_update(
        self, header: pb.ChangeHeader, change: Change, context: Context
    ) -> pb.ChangeReply:
        """Submit a change of an entity that must exist."""
        if header.expected_revision == 0:
            detail = "what is changed has an expected revision above 0"
            await _async_abort(context, Refusal(ResultCode.INVALID_CHANGE, detail))
        return await self._async_submit_change(header, change, context)

    async def _async_retire(
        self, kind: EntityKind, request: pb.RetireChange, context: Context
    ) -> pb.ChangeReply:
        """Submit the retirement of an entity."""
        return await self._async_update(request.header, Retire(kind, request.id), context)

    async def _async_submit_change(
        self, header: pb.ChangeHeader, change: Change, context: Context
    ) -> pb.ChangeReply:
        """Submit a change and convert its result."""
        operator = await self._async_authenticate(context)
        command = OperatorChange(
            operator=operator,
            change_id=ChangeId(header.change_id),
            expected=Revision(header.expected_revision),
            change=change,
        )
        result = await self._components.proposer.async_submit(command)
        match result:
            case Result(tag="ok", ok=ChangeAccepted() as accepted):
                return pb.ChangeReply(
                    revision=accepted.revision,
                    change_id=header.change_id,
                    replayed=accepted.replayed,
                    entity=entity_message(accepted.entity),
                )
            case Result(tag="ok", ok=Refused(code=code, detail=detail)):
                refusal = Refusal(code, detail)
            case Result(tag="ok", ok=other):
                raise TypeError(f"unexpected result of a change: {type(other).__name__}")
            case Result(error=refusal):
                pass
        log_event(
            EventCode.CHANGE_REFUSED,
            operator=operator,
            change_id=header.change_id,
            code=refusal.code.value,
            reason=refusal.detail,
        )
        return await _async_abort(context, refusal)

    async def _async_authenticate(self, context: Context) -> str:
        """Return the operator's name, or abort the call if the token is invalid."""
        operator = self._authenticator.authenticate(tuple(context.invocation_metadata() or ()))
        if operator is None:
            detail = "the operator's token is absent or wrong"
            await _async_abort(context, Refusal(ResultCode.OPERATOR_REFUSED, detail))
        return operator

    async def _async_read_barrier(self, context: Context) -> None:
        """Wait until the state may be read, or abort the call."""
        result = await self._components.reads.async_barrier()
        if result.is_error():
            await _async_abort(context, result.error)

    async def _async_events_after(
        self, after: Revision, context: Context
    ) -> tuple[HistoryEvent, ...]:
        """Return the changes after a revision; abort the call if some are unavailable."""
        history = self._components.state_machine.history
        events = history.after(after)
        if events is None:
            detail = f"changes up to revision {history.oldest} are dropped"
            await _async_abort(context, Refusal(ResultCode.COMPACTED, detail))
        return events


async def _async_abort(context: Context, refusal: Refusal) -> NoReturn:
    """Abort a call with the status and metadata of a refusal."""
    metadata = [(RESULT_CODE_METADATA, str(refusal.code.value))]
    detail = refusal.detail
    if refusal.code is ResultCode.NOT_LEADER:
        metadata.append((LEADER_METADATA, refusal.detail))
        detail = f"the leader is {refusal.detail}" if refusal.detail else "no leader is known"
    status = _STATUS_BY_CODE.get(refusal.code, grpc.StatusCode.UNKNOWN)
    await context.abort(status, detail, trailing_metadata=tuple(metadata))
    raise AssertionError("abort returned without raising")


async def _async_parse_kind(number: Any, context: Context) -> EntityKind:
    """Return the requested kind, or abort the call if it is unknown."""
    try:
        return entity_kind(number)
    except ValueError:
        await _async_abort(context, Refusal(ResultCode.INVALID_CHANGE, "no such kind"))


async def _async_wait_for(event: asyncio.Event, timeout: float) -> bool:
    """Return whether an event was set within the timeout."""
    try:
        await asyncio.wait_for(event.wait(), timeout)
    except TimeoutError:
        return False
    return True


def _watch_event(event: HistoryEvent) -> pb.WatchEvent:
    """Convert a change to its API message."""
    return pb.WatchEvent(revision=event.revision, entity=entity_message(event.entity))
