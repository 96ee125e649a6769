"""Registry component: serves the catalog to endpoints, operators and gateways."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import msgspec
from expression import Error, Ok, Result

from lagoonwing_catalog import (
    CatalogStateMachine,
    ValidationIssue,
    find_validation_issues,
    is_unchanged,
    make_stored_document,
    supersedes,
)
from lagoonwing_catalog.const import PROTOCOL
from lagoonwing_catalog.messages import (
    CATALOG_DECODER,
    AnnouncementReport,
    ApplyResult,
    CatalogMessage,
    CrashExtract,
    LimitExtract,
    LoadReport,
    PermitDemand,
    PutDocument,
    PutEndpoint,
    ReadIndex,
    ReadIndexReply,
    Refused,
    RelayedDemand,
    RelayedGrant,
    ReplicaGateways,
    ReplicaLoad,
    Submit,
    Subscribe,
    Subscribed,
)
from lagoonwing_catalog.models import Document, EndpointRecord, EndpointState
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock, LoopClock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId, HostId, Revision, Term
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_core.tasks import async_repeat
from lagoonwing_registry._committed_documents import CommittedDocuments
from lagoonwing_registry._crash_relay import CrashRelay
from lagoonwing_registry._known_services import KnownServices
from lagoonwing_registry._limit_relay import LimitRelay
from lagoonwing_registry._liveness import Liveness
from lagoonwing_registry._peers import Peers
from lagoonwing_registry._permit_relay import PermitRelay
from lagoonwing_registry._placement_executor import PlacementExecutor
from lagoonwing_registry._proposer import Proposer
from lagoonwing_registry._subscribers import Subscribers
from lagoonwing_registry.const import (
    LIVENESS_INTERVAL_S,
    MAX_NAMED_ISSUES,
    MAX_SUBSCRIBE_AGE_S,
    PUSH_INTERVAL_S,
    READ_POLL_INTERVAL_S,
    READ_TIMEOUT_S,
)
from lagoonwing_registry.diagnostics import RegistryMetrics
from lagoonwing_registry.ports import EnginePort
from lagoonwing_registry.settings import RegistrySettings
from lagoonwing_replication import RaftLog
from lagoonwing_wire import Channel, ChannelServer, Handlers, Identity


class RegistryService:
    """A replica of the catalog; the log and the channel server are separate components."""

    name = "registry"

    def __init__(
        self,
        settings: RegistrySettings,
        identity: Identity,
        state_machine: CatalogStateMachine,
        log: RaftLog,
        server: ChannelServer,
        engines: EnginePort,
        clock: Clock | None = None,
    ) -> None:
        self.state_machine = state_machine
        self.log = log
        self._clock = clock or LoopClock()
        self._peers = Peers(identity, log)
        self._proposer = Proposer(log, self._peers)
        self._liveness = Liveness(settings.announce_interval_s)
        self._known_services = KnownServices(state_machine)
        self._committed_documents = CommittedDocuments()
        self._subscribers = Subscribers(
            state_machine, log.staleness_s, self._peers.replicas, self._clock
        )
        self._crash_relay = CrashRelay(self._subscribers, self._peers, self._clock)
        self._limit_relay = LimitRelay(state_machine, self._subscribers, self._peers, self._clock)
        self._permit_relay = PermitRelay(
            log, self._limit_relay, self._subscribers, self._peers, self._clock
        )
        self.metrics = RegistryMetrics(state_machine, log)
        self._executor = PlacementExecutor(
            state_machine,
            log,
            engines,
            self._clock,
            self._proposer.async_submit,
            self.metrics.count_order,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._push_scheduled = False
        state_machine.on_applied = self._schedule_push
        state_machine.on_document = self._committed_documents.record
        log.on_leadership_change = self._on_leadership
        server.register(PROTOCOL, self._handlers())

    async def async_setup(self) -> None:
        """Start serving."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(async_repeat(self.name, PUSH_INTERVAL_S, self._async_push_loads)),
            loop.create_task(
                async_repeat(self.name, LIVENESS_INTERVAL_S, self._async_check_liveness)
            ),
            loop.create_task(self._crash_relay.async_run()),
            loop.create_task(self._limit_relay.async_run()),
            loop.create_task(self._permit_relay.async_run()),
            loop.create_task(self._executor.async_run()),
        ]

    async def async_unload(self) -> None:
        """Stop serving."""
        for task in self._tasks:
            task.cancel()
        await self._executor.async_unload()
        await self._peers.async_unload()

    async def async_announce(self, record: EndpointRecord) -> Result[None, Refusal]:
        """Process an endpoint's announcement; on success, any change is committed by a majority."""
        displaced = self._known_services.find_displaced(record)
        if displaced is not None:
            reason = f"its service is not known, and it would displace {displaced.endpoint_id}"
            log_event(EventCode.ENDPOINT_REFUSED, endpoint=record.endpoint_id, reason=reason)
            return Error(Refusal(ResultCode.UNKNOWN_SERVICE, reason))
        self._liveness.record_announcement(
            record.endpoint_id, record.started_ms, record.sequence, self._clock.now()
        )
        current = self.state_machine.state.endpoint_by_id.get(record.endpoint_id)
        if is_unchanged(current, record) or not supersedes(current, record):
            return Ok(None)
        result = await self._proposer.async_submit(PutEndpoint(record))
        log_event(
            EventCode.ENDPOINT_ANNOUNCED,
            endpoint=record.endpoint_id,
            service=record.service_id,
            address=record.socket_address,
            state=record.state.value,
            layers=record.layers and f"{record.layers.first}-{record.layers.end}",
            sequence=record.sequence,
            outcome="accepted" if result.is_ok() else result.error.detail,
        )
        return result.map(lambda applied: None)

    async def async_leave(
        self, endpoint_id: EndpointId, started_ms: int | None
    ) -> Result[None, Refusal]:
        """Deregister an endpoint; its current incarnation can't rejoin."""
        current = self.state_machine.state.endpoint_by_id.get(endpoint_id)
        if current is None:
            # Another replica may have just accepted its announcement.
            barrier = await self._async_read_barrier()
            if barrier.is_error():
                return barrier
            current = self.state_machine.state.endpoint_by_id.get(endpoint_id)
        if current is None or (started_ms is not None and started_ms < current.started_ms):
            return Ok(None)
        left = msgspec.structs.replace(
            current,
            state=EndpointState.LEFT,
            layers=None,
            started_ms=current.started_ms if started_ms is None else started_ms,
        )
        return await self.async_announce(left)

    async def async_put_document(
        self, document: Document, source: bytes
    ) -> Result[ApplyResult, Refusal]:
        """Activate a document if it is valid and its version is the highest.

        A refusal with the code `INVALID_CHANGE` means that it is invalid.
        """
        issues = find_validation_issues(document)
        if issues:
            return await self._async_answer_invalid(document, source, issues)
        command = PutDocument(make_stored_document(document, source))
        result = await self._proposer.async_submit(command)
        match result:
            case Result(tag="ok", ok=applied):
                log_event(
                    EventCode.DOCUMENT_ACCEPTED,
                    version=document.version,
                    revision=applied.revision,
                    changed=applied.changed,
                    routes=len(document.routes),
                )
            case Result(error=refusal):
                log_event(
                    EventCode.DOCUMENT_REFUSED, version=document.version, reason=refusal.detail
                )
        return result

    async def _async_answer_invalid(
        self, document: Document, source: bytes, issues: tuple[ValidationIssue, ...]
    ) -> Result[ApplyResult, Refusal]:
        """Refuse an invalid document, unless an older build has accepted it."""
        reason = "; ".join(
            f"{issue.subject}: {issue.reason}" for issue in issues[:MAX_NAMED_ISSUES]
        )
        refusal = Refusal(ResultCode.INVALID_CHANGE, reason)
        if all(issue.passes_older_builds for issue in issues):
            barrier = await self._async_read_barrier()
            if self._committed_documents.holds(document.version, source):
                revision = self.state_machine.state.revision
                log_event(
                    EventCode.DOCUMENT_ACCEPTED,
                    version=document.version,
                    revision=revision,
                    changed=False,
                    routes=len(document.routes),
                    invalid_now=reason,
                )
                return Ok(ApplyResult(revision, False))
            if barrier.is_error():
                refusal = barrier.error
        log_event(EventCode.DOCUMENT_REFUSED, version=document.version, reason=refusal.detail)
        return Error(refusal)

    async def async_read_document(self) -> Result[bytes | None, Refusal]:
        """Return the original bytes of the newest document, if any.

        A refusal means that this replica couldn't confirm which document is the newest.
        """
        barrier = await self._async_read_barrier()
        if barrier.is_error():
            return Error(barrier.error)
        stored = self.state_machine.state.stored
        return Ok(None if stored is None else stored.original_bytes())

    async def _async_read_barrier(self) -> Result[None, Refusal]:
        """Wait until this replica has applied all changes committed before the call."""
        deadline = self._clock.now() + READ_TIMEOUT_S
        revision = await self._async_read_index()
        if revision.is_error():
            return Error(revision.error)
        while self.state_machine.state.revision < revision.ok:
            if self._clock.now() > deadline:
                return Error(Refusal(ResultCode.NO_QUORUM, "the replica lags behind"))
            await asyncio.sleep(READ_POLL_INTERVAL_S)
        return Ok(None)

    async def _async_read_index(self) -> Result[Revision, Refusal]:
        """Return the revision that a linearizable read must observe."""
        if self.log.lease_term() is not None:
            barrier = await self.log.async_read_barrier(READ_TIMEOUT_S)
            return barrier.map(lambda done: self.state_machine.state.revision)
        leader = self.log.status().leader or HostId("")
        reply = await self._peers.async_call(leader, ReadIndex(), READ_TIMEOUT_S)
        match reply:
            case Result(tag="ok", ok=ReadIndexReply(revision=revision)):
                return Ok(revision)
            case Result(tag="ok", ok=Refused(code=code, detail=detail)):
                return Error(Refusal(code, detail))
            case Result(error=refusal):
                return Error(refusal)
            case _:
                return Error(Refusal(ResultCode.MESSAGE_INVALID, "no answer to a read"))

    def _handlers(self) -> Handlers[CatalogMessage]:
        """Return the message handlers of the catalog protocol."""
        return Handlers(
            decoder=CATALOG_DECODER,
            on_push=self._on_push,
            async_on_call=self._async_on_call,
            on_closed=self._subscribers.remove,
        )

    @callback
    def _on_push(self, channel: Channel[Any], message: CatalogMessage) -> None:
        """Handle a message pushed by a gateway or another replica."""
        match message:
            case LoadReport():
                self._subscribers.update_report(channel, message)
            case ReplicaLoad():
                self._subscribers.update_remote(channel.peer_id, message)
            case ReplicaGateways():
                self._subscribers.update_remote_gateways(channel.peer_id, message)
            case CrashExtract():
                self._crash_relay.merge(message)
            case LimitExtract():
                self._limit_relay.merge(message)
            case PermitDemand():
                self._permit_relay.record_demand(channel, message)
            case RelayedDemand():
                self._permit_relay.record_relayed(channel.peer_id, message)
            case RelayedGrant():
                self._permit_relay.deliver(message)
            case AnnouncementReport():
                self._liveness.record_remote(message, self._clock.now())
            case _:
                log_event(
                    EventCode.PEER_REFUSED, peer=channel.peer_id, reason="unexpected push message"
                )

    async def _async_on_call(
        self, channel: Channel[Any], message: CatalogMessage
    ) -> msgspec.Struct:
        """Answer a call."""
        match message:
            case Subscribe():
                return self._subscribe(channel, message)
            case Submit():
                return await self._proposer.async_answer_submit(message)
            case ReadIndex():
                return await self._async_answer_read_index()
            case _:
                return Refused(ResultCode.MESSAGE_INVALID, "the message is no call")

    @callback
    def _subscribe(self, channel: Channel[Any], message: Subscribe) -> Subscribed | Refused:
        """Subscribe a gateway if this replica is current."""
        age = self.log.staleness_s()
        if age > MAX_SUBSCRIBE_AGE_S or self.state_machine.state.revision < message.after:
            detail = "never" if math.isinf(age) else f"{age:.2f} s ago"
            return Refused(ResultCode.NO_QUORUM, f"the replica was last current {detail}")
        asyncio.get_running_loop().call_soon(self._add_subscriber, channel, message)
        return Subscribed(self._peers.replicas(), self._subscribers.gateways())

    @callback
    def _add_subscriber(self, channel: Channel[Any], message: Subscribe) -> None:
        """Push crashes and limits, which take effect before the first document, then changes."""
        self._crash_relay.push_all_to(channel)
        self._limit_relay.push_all_to(channel)
        self._subscribers.add(channel, message)

    async def _async_answer_read_index(self) -> ReadIndexReply | Refused:
        """Answer a read-index request of another replica."""
        barrier = await self.log.async_read_barrier(READ_TIMEOUT_S)
        match barrier:
            case Result(tag="ok"):
                return ReadIndexReply(self.state_machine.state.revision)
            case Result(error=refusal):
                return Refused(refusal.code, refusal.detail)

    @callback
    def _on_leadership(self, term: Term | None) -> None:
        """Start or stop detecting lost endpoints."""
        self._liveness.set_leading_since(None if term is None else self._clock.now())

    @callback
    def _schedule_push(self) -> None:
        """Schedule one push for all changes applied in this loop iteration."""
        if self._push_scheduled:
            return
        self._push_scheduled = True
        asyncio.get_running_loop().call_soon(self._push_changes)

    @callback
    def _push_changes(self) -> None:
        """Push pending changes to all gateways."""
        self._push_scheduled = False
        self._subscribers.push_changes()

    async def _async_push_loads(self) -> None:
        """Push loads to gateways and replicas."""
        self._peers.push_all(self._subscribers.push_loads())
        self._subscribers.push_replicas()
        gateways = self._subscribers.push_peers()
        if gateways is not None:
            for host_id in self._subscribers.readers_of_gateways():
                self._peers.push(host_id, gateways)

    async def _async_check_liveness(self) -> None:
        """Report announcements to the leader; as the leader, mark lost endpoints."""
        await self._peers.async_refresh()
        report = self._liveness.take_report()
        leader = self.log.status().leader
        if report is not None and leader is not None:
            self._peers.push(leader, report)
        if self.log.lease_term() is None:
            return
        records = self.state_machine.state.endpoint_by_id.values()
        for command in self._liveness.find_lost(list(records), self._clock.now()):
            log_event(EventCode.ENDPOINT_EXPIRED, endpoint=command.endpoint_id)
            await self._proposer.async_submit(command)
