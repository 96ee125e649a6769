"""Replicated log on disk and network, driven by the consensus core."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Sequence

import msgspec
from expression import Result

from lagoonwing_consensus import (
    InvariantError,
    Message,
    Output,
    Replica,
    ReplicaCore,
    ReplicaSet,
    RestoredState,
)
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import HostId, LogIndex, Term
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_core.tasks import TaskSet
from lagoonwing_replication._applier import Applier
from lagoonwing_replication._barrier import ReadBarrier
from lagoonwing_replication._bootstrap import Bootstrap, MembershipState
from lagoonwing_replication._changes import ChangeSignal
from lagoonwing_replication._clock import BootClock
from lagoonwing_replication._directory import Directory, membership_state_of
from lagoonwing_replication._identity_store import IdentityStore
from lagoonwing_replication._inbox import Inbox
from lagoonwing_replication._leadership import Leadership
from lagoonwing_replication._peers import Peers
from lagoonwing_replication._proposals import Proposals
from lagoonwing_replication._proposer import Proposer
from lagoonwing_replication._recovery import Recovery, log_recovered
from lagoonwing_replication._snapshotter import Snapshotter
from lagoonwing_replication._status import StatusReader
from lagoonwing_replication._storage import Recovered, Storage
from lagoonwing_replication._writer import Writer
from lagoonwing_replication.const import PACKET_VERSION, TICK_S
from lagoonwing_replication.errors import StorageError
from lagoonwing_replication.messages import JoinRequest, Packet
from lagoonwing_replication.models import LogStatus, StateMachine
from lagoonwing_replication.settings import LogSettings
from lagoonwing_wire import ChannelServer, Identity


class RaftLog:
    """One replica of the log on disk and network.

    Create it before the channel server is set up. The state machine is called on the event loop.
    `core` is `None` while the disk is unusable.
    """

    name = "raft_log"

    def __init__(
        self,
        settings: LogSettings,
        state_machine: StateMachine,
        identity: Identity,
        server: ChannelServer,
        clock: Clock | None = None,
        on_leadership_change: Callable[[Term | None], None] = lambda term: None,
    ) -> None:
        self.on_leadership_change = on_leadership_change
        self._settings = settings
        self._clock = clock or BootClock()
        self.core: ReplicaCore | None = None
        self._tasks = TaskSet(self.name)
        self._changes = ChangeSignal()
        self._directory = Directory()
        self._proposals = Proposals()
        self._proposer = Proposer(self, self._proposals, self._changes)
        self._barrier = ReadBarrier(self, self._clock, self._changes)
        self._leadership = Leadership(self._handle_leadership)
        self._storage = Storage(settings.folder, settings.host_id)
        self._writer = Writer(
            self._storage,
            self._handle_synced,
            self._handle_storage_failure,
            lambda: self._status.commit_index(),
        )
        self._recovery = Recovery(settings, self._storage, self._writer)
        self._identity_store = IdentityStore(self._storage, self._writer)
        self._applier = Applier(state_machine, self._proposals, self.ensure_link)
        self._status = StatusReader(
            self, self._applier, self._leadership, self._directory, self._clock
        )
        self._snapshotter = Snapshotter(
            settings, self._storage, self._writer, self._applier, self._tasks.spawn
        )
        self._bootstrap = Bootstrap(
            settings, self._identity_store, self._membership_state, self._async_bootstrap
        )
        self._inbox = Inbox(self, self._identity_store, self._directory, self._tasks.spawn)
        self._peers = Peers(
            identity, server, self._inbox.handle_message, self._bootstrap.async_answer
        )

    async def async_setup(self) -> None:
        """Recover the log and start participating.

        Raises:
            CorruptStorageError: Synced data is corrupt or missing; the folder must be emptied.
            StorageError: The folder can't be used.
        """
        self._start_core(await self._recovery.async_open())
        for host in self._settings.initial_hosts:
            await self._peers.async_add(host.host_id, host.address, host.port)
        self._tasks.spawn(self._async_tick())
        self._tasks.spawn(self._bootstrap.async_run(self._peers))

    async def async_unload(self) -> None:
        """Stop participating; pending proposals are refused."""
        self._stop_core()
        await self._tasks.async_cancel()
        await self._peers.async_unload()
        await self._writer.async_unload()

    async def async_propose(self, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Append a command and wait until it is committed and applied.

        Args:
            command: Command for the state machine.
            timeout: Seconds to wait.

        Returns:
            The state machine's result; or a refusal: `MESSAGE_TOO_LARGE`, `NOT_LEADER` (not
            appended; the detail names the leader) or `NO_QUORUM` (unknown).
        """
        return await self._proposer.async_propose(command, timeout)

    async def async_read_barrier(self, timeout: float) -> Result[None, Refusal]:
        """Wait until the local state includes every change committed before the call.

        Returns:
            Nothing, while the leader's lease is valid; or a refusal `NOT_LEADER` or `NO_QUORUM`.
        """
        return await self._barrier.async_wait(timeout)

    @property
    def applied(self) -> LogIndex:
        """Last entry applied to the state machine."""
        return self._applier.applied

    def lease_term(self) -> Term | None:
        """Return the term in which this replica may act as leader now."""
        return self._status.lease_term()

    def staleness_s(self) -> float:
        """Return the age of the last time at which all committed commands were applied here.

        Infinite if there was no such time since startup.
        """
        return self._status.staleness_s()

    @property
    def sync_count(self) -> int:
        """Number of batches synced so far."""
        return self._writer.sync_count

    def status(self) -> LogStatus:
        """Return the status of the log as known to this replica."""
        return self._status.status()

    @callback
    def _start_core(self, recovered: Recovered) -> None:
        """Start the core with the recovered state."""
        self._identity_store.identity = recovered.identity
        state = recovered.state
        log_recovered(recovered)
        self._applier.restore(state.snapshot)
        self._replace_core(state)

    @callback
    def _replace_core(self, state: RestoredState) -> None:
        """Start a core from persisted state."""
        core = ReplicaCore(
            self._identity_store.require_identity().replica_id,
            self._settings.core,
            msgspec.structs.replace(state, applied=self._applier.applied),
            secrets.randbits(32),
            self._clock.now(),
        )
        self.core = core
        self._process_output(core.start())

    @callback
    def _stop_core(self) -> None:
        """Stop participating; nothing is acknowledged from now on."""
        self.core = None
        self._writer.discard()
        self._proposals.refuse_all("")
        self._leadership.update(None, None)
        self._changes.notify()

    @callback
    def step(self, call: Callable[[ReplicaCore, float], Output]) -> None:
        """Call the core and process its output.

        After an invariant violation or a state machine error the core stays stopped, because a
        state machine that missed a change would silently diverge from the other replicas.
        """
        core = self.core
        if core is None:
            return
        try:
            output = call(core, self._clock.now())
        except InvariantError as error:
            log_event(EventCode.COMPONENT_FAILED, component=self.name, error=error)
            self._stop_core()
            return
        self._process_output(output)

    @callback
    def _process_output(self, output: Output) -> None:
        """Carry out an output of the core."""
        for message in output.immediate_messages:
            self._send(message)
        try:
            self._applier.apply_output(output)
        except Exception as error:
            log_event(EventCode.COMPONENT_FAILED, component=self.name, error=repr(error))
            self._stop_core()
            return
        if output.needs_sync or not self._writer.is_idle:
            self._writer.enqueue(output)
        else:
            for message in output.messages:
                self._send(message)
        self._leadership.update(self.core, self._directory.leader_host(self.core))
        self._changes.notify()
        if output.committed and self.core is not None:
            self._snapshotter.take_if_due(self.core)
            self._proposer.schedule()

    @callback
    def _handle_synced(self, outputs: Sequence[Output]) -> None:
        """Send the messages that waited for a sync."""
        if self.core is None:
            return
        for output in outputs:
            for message in output.messages:
                self._send(message)
        last = next((output.entries[-1] for output in reversed(outputs) if output.entries), None)
        if last is not None:
            self.step(lambda core, now: core.persisted(last.index, last.term, now))

    @callback
    def _handle_storage_failure(self, error: StorageError) -> None:
        """Stop acknowledging and leading; retry later if the disk is full."""
        self._recovery.log_failure(error)
        self._stop_core()
        if error.is_full:
            self._tasks.spawn(self._async_reopen())

    async def _async_reopen(self) -> None:
        """Participate again once the disk is writable."""
        recovered = await self._recovery.async_reopen()
        if recovered is not None:
            self._start_core(recovered)

    async def _async_tick(self) -> None:
        """Tick the core periodically."""
        while True:
            await asyncio.sleep(TICK_S)
            self.step(lambda core, now: core.tick(now))

    async def _async_bootstrap(self, replica_set: ReplicaSet) -> None:
        """Write the first entry of a new log."""
        await self._identity_store.async_set_cluster_id(
            self._identity_store.require_identity().replica_id
        )
        try:
            state = await self._writer.async_run(self._storage.bootstrap, replica_set)
        except StorageError as error:
            self._handle_storage_failure(error)
            return
        self._replace_core(state)

    @callback
    def _membership_state(self) -> MembershipState | None:
        """Return this replica's membership state, or `None` if its disk has failed."""
        if self.core is None or self._identity_store.identity is None:
            return None
        return membership_state_of(self._settings, self._identity_store.identity, self.core)

    @callback
    def _send(self, message: Message) -> None:
        """Send a message of the core."""
        host_id = self._directory.host_of(self.core, message.receiver)
        if host_id is not None:
            packet = Packet(PACKET_VERSION, self._identity_store.cluster_id, message)
            self._peers.push(host_id, packet)

    @callback
    def forward_join(self, host_id: HostId, request: JoinRequest) -> None:
        """Forward a join request to another host."""
        self._peers.push(host_id, request)

    @callback
    def ensure_link(self, replica: Replica) -> None:
        """Ensure that there is a link to the host of a replica."""
        if replica.host_id not in self._peers.host_ids:
            self._tasks.spawn(self._peers.async_add(replica.host_id, replica.address, replica.port))

    @callback
    def _handle_leadership(self, term: Term | None) -> None:
        """Handle a change of leadership."""
        if term is None:
            self._proposals.refuse_all(self.not_leader().detail)
        self.on_leadership_change(term)

    def not_leader(self) -> Refusal:
        """Return a `NOT_LEADER` refusal with the leader, if known."""
        leader = self._directory.leader_host(self.core)
        return Refusal(ResultCode.NOT_LEADER, leader or "")
